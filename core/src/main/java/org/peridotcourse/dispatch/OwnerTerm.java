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
 * @param earlierRunsUntil monotonic time after which no run of an earlier owner is alive on a
 *     worker that has not reported
 * @param times lengths of the workers' leases
 */
public record OwnerTerm(
        long epoch,
        long beganAt,
        long earlierOrdersUntil,
        long earlierRunsUntil,
        LeaseTimes times) {
    /** Attempts of one epoch; the numbers of different owners never meet. */
    private static final int ATTEMPTS_PER_EPOCH = 1_000;

    /**
     * Creates the term of an ownership that begins.
     *
     * @param epoch the epoch
     * @param beganAt the time of the takeover
     * @param earlierOrdersUntil until when an earlier owner may give orders
     * @param times lengths of the workers' leases
     */
    public OwnerTerm(long epoch, long beganAt, long earlierOrdersUntil, LeaseTimes times) {
        this(
                epoch,
                beganAt,
                earlierOrdersUntil,
                Math.max(
                        beganAt + times.grantedMillis(),
                        earlierOrdersUntil + times.beyondHoldMillis()),
                times);
    }

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
        long ordersUntil = Math.min(earlierOrdersUntil, now);
        long runsUntil = Math.min(earlierRunsUntil, now + times.grantedMillis());
        return new OwnerTerm(epoch, beganAt, ordersUntil, runsUntil, times);
    }
}
