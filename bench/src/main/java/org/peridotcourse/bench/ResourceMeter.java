package org.peridotcourse.bench;

import com.sun.management.OperatingSystemMXBean;
import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.function.Supplier;

/**
 * Measures CPU time and memory of this virtual machine. Unlike elapsed time, CPU time does not
 * depend on the other load of the machine.
 *
 * <p>An instance accumulates the cost of several operations. Instances are not thread-safe.
 */
final class ResourceMeter {
    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    private static final OperatingSystemMXBean SYSTEM =
            (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();

    private long cpuNanos;
    private long allocatedBytes;

    /** Returns the accumulated CPU time in microseconds. */
    double cpuMicros() {
        return cpuNanos / 1e3;
    }

    /** Returns the accumulated CPU time in nanoseconds. */
    long cpuNanos() {
        return cpuNanos;
    }

    /** Returns the accumulated allocated bytes. */
    long allocatedBytes() {
        return allocatedBytes;
    }

    /** Runs an operation on this thread, adds its cost and returns its result. */
    <T> T measure(Supplier<T> work) {
        long bytes = THREADS.getCurrentThreadAllocatedBytes();
        long begin = THREADS.getCurrentThreadCpuTime();
        T result = work.get();
        cpuNanos += THREADS.getCurrentThreadCpuTime() - begin;
        allocatedBytes += THREADS.getCurrentThreadAllocatedBytes() - bytes;
        return result;
    }

    /** Resets the accumulated cost. */
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

    /** Returns the bytes of live objects, after full collections. */
    static long liveBytes() {
        // A soft reference that was used since the last collection survives the next one.
        for (int i = 0; i < 4; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
