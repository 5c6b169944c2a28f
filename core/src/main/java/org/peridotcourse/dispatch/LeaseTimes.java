package org.peridotcourse.dispatch;

/**
 * Length of the workers' leases and the error of their clocks.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param leaseMillis length of a lease from its grant
 * @param longestLeaseMillis the longest lease that a worker keeps
 */
public record LeaseTimes(long leaseMillis, long longestLeaseMillis) {
    /** A worker's clock may be 2% slow. */
    private static final double SLOWEST_CLOCK = 0.98;

    /** Error of the reading of a clock that was taken a few seconds ago. */
    private static final long READING_MILLIS = 150;

    /** Leases that begin shortly before the owner stops still let a task start. */
    private static final long BEYOND_HOLD_MILLIS = 1_000;

    /** Covers the time from the end of a lease until the worker has killed everything. */
    private static final long KILL_MILLIS = 150;

    /**
     * Returns how long a lease lasts at most by the clock of this process.
     *
     * @param millis its length on the worker's clock
     * @return milliseconds
     */
    public long longestMillis(long millis) {
        return Math.round(millis / SLOWEST_CLOCK) + KILL_MILLIS;
    }

    /**
     * Returns how long a lease that an owner grants lasts at most by the clock of this process. The
     * owner's reading of the worker's clock may be some seconds old.
     *
     * @return milliseconds
     */
    public long grantedMillis() {
        return Math.min(
                longestMillis(leaseMillis) + READING_MILLIS, longestMillis(longestLeaseMillis));
    }

    /**
     * Returns the length of a lease that is granted now. No lease outlasts the time until which its
     * owner may give orders by more than a second, so that a successor need not wait longer for a
     * worker that it does not reach.
     *
     * @param now the present time
     * @param orderUntil until when the owner may give orders
     * @return milliseconds from now
     */
    public long lengthMillis(long now, long orderUntil) {
        long left = orderUntil - now + BEYOND_HOLD_MILLIS;
        return Math.min(leaseMillis, Math.max(left, BEYOND_HOLD_MILLIS));
    }

    /**
     * Returns how much longer than its owner may give orders a lease lasts at most, by the clock of
     * this process.
     *
     * @return milliseconds
     */
    public long beyondHoldMillis() {
        return BEYOND_HOLD_MILLIS + grantedMillis() - leaseMillis;
    }
}
