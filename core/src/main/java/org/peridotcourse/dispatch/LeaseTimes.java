package org.peridotcourse.dispatch;

/**
 * Durations of the workers' leases, with bounds that include the errors of their clocks.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param leaseMillis duration of a lease from its grant
 * @param maxLeaseMillis the longest lease that a worker accepts
 */
public record LeaseTimes(long leaseMillis, long maxLeaseMillis) {
    /** Slowest rate of a worker's clock: it may be 2% slow. */
    private static final double SLOWEST_CLOCK_RATE = 0.98;

    /** Error of a reading of a worker's clock that was taken a few seconds ago. */
    private static final long CLOCK_READING_ERROR_MILLIS = 150;

    /**
     * Time by which a lease may outlast the ownership, so that a lease that is granted near the end
     * of the ownership is usable.
     */
    private static final long PAST_OWNERSHIP_MILLIS = 1_000;

    /** Time from the end of a lease until the worker has killed all runs. */
    private static final long KILL_MILLIS = 150;

    /**
     * Converts the duration of a lease on a worker's clock to the longest time for which runs may
     * be active under it, by the clock of this process.
     *
     * @param millis duration on the worker's clock
     * @return milliseconds
     */
    public long maxLocalMillis(long millis) {
        return Math.round(millis / SLOWEST_CLOCK_RATE) + KILL_MILLIS;
    }

    /**
     * Returns the longest time from its grant for which a lease may last, by the clock of this
     * process. The owner's reading of the worker's clock may be some seconds old.
     *
     * @return milliseconds
     */
    public long maxMillisFromGrant() {
        return Math.min(
                maxLocalMillis(leaseMillis) + CLOCK_READING_ERROR_MILLIS,
                maxLocalMillis(maxLeaseMillis));
    }

    /**
     * Returns the duration of a lease that is granted now. A lease ends at most a second after the
     * time until which its owner may send orders, so that a successor need not wait longer for a
     * worker that it does not reach.
     *
     * @param now the current time
     * @param mayOrderUntil time until which the owner may send orders
     * @return milliseconds from now
     */
    public long newLeaseMillis(long now, long mayOrderUntil) {
        long remainingMillis = mayOrderUntil - now + PAST_OWNERSHIP_MILLIS;
        return Math.min(leaseMillis, Math.max(remainingMillis, PAST_OWNERSHIP_MILLIS));
    }

    /**
     * Returns the longest time for which a lease may last after its owner may no longer send
     * orders, by the clock of this process.
     *
     * @return milliseconds
     */
    public long maxMillisPastOwnership() {
        return PAST_OWNERSHIP_MILLIS + maxMillisFromGrant() - leaseMillis;
    }
}
