package org.peridotcourse.daemon.metrics;

import org.HdrHistogram.Histogram;

/**
 * Records latencies: quantiles over the last one to two minutes, and the total number and sum. It
 * is thread-safe.
 *
 * <p>Two histograms alternate: one records the current minute, the other holds the previous one.
 */
public final class LatencyRecorder {
    private static final long WINDOW_MILLIS = 60_000;
    private static final long MAX_MICROS = 120_000_000;

    /** Two significant digits give a precision of 1% and need about 20 KiB per histogram. */
    private static final int SIGNIFICANT_DIGITS = 2;

    private Histogram current = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private Histogram previous = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private long windowStartMillis;
    private long count;
    private double sumSeconds;

    /**
     * Adds a latency.
     *
     * @param now monotonic milliseconds
     * @param micros the latency in microseconds
     */
    public synchronized void record(long now, long micros) {
        rotate(now);
        current.recordValue(Math.min(Math.max(micros, 0), MAX_MICROS));
        count++;
        sumSeconds += micros / 1e6;
    }

    /**
     * Returns a quantile.
     *
     * @param now monotonic milliseconds
     * @param quantile the quantile, between 0 and 1
     * @return seconds, 0 if nothing was recorded
     */
    public synchronized double quantile(long now, double quantile) {
        rotate(now);
        Histogram merged = previous.copy();
        merged.add(current);
        return merged.getTotalCount() == 0 ? 0 : merged.getValueAtPercentile(quantile * 100) / 1e6;
    }

    /**
     * Returns the number of latencies since the start.
     *
     * @return the number
     */
    public synchronized long count() {
        return count;
    }

    /**
     * Returns the sum of all latencies since the start.
     *
     * @return seconds
     */
    public synchronized double sumSeconds() {
        return sumSeconds;
    }

    private void rotate(long now) {
        long age = now - windowStartMillis;
        if (age < WINDOW_MILLIS) {
            return;
        }
        Histogram expired = previous;
        previous = current;
        current = expired;
        current.reset();
        if (age >= 2 * WINDOW_MILLIS) {
            previous.reset();
        }
        windowStartMillis = now;
    }
}
