package org.peridotcourse.daemon.dispatch;

/**
 * Leaves time between rounds of decisions, so that an owner of many workers reads their reports and
 * renews its leases however long a round takes. Confined to the loop.
 */
final class RoundPacer {
    /** Several reports are decided on together. */
    private static final long MIN_PAUSE_MILLIS = 4;

    private static final long MAX_PAUSE_MILLIS = 60;

    /** A pause is this multiple of the round before it. */
    private static final int PAUSE_FACTOR = 2;

    private long nextRoundAt;

    /** Returns the time until a round may begin, 0 if it may begin now. */
    long waitMillis(long now) {
        return Math.max(0, nextRoundAt - now);
    }

    /** Takes note of a round. */
    void onRound(long beganAt, long endedAt) {
        long pause = PAUSE_FACTOR * (endedAt - beganAt);
        nextRoundAt = endedAt + Math.min(MAX_PAUSE_MILLIS, Math.max(MIN_PAUSE_MILLIS, pause));
    }
}
