package org.peridotcourse.base;

import java.util.Optional;

/**
 * Decides when the holder of a lease row rewrites it and until when it may act.
 *
 * <p>The lease counts from the sending of the last confirmed write, so it ends before any
 * challenger, which counts from seeing that write, can take it. Confined to one thread.
 */
public final class LeaseHolder {
    /** A lease is renewed three times per duration, so that two lost writes are tolerated. */
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
     * @param row the row as written
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
     * Returns the epoch of this ownership.
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
     * Returns when the last confirmed write was sent, from which the lease counts.
     *
     * @return the time of the first sending
     */
    public long confirmedSentMillis() {
        return confirmedSentMillis;
    }

    /**
     * Tells whether the holder may act. Call it before each action.
     *
     * @param nowMillis the present time
     * @return true while the lease lasts
     */
    public boolean isHeld(long nowMillis) {
        return !lost && nowMillis < confirmedSentMillis + row.leaseMillis();
    }

    /**
     * Returns when the lease lapses, for a comparison with the clock on another thread.
     *
     * @return the end of the lease, long past once it was lost
     */
    public long leaseEndMillis() {
        return lost ? Long.MIN_VALUE : confirmedSentMillis + row.leaseMillis();
    }

    /**
     * Returns the bound of the leases that the holder may grant for batch tasks.
     *
     * @return the time after which no batch task runs under this holder
     */
    public long holdEndMillis() {
        return holdEndMillis;
    }

    /**
     * Returns the row to write when a renewal is due. The write must check {@link #commit}.
     *
     * @param nowMillis the present time, taken as the time of sending
     * @param holdMillis the hold wanted; a shorter one than before takes effect once the leases
     *     granted under the longer one have ended
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
     * Returns the row of a clean release; the successor does not wait.
     *
     * @return the row to write, checking {@link #commit}
     */
    public LeaseRow release() {
        lost = true;
        return new LeaseRow(
                "", row.epoch(), row.leaseMillis(), row.holdMillis(), row.writeNumber() + 1);
    }

    /**
     * Records a confirmed renewal.
     *
     * @param written the row as written
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

    /** Records that another daemon has taken the lease; the holder never acts again. */
    public void onSuperseded() {
        lost = true;
    }
}
