package org.peridotcourse.base;

import java.util.Optional;

/**
 * Observes a lease row that another process may hold, and decides when the lease has expired and
 * can be taken over.
 *
 * <p>The lease and the hold count from the time at which this process first observed the current
 * commit of the row, on its own monotonic clock. The hold is how long leases of batch tasks may
 * outlast the last write of the row. Confined to one thread.
 */
public final class LeaseChallenger {
    /** Covers the clock drift between processes during one lease or hold. */
    public static final long MARGIN_MILLIS = 1000;

    private final String name;
    private final long marginMillis;
    private Optional<LeaseRow> row = Optional.empty();
    private long commit;
    private long lastChangeMillis;
    private boolean observed;

    /**
     * Creates a challenger with the default margin.
     *
     * @param name the holder to write into the row on a takeover
     */
    public LeaseChallenger(String name) {
        this(name, MARGIN_MILLIS);
    }

    /**
     * Creates a challenger.
     *
     * @param name the holder to write into the row on a takeover
     * @param marginMillis time added to the lease and to the hold before they count as expired
     */
    public LeaseChallenger(String name, long marginMillis) {
        this.name = name;
        this.marginMillis = marginMillis;
    }

    /**
     * Returns the commit of the last observed row.
     *
     * @return the commit to check in a takeover, 0 if the row is absent
     */
    public long commit() {
        return commit;
    }

    /**
     * Returns the last observed row.
     *
     * @return the row, or empty if none has been read
     */
    public Optional<LeaseRow> row() {
        return row;
    }

    /**
     * Records the result of a read of the row. Results older than the last one are ignored.
     *
     * <p>If the row was removed, the last one is retained, so that the epoch of a takeover is later
     * than the epochs before, and its lease starts again.
     *
     * @param nowMillis the current time
     * @param readRow the row, or empty if it is absent
     * @param readCommit the commit of the row, 0 if it is absent
     */
    public void observe(long nowMillis, Optional<LeaseRow> readRow, long readCommit) {
        if (!observed || readCommit > commit) {
            observed = true;
            row = readRow;
            commit = readCommit;
            lastChangeMillis = nowMillis;
        } else if (readRow.isEmpty() && commit > 0) {
            commit = 0;
            lastChangeMillis = nowMillis;
        }
    }

    /**
     * Restarts the wait for the end of the lease and of the hold. Call it when the row could not be
     * read until now: renewals may have been missed, or the holder may have been unable to write
     * them, so the holder gets a full lease from now on.
     *
     * @param nowMillis the current time
     */
    public void restartWait(long nowMillis) {
        lastChangeMillis = Math.max(lastChangeMillis, nowMillis);
    }

    /**
     * Returns the row to write for a takeover if the lease has expired.
     *
     * @param nowMillis the current time
     * @param leaseMillis the duration of the new lease
     * @param holdMillis the requested hold; a longer hold of the previous row is retained, because
     *     tasks may still run under it
     * @return the row, whose write must check {@link #commit}, or empty if the lease may still be
     *     held
     */
    public Optional<LeaseRow> takeover(long nowMillis, long leaseMillis, long holdMillis) {
        if (!observed) {
            return Optional.empty();
        }
        if (row.isEmpty()) {
            return Optional.of(new LeaseRow(name, 1, leaseMillis, holdMillis, 0));
        }
        LeaseRow previous = row.get();
        boolean mayTakeOver =
                previous.isReleased()
                        || nowMillis - lastChangeMillis >= previous.leaseMillis() + marginMillis;
        if (!mayTakeOver) {
            return Optional.empty();
        }
        long hold = Math.max(holdMillis, previous.holdMillis());
        return Optional.of(new LeaseRow(name, previous.epoch() + 1, leaseMillis, hold, 0));
    }

    /**
     * Returns whether all leases of batch tasks that were granted under the row have expired, so
     * that another data centre may take over the batch tasks. A release of the row does not shorten
     * the hold, because tasks continue to run after it.
     *
     * @param nowMillis the current time
     * @return true if the row exists and has been unchanged for its hold plus the margin
     */
    public boolean isHoldExpired(long nowMillis) {
        return row.isPresent()
                && nowMillis - lastChangeMillis >= row.get().holdMillis() + marginMillis;
    }
}
