package org.peridotcourse.config;

/**
 * Tracks since when the configuration version in force may be outdated.
 *
 * <p>If the table service had no version later than V at time T, then a daemon with V or a later
 * version lacks only versions that were written after T. A confirmation therefore stays valid when
 * a later version is installed, and a peer with an older version can confirm as well.
 *
 * <p>A confirmation counts from the time at which the request for it was sent, so the age is never
 * too low, whatever the transit time was. Only replies confirm: the transit time of an unsolicited
 * message is unknown. Times are those of the local monotonic clock. Confined to one thread.
 */
public final class Freshness {
    /** Age of a version without confirmation; adding transit times to it does not overflow. */
    public static final long NEVER_CONFIRMED = Long.MAX_VALUE / 4;

    /** Largest age of the configuration at which a task may start. */
    public static final long MAX_TASK_START_AGE_MILLIS = 3000;

    private long confirmedMillis;
    private boolean hasConfirmation;

    /**
     * Returns the age of the version in force.
     *
     * @param nowMillis the current time
     * @return milliseconds since the last confirmation, or {@link #NEVER_CONFIRMED}
     */
    public long ageMillis(long nowMillis) {
        return hasConfirmation ? Math.max(0, nowMillis - confirmedMillis) : NEVER_CONFIRMED;
    }

    /**
     * Records a reply that confirms the version in force or an earlier one. A reply of the table
     * service has age 0; a reply of a peer has the age that the peer computed. Negative and unknown
     * ages are ignored.
     *
     * @param sentMillis when the request was sent
     * @param ageMillis the age that the reply states
     */
    public void confirm(long sentMillis, long ageMillis) {
        if (ageMillis < 0 || ageMillis >= NEVER_CONFIRMED) {
            return;
        }
        long validAtMillis = sentMillis - ageMillis;
        if (!hasConfirmation || validAtMillis > confirmedMillis) {
            confirmedMillis = validAtMillis;
            hasConfirmation = true;
        }
    }
}
