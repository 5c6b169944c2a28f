package org.peridotcourse.daemon.dispatch;

/**
 * Leaves time between rounds of decisions, so that an owner of many workers reads their reports and
 * renews its leases however long a round takes. Confined to the loop.
 */
final class StepPacer {
    /** Several reports are decided on together. */
    private static final long SHORTEST_PAUSE_MILLIS = 4;

    private static final long LONGEST_PAUSE_MILLIS = 60;

    /** A pause is this multiple of the round before it. */
    private static final int PAUSE_FACTOR = 2;

    private long nextAt;

    /** Returns the time until a round may begin, 0 if it may begin now. */
    long waitMillis(long now) {
        return Math.max(0, nextAt - now);
    }

    /** Takes note of a round. */
    void onRound(long beganAt, long endedAt) {
        long pause = PAUSE_FACTOR * (endedAt - beganAt);
        nextAt = endedAt + Math.min(LONGEST_PAUSE_MILLIS, Math.max(SHORTEST_PAUSE_MILLIS, pause));
    }
}
