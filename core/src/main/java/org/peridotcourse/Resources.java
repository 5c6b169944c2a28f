package org.peridotcourse;

/**
 * An amount of processor time, memory and accelerators, of a host or of a task.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param milliCores processor time, in thousandths of a core
 * @param memoryMib memory, in MiB
 * @param accelerators number of accelerators
 */
public record Resources(long milliCores, long memoryMib, long accelerators) {
    /** Nothing at all. */
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
     * Returns an amount.
     *
     * @param milliCores processor time, in thousandths of a core
     * @param memoryMib memory, in MiB
     * @param accelerators number of accelerators
     * @return the amount
     */
    public static Resources of(long milliCores, long memoryMib, long accelerators) {
        return new Resources(milliCores, memoryMib, accelerators);
    }

    /**
     * Tells whether this amount fits into another one in every part.
     *
     * @param capacity the other amount
     * @return true if no part of this amount exceeds its counterpart
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
     * Returns the difference of this amount and another one; parts may become negative.
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
     * Returns the larger of this amount and another one in every part.
     *
     * @param other the other amount
     * @return the larger parts of both
     */
    public Resources max(Resources other) {
        return new Resources(
                Math.max(milliCores, other.milliCores),
                Math.max(memoryMib, other.memoryMib),
                Math.max(accelerators, other.accelerators));
    }

    /**
     * Returns the smaller of this amount and another one in every part.
     *
     * @param other the other amount
     * @return the smaller parts of both
     */
    public Resources min(Resources other) {
        return new Resources(
                Math.min(milliCores, other.milliCores),
                Math.min(memoryMib, other.memoryMib),
                Math.min(accelerators, other.accelerators));
    }

    /**
     * Returns the largest share that any part of this amount has of a total.
     *
     * @param total the total; parts of zero are left out
     * @return the dominant share, 0 for nothing
     */
    public double dominantShare(Resources total) {
        double share = 0;
        share = Math.max(share, share(milliCores, total.milliCores));
        share = Math.max(share, share(memoryMib, total.memoryMib));
        return Math.max(share, share(accelerators, total.accelerators));
    }

    private static double share(long part, long total) {
        return total <= 0 ? 0 : (double) part / total;
    }
}
