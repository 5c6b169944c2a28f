package org.peridotcourse.daemon.control;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import org.peridotcourse.daemon.log.EventLog;

/**
 * A thread that runs the steps of its duties in turn, once per period.
 *
 * <p>If a step throws an unexpected exception, it is logged and the thread continues, because
 * nobody would notice a daemon that keeps running without one of its duties. It is thread-safe.
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
     * @param periodMillis the time from the start of one round to the start of the next
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
     * Returns the monotonic time of the process.
     *
     * @return the present time in milliseconds
     */
    public static long monotonicMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Stops the thread after the current round and waits until it has ended. */
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
        long nextRoundNanos = System.nanoTime();
        while (!stopped) {
            for (Duty duty : duties) {
                runStep(duty);
            }
            nextRoundNanos = Math.max(nextRoundNanos + periodNanos, System.nanoTime());
            while (!stopped && System.nanoTime() < nextRoundNanos) {
                LockSupport.parkNanos(nextRoundNanos - System.nanoTime());
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
