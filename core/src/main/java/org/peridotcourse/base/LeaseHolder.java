package org.peridotcourse.base;

import java.util.Optional;

/**
 * Decides when the holder of a lease row renews it and until when the holder may act.
 *
 * <p>The lease counts from the time at which the last confirmed write was sent. A challenger counts
 * from the time at which it observed that write, so the lease ends for the holder before any
 * challenger can take it over. Confined to one thread.
 */
public final class LeaseHolder {
    /** Renewals per duration of the lease, so that two lost writes are tolerated. */
    private static final int RENEWALS_PER_LEASE = 3;

    private LeaseRow row;
    private long commit;
    private long confirmedSentMillis;
    private long lastSentMillis;
    private long holdEndMillis;
    private boolean lost;

    /**
     * Creates the holder after its first confirmed write.
     *
     * @param row the written row
     * @param commit the commit of that write
     * @param sentMillis when that write was sent
     */
    public LeaseHolder(LeaseRow row, long commit, long sentMillis) {
        this.row = row;
        this.commit = commit;
        this.confirmedSentMillis = sentMillis;
        this.lastSentMillis = sentMillis;
        this.holdEndMillis = sentMillis + row.holdMillis();
    }

    /**
     * Returns the epoch of the lease.
     *
     * @return the epoch
     */
    public long epoch() {
        return row.epoch();
    }

    /**
     * Returns the commit of the lease row, which every write of the holder checks.
     *
     * @return the commit of the last confirmed write
     */
    public long commit() {
        return commit;
    }

    /**
     * Returns the lease row of the last confirmed write.
     *
     * @return the row
     */
    public LeaseRow row() {
        return row;
    }

    /**
     * Returns when the last confirmed write was sent. The lease counts from this time.
     *
     * @return the time at which the write was first sent
     */
    public long confirmedSentMillis() {
        return confirmedSentMillis;
    }

    /**
     * Returns whether the holder may act. Call it before each action.
     *
     * @param nowMillis the current time
     * @return true until the lease expires or is lost
     */
    public boolean isHeld(long nowMillis) {
        return !lost && nowMillis < confirmedSentMillis + row.leaseMillis();
    }

    /**
     * Returns when the lease expires, for threads that compare it with the clock themselves.
     *
     * @return the end of the lease, {@link Long#MIN_VALUE} once it is lost
     */
    public long leaseEndMillis() {
        return lost ? Long.MIN_VALUE : confirmedSentMillis + row.leaseMillis();
    }

    /**
     * Returns the latest end of the leases that the holder may grant to batch tasks.
     *
     * @return the time after which no batch task runs under this holder
     */
    public long holdEndMillis() {
        return holdEndMillis;
    }

    /**
     * Returns the row to write if a renewal is due. The write must check {@link #commit}.
     *
     * @param nowMillis the current time, taken as the time of sending
     * @param holdMillis the requested hold; a shorter hold than before takes effect once the leases
     *     granted under the longer one have expired
     * @return the row, or empty if no renewal is due
     */
    public Optional<LeaseRow> renewal(long nowMillis, long holdMillis) {
        if (lost || nowMillis - lastSentMillis < row.leaseMillis() / RENEWALS_PER_LEASE) {
            return Optional.empty();
        }
        lastSentMillis = nowMillis;
        long hold = Math.max(holdMillis, holdEndMillis - nowMillis);
        return Optional.of(
                new LeaseRow(
                        row.holder(), row.epoch(), row.leaseMillis(), hold, row.writeNumber() + 1));
    }

    /**
     * Releases the lease and returns the row to write, so that a successor need not wait for the
     * lease to expire. The holder must not act any more.
     *
     * @return the row, whose write must check {@link #commit}
     */
    public LeaseRow release() {
        lost = true;
        return new LeaseRow(
                "", row.epoch(), row.leaseMillis(), row.holdMillis(), row.writeNumber() + 1);
    }

    /**
     * Records a confirmed renewal.
     *
     * @param written the written row
     * @param newCommit the commit of the write
     * @param sentMillis when the write was sent for the first time
     */
    public void onRenewalConfirmed(LeaseRow written, long newCommit, long sentMillis) {
        if (newCommit > commit) {
            row = written;
            commit = newCommit;
            confirmedSentMillis = sentMillis;
            holdEndMillis = Math.max(holdEndMillis, sentMillis + written.holdMillis());
        }
    }

    /** Records that another daemon has taken over the lease; the holder may not act any more. */
    public void onSuperseded() {
        lost = true;
    }
}
