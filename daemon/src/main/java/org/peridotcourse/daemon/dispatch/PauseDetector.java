package org.peridotcourse.daemon.dispatch;

/**
 * Notices that this process stood still, so that what it was permitted before is confirmed before
 * it acts again. Confined to the loop.
 *
 * <p>A stopped process sees a gap in the monotonic clock. A suspended machine may see none, since
 * that clock stands still too; there the wall clock runs ahead.
 */
final class PauseDetector {
    /** Longer than any round of the loop of a sound process, and shorter than the owner's lease. */
    static final long MIN_PAUSE_MILLIS = 1_000;

    private boolean started;
    private long lastMonotonicMillis;
    private long lastWallMillis;

    /**
     * Takes the present times; called several times a second.
     *
     * @return the length of the pause since the last call, 0 if there was none
     */
    long observe(long now, long wallNow) {
        long steady = now - lastMonotonicMillis;
        long wall = wallNow - lastWallMillis;
        boolean first = !started;
        started = true;
        lastMonotonicMillis = now;
        lastWallMillis = wallNow;
        long pause = Math.max(steady, wall);
        return first || pause < MIN_PAUSE_MILLIS ? 0 : pause;
    }
}
