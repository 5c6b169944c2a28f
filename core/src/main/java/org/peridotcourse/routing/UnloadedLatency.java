package org.peridotcourse.routing;

/**
 * Estimate of a service's mean latency without queueing at its servers. Confined to the router's
 * thread.
 *
 * <p>It follows the lowest mean. It rises only while no server has more requests in flight than its
 * share, since then no queueing can be due to this entry host; otherwise an overload that lasts
 * would raise the estimate, and with it the limits, without end.
 */
final class UnloadedLatency {
    private static final int WINDOW = 256;
    private static final double RISE = 0.1;

    private double sum;
    private int count;
    private boolean beyondShare;
    private double value;

    /** Takes a latency and whether its server had more requests in flight than the share. */
    void add(long millis, boolean beyond) {
        sum += millis;
        count++;
        beyondShare |= beyond;
        if (count < WINDOW) {
            return;
        }
        double mean = sum / count;
        if (value == 0 || mean < value) {
            value = mean;
        } else if (!beyondShare) {
            value += RISE * (mean - value);
        }
        sum = 0;
        count = 0;
        beyondShare = false;
    }

    /** Returns the estimate, or 0 if there is none yet. */
    double value() {
        return value;
    }
}
