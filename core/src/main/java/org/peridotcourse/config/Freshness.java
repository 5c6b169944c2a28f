package org.peridotcourse.config;

/**
 * Knows since when the version in force may be outdated.
 *
 * <p>If the table service had no version later than V at time T, then a daemon that has V or a
 * later version lacks only versions that were written after T. A confirmation therefore stays valid
 * when a later version comes into force, and a peer that is behind confirms too.
 *
 * <p>Every confirmation counts from the sending of the request that brought it, so the age is never
 * too low, whatever the transit time was. Only replies confirm: the transit time of a message that
 * was not asked for is unknown. Times are the local monotonic clock. Confined to one thread.
 */
public final class Freshness {
    /** Age of a version that nobody has confirmed; sums with transit times do not overflow. */
    public static final long NEVER_CONFIRMED = Long.MAX_VALUE / 4;

    /** Oldest confirmation with which a task may start. */
    public static final long MAX_TASK_START_AGE_MILLIS = 3000;

    private long confirmedMillis;
    private boolean hasConfirmation;

    /**
     * Returns the age of the version in force.
     *
     * @param nowMillis the present time
     * @return milliseconds since the last confirmation, or {@link #NEVER_CONFIRMED}
     */
    public long ageMillis(long nowMillis) {
        return hasConfirmation ? Math.max(0, nowMillis - confirmedMillis) : NEVER_CONFIRMED;
    }

    /**
     * Records a reply that names the version in force or an earlier one as confirmed: from the
     * table service with age 0, or from a peer with the age that the peer knows.
     *
     * @param sentMillis when the request was sent
     * @param ageMillis the age in the reply
     */
    public void confirm(long sentMillis, long ageMillis) {
        if (ageMillis < 0 || ageMillis >= NEVER_CONFIRMED) {
            return;
        }
        long since = sentMillis - ageMillis;
        if (!hasConfirmation || since > confirmedMillis) {
            confirmedMillis = since;
            hasConfirmation = true;
        }
    }
}
