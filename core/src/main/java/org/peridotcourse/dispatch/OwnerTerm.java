package org.peridotcourse.dispatch;

/**
 * One ownership: its epoch, when it began, and what the previous owner may still do.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param epoch the epoch, the fencing token of all orders
 * @param beganAt monotonic time of the takeover
 * @param earlierOrdersUntil monotonic time until which an earlier owner may give orders to workers
 *     that this owner does not reach
 * @param times lengths of the workers' leases
 */
public record OwnerTerm(long epoch, long beganAt, long earlierOrdersUntil, LeaseTimes times) {
    /** Attempts of one epoch; the numbers of different owners never meet. */
    private static final int ATTEMPTS_PER_EPOCH = 1_000;

    /**
     * Returns the number below the first start of this owner.
     *
     * @return 0 for the first owner
     */
    public int attemptFloor() {
        return (int) ((epoch - 1) * ATTEMPTS_PER_EPOCH);
    }

    /**
     * Returns the same ownership once it is known that no earlier owner gives orders any more.
     *
     * @param now the present time
     * @return the changed term
     */
    public OwnerTerm withEarlierOwnersEnded(long now) {
        return new OwnerTerm(epoch, beganAt, Math.min(earlierOrdersUntil, now), times);
    }

    /**
     * Returns when no run of an earlier owner is alive on a worker that has not reported.
     *
     * @return monotonic time
     */
    public long earlierRunsUntil() {
        return Math.max(beganAt, earlierOrdersUntil) + times.grantedMillis();
    }
}
