package org.peridotcourse.daemon.dispatch;

/**
 * Detects pauses of this process, so that it confirms its lease before it acts again. Confined to
 * the event loop.
 *
 * <p>The pause of a process shows as a gap in the monotonic clock. The suspension of a machine may
 * not, since that clock stops too; it shows as a gap in the wall clock.
 */
final class PauseDetector {
    /**
     * Shortest gap that counts as a pause: longer than any round of the event loop of a healthy
     * process, and shorter than the owner's lease.
     */
    static final long MIN_PAUSE_MILLIS = 1_000;

    private boolean started;
    private long lastMonotonicMillis;
    private long lastWallMillis;

    /**
     * Observes the current times of both clocks; called several times a second.
     *
     * @return the length of the pause since the last call, 0 if there was none
     */
    long observe(long now, long wallNow) {
        long monotonicGap = now - lastMonotonicMillis;
        long wallGap = wallNow - lastWallMillis;
        boolean first = !started;
        started = true;
        lastMonotonicMillis = now;
        lastWallMillis = wallNow;
        long pause = Math.max(monotonicGap, wallGap);
        return first || pause < MIN_PAUSE_MILLIS ? 0 : pause;
    }
}
