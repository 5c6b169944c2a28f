package org.peridotcourse.routing;

/**
 * Ejection of one backend server. Confined to the router's thread.
 *
 * <p>Three consecutive failures on different connections eject it for a time that doubles from 1 s
 * to 30 s. Then one request at a time probes it until one is answered.
 */
final class Health {
    private static final int FAILURES = 3;
    private static final long FIRST_MILLIS = 1_000;

    /** Pause between connection attempts to a suspected server that may not be ejected. */
    private static final long TRY_MILLIS = 100;

    private static final long LONGEST_MILLIS = 30_000;

    private boolean ejected;
    private boolean probing;
    private long untilMillis;
    private long nextMillis = FIRST_MILLIS;
    private int failures;
    private boolean suspected;
    private long nextTryMillis;
    private long lastFailed;

    boolean isHealthy() {
        return !ejected;
    }

    boolean isProbing() {
        return probing;
    }

    /** Tells whether its last connection failed and no new one is proved yet. */
    boolean isSuspected() {
        return suspected;
    }

    boolean isUnsuspected() {
        return !ejected && !suspected;
    }

    /** Takes the news that a new connection is open. */
    void onConnected() {
        suspected = false;
    }

    /** Tells whether a suspected server is to be tried by a new connection now. */
    boolean startTry(long now) {
        if (ejected || !suspected || now < nextTryMillis) {
            return false;
        }
        nextTryMillis = now + TRY_MILLIS;
        return true;
    }

    boolean hasFailed() {
        return failures > 0 || ejected;
    }

    /** Counts a failure on a connection; mayEject tells whether enough servers remain. */
    void onFailure(long now, long connection, boolean mayEject) {
        if (connection != lastFailed) {
            failures++;
            lastFailed = connection;
        }
        suspected = true;
        boolean again = ejected && probing;
        if (again || (!ejected && failures >= FAILURES && mayEject)) {
            ejected = true;
            probing = false;
            untilMillis = now + nextMillis;
            nextMillis = Math.min(LONGEST_MILLIS, nextMillis * 2);
        }
    }

    void onAnswer() {
        failures = 0;
        suspected = false;
        if (ejected && !probing) {
            return; // A late answer of an old request proves nothing about new ones.
        }
        ejected = false;
        probing = false;
        nextMillis = FIRST_MILLIS;
    }

    /** Starts the probe if the time of the ejection is over; tells whether it starts now. */
    boolean startProbe(long now) {
        if (!ejected || probing || now < untilMillis) {
            return false;
        }
        probing = true;
        return true;
    }
}
