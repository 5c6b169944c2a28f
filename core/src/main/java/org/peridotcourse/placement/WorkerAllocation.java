package org.peridotcourse.placement;

import org.peridotcourse.Resources;

/**
 * Allocated resources of one worker: sums of declared sizes and of estimated usage.
 *
 * <p>Neither sum of processor time, memory or accelerators exceeds the capacity if each task is
 * charged after {@link #fits} or changed by {@link #adjust}; {@link #charge} itself does not check,
 * because it also charges tasks that are already placed. Memory and accelerators are never
 * estimated below the declared size, so one sum of accelerators is enough. Confined to one thread.
 */
final class WorkerAllocation {
    private Resources capacity;
    private long declaredMilliCores;
    private long estimatedMilliCores;
    private long declaredMemoryMib;
    private long estimatedMemoryMib;
    private long accelerators;

    WorkerAllocation(Resources capacity) {
        this.capacity = capacity;
    }

    Resources capacity() {
        return capacity;
    }

    /** Changes the capacity; charged tasks stay. */
    void resize(Resources changed) {
        capacity = changed;
    }

    /** Returns whether a task fits by declared size and by estimate. */
    boolean fits(Resources size, UsageEstimate estimate) {
        return declaredMilliCores + size.milliCores() <= capacity.milliCores()
                && declaredMemoryMib + size.memoryMib() <= capacity.memoryMib()
                && accelerators + size.accelerators() <= capacity.accelerators()
                && estimatedMilliCores + estimate.milliCores() <= capacity.milliCores()
                && estimatedMemoryMib + estimate.memoryMib() <= capacity.memoryMib();
    }

    /** Returns whether a task fits by declared sizes alone. */
    boolean fitsDeclared(Resources size) {
        return declaredMilliCores + size.milliCores() <= capacity.milliCores()
                && declaredMemoryMib + size.memoryMib() <= capacity.memoryMib()
                && accelerators + size.accelerators() <= capacity.accelerators();
    }

    /** Charges a task without a check of the capacity. */
    void charge(Resources size, UsageEstimate estimate) {
        declaredMilliCores += size.milliCores();
        declaredMemoryMib += size.memoryMib();
        accelerators += size.accelerators();
        estimatedMilliCores += estimate.milliCores();
        estimatedMemoryMib += estimate.memoryMib();
    }

    /** Releases what {@link #charge} charged. */
    void release(Resources size, UsageEstimate estimate) {
        declaredMilliCores -= size.milliCores();
        declaredMemoryMib -= size.memoryMib();
        accelerators -= size.accelerators();
        estimatedMilliCores -= estimate.milliCores();
        estimatedMemoryMib -= estimate.memoryMib();
    }

    /**
     * Replaces the estimate of a task as far as the capacity allows.
     *
     * @return the estimate that is now charged; if it is less than requested, the worker is
     *     overcommitted
     */
    UsageEstimate adjust(UsageEstimate previous, UsageEstimate requested) {
        long freeMilliCores = capacity.milliCores() - estimatedMilliCores;
        long freeMemoryMib = capacity.memoryMib() - estimatedMemoryMib;
        UsageEstimate granted =
                new UsageEstimate(
                        raiseWithin(previous.milliCores(), requested.milliCores(), freeMilliCores),
                        raiseWithin(previous.memoryMib(), requested.memoryMib(), freeMemoryMib));
        estimatedMilliCores += granted.milliCores() - previous.milliCores();
        estimatedMemoryMib += granted.memoryMib() - previous.memoryMib();
        return granted;
    }

    private static long raiseWithin(long previous, long requested, long free) {
        return requested <= previous
                ? requested
                : previous + Math.min(requested - previous, Math.max(0, free));
    }

    /** Returns the free capacity by declared sizes or by estimates, whichever is less. */
    Resources free() {
        return new Resources(
                Math.max(
                        0,
                        capacity.milliCores() - Math.max(declaredMilliCores, estimatedMilliCores)),
                Math.max(0, capacity.memoryMib() - Math.max(declaredMemoryMib, estimatedMemoryMib)),
                Math.max(0, capacity.accelerators() - accelerators));
    }

    /**
     * Returns the sum of the free shares of processor time and memory, 0 to 2; a lower value is a
     * tighter fit.
     */
    double freeShare() {
        double freeCpuShare =
                capacity.milliCores() == 0
                        ? 0
                        : (double) (capacity.milliCores() - declaredMilliCores)
                                / capacity.milliCores();
        double freeMemoryShare =
                capacity.memoryMib() == 0
                        ? 0
                        : (double) (capacity.memoryMib() - declaredMemoryMib)
                                / capacity.memoryMib();
        return freeCpuShare + freeMemoryShare;
    }

    /** Returns whether declared sizes and estimates are within the capacity. */
    boolean isWithinCapacity() {
        return declaredMilliCores <= capacity.milliCores()
                && estimatedMilliCores <= capacity.milliCores()
                && declaredMemoryMib <= capacity.memoryMib()
                && estimatedMemoryMib <= capacity.memoryMib()
                && accelerators <= capacity.accelerators();
    }
}
