package org.peridotcourse.routing;

/**
 * Estimate of the mean latency of a service without queueing at its servers. Confined to the
 * router's thread.
 *
 * <p>It follows the lowest mean of a window of responses. It rises only while no server has more
 * requests in flight than its share, since then this entry host cannot cause queueing. Otherwise a
 * lasting overload would raise the estimate, and thus the limits, without bound.
 */
final class UnloadedLatency {
    private static final int WINDOW_RESPONSES = 256;
    private static final double RISE_GAIN = 0.1;

    private double latencySumMillis;
    private int responseCount;
    private boolean shareExceeded;
    private double meanMillis;

    /** Adds a latency and whether its server had more requests in flight than the share. */
    void add(long latencyMillis, boolean exceedsShare) {
        latencySumMillis += latencyMillis;
        responseCount++;
        shareExceeded |= exceedsShare;
        if (responseCount < WINDOW_RESPONSES) {
            return;
        }
        double mean = latencySumMillis / responseCount;
        if (meanMillis == 0 || mean < meanMillis) {
            meanMillis = mean;
        } else if (!shareExceeded) {
            meanMillis += RISE_GAIN * (mean - meanMillis);
        }
        latencySumMillis = 0;
        responseCount = 0;
        shareExceeded = false;
    }

    /** Returns the estimate, or 0 if there is none yet. */
    double meanMillis() {
        return meanMillis;
    }
}
