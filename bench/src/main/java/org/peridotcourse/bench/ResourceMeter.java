package org.peridotcourse.bench;

import com.sun.management.OperatingSystemMXBean;
import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.function.Supplier;

/**
 * Reads CPU time and memory of this virtual machine. CPU times do not depend on what else the
 * machine does, unlike elapsed times.
 *
 * <p>Instances add up the cost of several pieces of work; they are confined to one thread.
 */
final class ResourceMeter {
    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    private static final OperatingSystemMXBean SYSTEM =
            (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();

    private long cpuNanos;
    private long allocatedBytes;

    /** Returns the CPU time of all work so far in microseconds. */
    double cpuMicros() {
        return cpuNanos / 1e3;
    }

    /** Returns the CPU time of all work so far in nanoseconds. */
    long cpuNanos() {
        return cpuNanos;
    }

    /** Returns the bytes that all work so far has allocated. */
    long allocatedBytes() {
        return allocatedBytes;
    }

    /** Does a piece of work on this thread, adds its cost and returns its result. */
    <T> T measure(Supplier<T> work) {
        long bytes = THREADS.getCurrentThreadAllocatedBytes();
        long begin = THREADS.getCurrentThreadCpuTime();
        T result = work.get();
        cpuNanos += THREADS.getCurrentThreadCpuTime() - begin;
        allocatedBytes += THREADS.getCurrentThreadAllocatedBytes() - bytes;
        return result;
    }

    /** Forgets the cost so far. */
    void reset() {
        cpuNanos = 0;
        allocatedBytes = 0;
    }

    /** Returns the CPU time of the whole process in microseconds. */
    static double processCpuMicros() {
        return SYSTEM.getProcessCpuTime() / 1e3;
    }

    /** Returns the CPU time of another thread in microseconds. */
    static double cpuMicrosOf(Thread thread) {
        return THREADS.getThreadCpuTime(thread.getId()) / 1e3;
    }

    /** Returns the bytes of live objects. */
    static long liveBytes() {
        // A soft reference that was used since the last collection outlives the next one.
        for (int i = 0; i < 4; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
