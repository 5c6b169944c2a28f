package org.peridotcourse.daemon.control;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import org.peridotcourse.daemon.log.EventLog;

/**
 * Calls the steps of duties one after the other in a fixed period.
 *
 * <p>An unexpected exception of a step is logged and does not end the thread, because a daemon that
 * runs on without one of its duties would not be noticed. It is thread-safe.
 */
public final class DutyThread implements AutoCloseable {
    private final Thread thread;
    private final List<Duty> duties;
    private final long periodNanos;
    private final LongSupplier clockMillis;
    private final EventLog log;
    private volatile boolean stopped;

    /**
     * Creates and starts the thread.
     *
     * @param name the name of the thread
     * @param duties the duties, in the order of their steps
     * @param periodMillis the time from the beginning of a round to the next
     * @param clockMillis the monotonic clock
     * @param log receives {@link ConfigEvent} records
     */
    public DutyThread(
            String name,
            List<Duty> duties,
            long periodMillis,
            LongSupplier clockMillis,
            EventLog log) {
        this.duties = List.copyOf(duties);
        this.periodNanos = TimeUnit.MILLISECONDS.toNanos(periodMillis);
        this.clockMillis = clockMillis;
        this.log = log;
        this.thread = new Thread(this::run, name);
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Returns the monotonic clock of the process in milliseconds.
     *
     * @return the present time
     */
    public static long monotonicMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Ends the thread after the present round and waits for it. */
    @Override
    public void close() {
        stopped = true;
        LockSupport.unpark(thread);
        try {
            thread.join();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        long next = System.nanoTime();
        while (!stopped) {
            for (Duty duty : duties) {
                runStep(duty);
            }
            next = Math.max(next + periodNanos, System.nanoTime());
            while (!stopped && System.nanoTime() < next) {
                LockSupport.parkNanos(next - System.nanoTime());
            }
        }
    }

    private void runStep(Duty duty) {
        try {
            duty.step(clockMillis.getAsLong());
        } catch (RuntimeException unexpected) {
            log.event(ConfigEvent.DUTY_FAILED)
                    .with("thread", thread.getName())
                    .with("duty", duty.getClass().getSimpleName())
                    .with("error", unexpected)
                    .write();
        }
    }
}
