package org.peridotcourse.placement;

/**
 * Expected resource usage of a task. Instances are immutable and thread-safe.
 *
 * @param milliCores processor time
 * @param memoryMib memory, never below the declared size
 */
record UsageEstimate(long milliCores, long memoryMib) {
    /** No usage. */
    static final UsageEstimate NONE = new UsageEstimate(0, 0);
}
