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
    private static final int WINDOW = 32;

    /** Replies at the full limit after which it grows; doubles with each refusal. */
    private static final int FIRST_GROWTH = 8;

    private static final int LAST_GROWTH = 512;
    private static final double HIGH_LATENCY = 1.5;
    private static final double CUT = 0.8;

    private int share = 1;
    private int slots = 1;
    private double limit = 1;
    private double sum;
    private int count;
    private boolean high;
    private int fullReplies;
    private int growAfter = FIRST_GROWTH;

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
    void onReply(long millis, boolean wasFull, double unloaded) {
        sum += millis;
        count++;
        fullReplies += wasFull ? 1 : 0;
        if (fullReplies >= growAfter && !high && unloaded > 0) {
            limit = Math.min(slots, limit + 1);
            fullReplies = 0;
        }
        if (count < WINDOW) {
            return;
        }
        high = unloaded > 0 && sum / count > unloaded * HIGH_LATENCY;
        if (high) {
            limit = Math.max(share, limit * CUT);
            fullReplies = 0;
        }
        sum = 0;
        count = 0;
    }

    /** Takes the news that the backend server refused a request. */
    void onRefused() {
        limit = Math.max(Math.min(1, share), Math.min(share, limit - 1));
        growAfter = Math.min(LAST_GROWTH, growAfter * 2);
        fullReplies = 0;
    }
}
