package org.peridotcourse.daemon.dispatch;

/**
 * Limits the rate of rounds of decisions, so that an owner of many workers has time to process
 * their reports and to renew leases, however long a round takes. Confined to the event loop.
 */
final class RoundPacer {
    /** The shortest pause lets several reports be processed in one round. */
    private static final long MIN_PAUSE_MILLIS = 4;

    private static final long MAX_PAUSE_MILLIS = 60;

    /** A pause is this multiple of the duration of the round before it. */
    private static final int PAUSE_FACTOR = 2;

    private long nextRoundAt;

    /** Returns the time until a round may begin, 0 if it may begin now. */
    long waitMillis(long now) {
        return Math.max(0, nextRoundAt - now);
    }

    /** Records a round. */
    void onRound(long startedAt, long endedAt) {
        long pause = PAUSE_FACTOR * (endedAt - startedAt);
        nextRoundAt = endedAt + Math.min(MAX_PAUSE_MILLIS, Math.max(MIN_PAUSE_MILLIS, pause));
    }
}
