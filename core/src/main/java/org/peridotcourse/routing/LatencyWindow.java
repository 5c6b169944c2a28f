package org.peridotcourse.routing;

/**
 * Recent latencies of one backend server or of one service. Confined to the router's thread.
 *
 * <p>The highest of the last 64 values stands for the 99th percentile: it needs no sorting and errs
 * on the long side, which delays a suspicion instead of raising a false one.
 */
final class LatencyWindow {
    private static final int SIZE = 64;
    private static final double GAIN = 0.05;

    private final long[] recent = new long[SIZE];
    private int count;
    private double mean;

    void add(long millis) {
        add(millis, GAIN);
    }

    /** Takes a value that replaces at least the given part of the mean. */
    void add(long millis, double leastGain) {
        recent[count++ % SIZE] = millis;
        double gain = Math.max(Math.max(GAIN, leastGain), 1.0 / count);
        mean = count == 1 ? millis : mean + gain * (millis - mean);
    }

    boolean isEmpty() {
        return count == 0;
    }

    /** Returns the moving mean, at least a tenth of a millisecond. */
    double mean() {
        return Math.max(0.1, mean);
    }

    long high() {
        long high = 0;
        for (int i = 0; i < Math.min(count, SIZE); i++) {
            high = Math.max(high, recent[i]);
        }
        return high;
    }
}
