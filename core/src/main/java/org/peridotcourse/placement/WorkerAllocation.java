package org.peridotcourse.placement;

import org.peridotcourse.Resources;

/**
 * The two accounts of one worker: sums of declared and of estimated sizes.
 *
 * <p>Neither account of processor time, memory and accelerators exceeds the capacity by a charge or
 * an adjustment. Only {@link #charge}, for tasks that run already, does not check. Memory and
 * accelerators are never estimated below the declared size, so one account of each is enough.
 * Confined to one thread.
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

    /** Changes the capacity; running tasks stay. */
    void resize(Resources changed) {
        capacity = changed;
    }

    /** Tells whether a task fits into both accounts. */
    boolean fits(Resources size, UsageEstimate estimate) {
        return declaredMilliCores + size.milliCores() <= capacity.milliCores()
                && declaredMemoryMib + size.memoryMib() <= capacity.memoryMib()
                && accelerators + size.accelerators() <= capacity.accelerators()
                && estimatedMilliCores + estimate.milliCores() <= capacity.milliCores()
                && estimatedMemoryMib + estimate.memoryMib() <= capacity.memoryMib();
    }

    /** Tells whether a task fits by declared sizes alone. */
    boolean fitsDeclared(Resources size) {
        return declaredMilliCores + size.milliCores() <= capacity.milliCores()
                && declaredMemoryMib + size.memoryMib() <= capacity.memoryMib()
                && accelerators + size.accelerators() <= capacity.accelerators();
    }

    /** Charges a task that runs already. */
    void charge(Resources size, UsageEstimate estimate) {
        declaredMilliCores += size.milliCores();
        declaredMemoryMib += size.memoryMib();
        accelerators += size.accelerators();
        estimatedMilliCores += estimate.milliCores();
        estimatedMemoryMib += estimate.memoryMib();
    }

    /** Returns what {@link #charge} charged. */
    void release(Resources size, UsageEstimate estimate) {
        declaredMilliCores -= size.milliCores();
        declaredMemoryMib -= size.memoryMib();
        accelerators -= size.accelerators();
        estimatedMilliCores -= estimate.milliCores();
        estimatedMemoryMib -= estimate.memoryMib();
    }

    /**
     * Replaces an estimate as far as the capacity allows.
     *
     * @return the estimate that is now charged; less than wanted means that the worker is pressed
     */
    UsageEstimate adjust(UsageEstimate old, UsageEstimate wanted) {
        long cores = capacity.milliCores() - estimatedMilliCores;
        long memory = capacity.memoryMib() - estimatedMemoryMib;
        UsageEstimate granted =
                new UsageEstimate(
                        raiseWithin(old.milliCores(), wanted.milliCores(), cores),
                        raiseWithin(old.memoryMib(), wanted.memoryMib(), memory));
        estimatedMilliCores += granted.milliCores() - old.milliCores();
        estimatedMemoryMib += granted.memoryMib() - old.memoryMib();
        return granted;
    }

    private static long raiseWithin(long old, long wanted, long free) {
        return wanted <= old ? wanted : old + Math.min(wanted - old, Math.max(0, free));
    }

    /** Returns what is free in the fuller account of each part. */
    Resources free() {
        return new Resources(
                Math.max(
                        0,
                        capacity.milliCores() - Math.max(declaredMilliCores, estimatedMilliCores)),
                Math.max(0, capacity.memoryMib() - Math.max(declaredMemoryMib, estimatedMemoryMib)),
                Math.max(0, capacity.accelerators() - accelerators));
    }

    /**
     * Returns the share of processor time and memory that stays free, 0 to 2; less fits tighter.
     */
    double freeShare() {
        double cores =
                capacity.milliCores() == 0
                        ? 0
                        : (double) (capacity.milliCores() - declaredMilliCores)
                                / capacity.milliCores();
        double memory =
                capacity.memoryMib() == 0
                        ? 0
                        : (double) (capacity.memoryMib() - declaredMemoryMib)
                                / capacity.memoryMib();
        return cores + memory;
    }

    /** Tells whether both accounts are within the capacity. */
    boolean isWithinCapacity() {
        return declaredMilliCores <= capacity.milliCores()
                && estimatedMilliCores <= capacity.milliCores()
                && declaredMemoryMib <= capacity.memoryMib()
                && estimatedMemoryMib <= capacity.memoryMib()
                && accelerators <= capacity.accelerators();
    }
}
