package org.peridotcourse.routing;

/**
 * Recent latencies of one backend server or of one service. Confined to the router's thread.
 *
 * <p>The highest of the last 64 values stands for the 99th percentile: it needs no sorting and errs
 * on the long side, which delays a suspicion instead of raising a false one.
 */
final class LatencyWindow {
    private static final int SIZE = 64;
    private static final double MIN_GAIN = 0.05;

    private final long[] recentMillis = new long[SIZE];
    private int count;
    private double meanMillis;

    void add(long millis) {
        add(millis, MIN_GAIN);
    }

    /** Takes a value that replaces at least the given part of the mean. */
    void add(long millis, double leastGain) {
        recentMillis[count++ % SIZE] = millis;
        double gain = Math.max(Math.max(MIN_GAIN, leastGain), 1.0 / count);
        meanMillis = count == 1 ? millis : meanMillis + gain * (millis - meanMillis);
    }

    boolean isEmpty() {
        return count == 0;
    }

    /** Returns the moving mean, at least a tenth of a millisecond. */
    double meanMillis() {
        return Math.max(0.1, meanMillis);
    }

    long maxMillis() {
        long high = 0;
        for (int i = 0; i < Math.min(count, SIZE); i++) {
            high = Math.max(high, recentMillis[i]);
        }
        return high;
    }
}
