package org.peridotcourse.routing;

/**
 * Number of requests that this entry host keeps in flight on one backend server. Confined to the
 * router's thread.
 *
 * <p>It starts at the fixed share, grows while it is fully used and latency stays near the unloaded
 * one, and shrinks on refusals and rising latency, never below the share.
 */
final class InFlightLimit {
    /** Means of fewer replies vary too much to tell load from chance. */
    private static final int WINDOW_RESPONSES = 32;

    /** Replies at the full limit after which it grows; doubles with each refusal. */
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

    /** Changes the bounds; a changed share is in force at once. */
    void update(int newShare, int newSlots) {
        int bounded = Math.min(newShare, newSlots);
        if (bounded != share || newSlots != slots) {
            share = bounded;
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

    /** Takes the latency of a response, whether the limit was reached, and the unloaded latency. */
    void onResponse(long millis, boolean wasFull, double unloaded) {
        latencySumMillis += millis;
        responseCount++;
        responsesAtLimit += wasFull ? 1 : 0;
        if (responsesAtLimit >= growthThreshold && !latencyHigh && unloaded > 0) {
            limit = Math.min(slots, limit + 1);
            responsesAtLimit = 0;
        }
        if (responseCount < WINDOW_RESPONSES) {
            return;
        }
        latencyHigh =
                unloaded > 0 && latencySumMillis / responseCount > unloaded * HIGH_LATENCY_FACTOR;
        if (latencyHigh) {
            limit = Math.max(share, limit * DECREASE_FACTOR);
            responsesAtLimit = 0;
        }
        latencySumMillis = 0;
        responseCount = 0;
    }

    /** Takes the news that the backend server refused a request. */
    void onRefused() {
        limit = Math.max(Math.min(1, share), Math.min(share, limit - 1));
        growthThreshold = Math.min(MAX_GROWTH_THRESHOLD, growthThreshold * 2);
        responsesAtLimit = 0;
    }
}
