package org.peridotcourse.dispatch;

/**
 * One placement ownership: its epoch, the time of the takeover, and how long orders and runs of
 * earlier owners may still be active.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param epoch the epoch, which is the fencing token of all orders
 * @param takenOverAt monotonic time of the takeover
 * @param earlierOwnersMayOrderUntil monotonic time until which an earlier owner may send orders to
 *     workers that this owner does not reach
 * @param earlierRunsMayLastUntil monotonic time after which no run of an earlier owner is active on
 *     a worker that has not reported
 * @param leaseTimes durations of the workers' leases
 */
public record OwnerTerm(
        long epoch,
        long takenOverAt,
        long earlierOwnersMayOrderUntil,
        long earlierRunsMayLastUntil,
        LeaseTimes leaseTimes) {
    /** Attempt numbers reserved for each epoch, so that different owners never use the same one. */
    private static final int ATTEMPTS_PER_EPOCH = 1_000;

    /**
     * Creates the term of a new ownership.
     *
     * @param epoch the epoch
     * @param takenOverAt monotonic time of the takeover
     * @param earlierOwnersMayOrderUntil monotonic time until which an earlier owner may send orders
     * @param leaseTimes durations of the workers' leases
     */
    public OwnerTerm(
            long epoch, long takenOverAt, long earlierOwnersMayOrderUntil, LeaseTimes leaseTimes) {
        this(
                epoch,
                takenOverAt,
                earlierOwnersMayOrderUntil,
                Math.max(
                        takenOverAt + leaseTimes.maxMillisFromGrant(),
                        earlierOwnersMayOrderUntil + leaseTimes.maxMillisPastOwnership()),
                leaseTimes);
    }

    /**
     * Returns the largest attempt number that earlier owners may have used. The first attempt of
     * this owner has the next number.
     *
     * @return 0 for the first owner
     */
    public int lastEarlierAttempt() {
        return (int) ((epoch - 1) * ATTEMPTS_PER_EPOCH);
    }

    /**
     * Returns this term with the shorter waits that apply once no earlier owner sends orders.
     *
     * @param now the current time
     * @return the updated term
     */
    public OwnerTerm withEarlierOwnersEnded(long now) {
        long ordersUntil = Math.min(earlierOwnersMayOrderUntil, now);
        long runsUntil = Math.min(earlierRunsMayLastUntil, now + leaseTimes.maxMillisFromGrant());
        return new OwnerTerm(epoch, takenOverAt, ordersUntil, runsUntil, leaseTimes);
    }
}
