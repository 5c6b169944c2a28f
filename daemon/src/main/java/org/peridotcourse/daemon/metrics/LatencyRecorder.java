package org.peridotcourse.daemon.metrics;

import org.HdrHistogram.Histogram;

/**
 * Quantiles of latencies over the last one to two minutes, and their total number. It is
 * thread-safe.
 *
 * <p>Two histograms take turns: one fills while the other keeps the previous minute.
 */
public final class LatencyRecorder {
    private static final long WINDOW_MILLIS = 60_000;
    private static final long MAX_MICROS = 120_000_000;

    /** Two significant digits are exact to 1% and need about 20 KiB per histogram. */
    private static final int DIGITS = 2;

    private Histogram filling = new Histogram(MAX_MICROS, DIGITS);
    private Histogram previous = new Histogram(MAX_MICROS, DIGITS);
    private long windowStart;
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
        filling.recordValue(Math.min(Math.max(micros, 0), MAX_MICROS));
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
        Histogram sum = previous.copy();
        sum.add(filling);
        return sum.getTotalCount() == 0 ? 0 : sum.getValueAtPercentile(quantile * 100) / 1e6;
    }

    /**
     * Returns how many latencies were recorded in all.
     *
     * @return the number
     */
    public synchronized long count() {
        return count;
    }

    /**
     * Returns the sum of all latencies.
     *
     * @return seconds
     */
    public synchronized double sumSeconds() {
        return sumSeconds;
    }

    private void rotate(long now) {
        long age = now - windowStart;
        if (age < WINDOW_MILLIS) {
            return;
        }
        Histogram oldest = previous;
        previous = filling;
        filling = oldest;
        filling.reset();
        if (age >= 2 * WINDOW_MILLIS) {
            previous.reset();
        }
        windowStart = now;
    }
}
