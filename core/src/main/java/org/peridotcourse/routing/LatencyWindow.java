package org.peridotcourse.routing;

/**
 * Recent latencies of one backend server or of one service. Confined to the router's thread.
 *
 * <p>The maximum of the last 64 values approximates the 99th percentile. It needs no sorting and
 * tends to be too high, which delays the suspicion of a connection instead of causing a false one.
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

    /** Adds a value that replaces at least the given fraction of the mean. */
    void add(long millis, double minGain) {
        recentMillis[count++ % SIZE] = millis;
        double gain = Math.max(Math.max(MIN_GAIN, minGain), 1.0 / count);
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
        long max = 0;
        for (int i = 0; i < Math.min(count, SIZE); i++) {
            max = Math.max(max, recentMillis[i]);
        }
        return max;
    }
}
