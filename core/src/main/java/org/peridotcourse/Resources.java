package org.peridotcourse;

/**
 * An amount of processor time, memory and accelerators, such as the capacity of a host or the size
 * of a task.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param milliCores processor time, in thousandths of a core
 * @param memoryMib memory, in MiB
 * @param accelerators the number of accelerators
 */
public record Resources(long milliCores, long memoryMib, long accelerators) {
    /** An amount of zero. */
    public static final Resources ZERO = new Resources(0, 0, 0);

    /**
     * Returns an amount without accelerators.
     *
     * @param milliCores processor time, in thousandths of a core
     * @param memoryMib memory, in MiB
     * @return the amount
     */
    public static Resources of(long milliCores, long memoryMib) {
        return new Resources(milliCores, memoryMib, 0);
    }

    /**
     * Returns an amount with accelerators.
     *
     * @param milliCores processor time, in thousandths of a core
     * @param memoryMib memory, in MiB
     * @param accelerators the number of accelerators
     * @return the amount
     */
    public static Resources of(long milliCores, long memoryMib, long accelerators) {
        return new Resources(milliCores, memoryMib, accelerators);
    }

    /**
     * Returns whether this amount fits into a capacity in every dimension.
     *
     * @param capacity the capacity
     * @return true if no dimension of this amount exceeds that of the capacity
     */
    public boolean isWithin(Resources capacity) {
        return milliCores <= capacity.milliCores
                && memoryMib <= capacity.memoryMib
                && accelerators <= capacity.accelerators;
    }

    /**
     * Returns the sum of this amount and another one.
     *
     * @param other the other amount
     * @return the sum
     */
    public Resources plus(Resources other) {
        return new Resources(
                milliCores + other.milliCores,
                memoryMib + other.memoryMib,
                accelerators + other.accelerators);
    }

    /**
     * Returns the difference of this amount and another one; dimensions may become negative.
     *
     * @param other the amount to subtract
     * @return the difference
     */
    public Resources minus(Resources other) {
        return new Resources(
                milliCores - other.milliCores,
                memoryMib - other.memoryMib,
                accelerators - other.accelerators);
    }

    /**
     * Returns the maximum of this amount and another one in every dimension.
     *
     * @param other the other amount
     * @return the maximum of each dimension
     */
    public Resources max(Resources other) {
        return new Resources(
                Math.max(milliCores, other.milliCores),
                Math.max(memoryMib, other.memoryMib),
                Math.max(accelerators, other.accelerators));
    }

    /**
     * Returns the minimum of this amount and another one in every dimension.
     *
     * @param other the other amount
     * @return the minimum of each dimension
     */
    public Resources min(Resources other) {
        return new Resources(
                Math.min(milliCores, other.milliCores),
                Math.min(memoryMib, other.memoryMib),
                Math.min(accelerators, other.accelerators));
    }

    /**
     * Returns the dominant share: the largest share of a total over all dimensions.
     *
     * @param total the total; dimensions of zero are ignored
     * @return the dominant share, 0 if this amount is zero
     */
    public double dominantShare(Resources total) {
        double share = 0;
        share = Math.max(share, share(milliCores, total.milliCores));
        share = Math.max(share, share(memoryMib, total.memoryMib));
        return Math.max(share, share(accelerators, total.accelerators));
    }

    private static double share(long amount, long total) {
        return total <= 0 ? 0 : (double) amount / total;
    }
}
