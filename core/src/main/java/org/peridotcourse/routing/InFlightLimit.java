package org.peridotcourse.routing;

/**
 * Adaptive limit on the requests that this entry host has in flight on one backend server. Confined
 * to the router's thread.
 *
 * <p>It starts at the fixed share of this entry host and grows while it is fully used and the
 * latency stays near the unloaded latency. High latency reduces it to no less than the share, a
 * refusal to no less than 1.
 */
final class InFlightLimit {
    /** Means of fewer responses vary too much to distinguish load from random variation. */
    private static final int WINDOW_RESPONSES = 32;

    /** Responses at the full limit after which the limit grows; doubled by each refusal. */
    private static final int INITIAL_GROWTH_THRESHOLD = 8;

    private static final int MAX_GROWTH_THRESHOLD = 512;
    private static final double HIGH_LATENCY_FACTOR = 1.5;
    private static final double DECREASE_FACTOR = 0.8;

    private int share = 1;
    private int slots = 1;
    private double limit = 1;
    private double latencySumMillis;
    private int responseCount;
    private boolean latencyHigh;
    private int responsesAtLimit;
    private int growthThreshold = INITIAL_GROWTH_THRESHOLD;

    /** Changes the bounds. If they differ, the limit is reset to the new share. */
    void update(int newShare, int newSlots) {
        int boundedShare = Math.min(newShare, newSlots);
        if (boundedShare != share || newSlots != slots) {
            share = boundedShare;
            slots = newSlots;
            limit = share;
        }
    }

    int share() {
        return share;
    }

    int value() {
        return (int) limit;
    }

    /**
     * Records the latency of a response, whether the limit was reached, and the unloaded latency.
     */
    void onResponse(long latencyMillis, boolean wasAtLimit, double unloadedMillis) {
        latencySumMillis += latencyMillis;
        responseCount++;
        responsesAtLimit += wasAtLimit ? 1 : 0;
        if (responsesAtLimit >= growthThreshold && !latencyHigh && unloadedMillis > 0) {
            limit = Math.min(slots, limit + 1);
            responsesAtLimit = 0;
        }
        if (responseCount < WINDOW_RESPONSES) {
            return;
        }
        latencyHigh =
                unloadedMillis > 0
                        && latencySumMillis / responseCount > unloadedMillis * HIGH_LATENCY_FACTOR;
        if (latencyHigh) {
            limit = Math.max(share, limit * DECREASE_FACTOR);
            responsesAtLimit = 0;
        }
        latencySumMillis = 0;
        responseCount = 0;
    }

    /** Records that the backend server refused a request. */
    void onRefused() {
        limit = Math.max(Math.min(1, share), Math.min(share, limit - 1));
        growthThreshold = Math.min(MAX_GROWTH_THRESHOLD, growthThreshold * 2);
        responsesAtLimit = 0;
    }
}
