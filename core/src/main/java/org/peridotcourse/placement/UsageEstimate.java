package org.peridotcourse.placement;

/**
 * What a task is expected to use. Instances are immutable and thread-safe.
 *
 * @param milliCores processor time
 * @param memoryMib memory, never below the declared size
 */
record UsageEstimate(long milliCores, long memoryMib) {
    /** Nothing. */
    static final UsageEstimate NONE = new UsageEstimate(0, 0);
}
