package org.peridotcourse.routing;

/**
 * Ejection of one backend server. Confined to the router's thread.
 *
 * <p>Three consecutive failures on different connections eject it for a time that doubles from 1 s
 * to 30 s. Then one request at a time probes it until one is answered.
 */
final class Health {
    private static final int FAILURES_UNTIL_EJECTED = 3;
    private static final long INITIAL_EJECTION_MILLIS = 1_000;

    /** Pause between connection attempts to a suspected server that may not be ejected. */
    private static final long CONNECT_INTERVAL_MILLIS = 100;

    private static final long MAX_EJECTION_MILLIS = 30_000;

    private boolean ejected;
    private boolean probing;
    private long ejectedUntilMillis;
    private long nextEjectionMillis = INITIAL_EJECTION_MILLIS;
    private int consecutiveFailures;
    private boolean suspected;
    private long nextConnectMillis;
    private long lastFailedConnection;

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

    boolean isHealthyAndUnsuspected() {
        return !ejected && !suspected;
    }

    /** Takes the news that a new connection is open. */
    void onConnected() {
        suspected = false;
    }

    /** Tells whether a suspected server is to be tried by a new connection now. */
    boolean tryStartConnect(long now) {
        if (ejected || !suspected || now < nextConnectMillis) {
            return false;
        }
        nextConnectMillis = now + CONNECT_INTERVAL_MILLIS;
        return true;
    }

    boolean hasRecentFailure() {
        return consecutiveFailures > 0 || ejected;
    }

    /** Counts a failure on a connection; mayEject tells whether enough servers remain. */
    void onFailure(long now, long connection, boolean mayEject) {
        if (connection != lastFailedConnection) {
            consecutiveFailures++;
            lastFailedConnection = connection;
        }
        suspected = true;
        boolean again = ejected && probing;
        if (again || (!ejected && consecutiveFailures >= FAILURES_UNTIL_EJECTED && mayEject)) {
            ejected = true;
            probing = false;
            ejectedUntilMillis = now + nextEjectionMillis;
            nextEjectionMillis = Math.min(MAX_EJECTION_MILLIS, nextEjectionMillis * 2);
        }
    }

    void onResponse() {
        consecutiveFailures = 0;
        suspected = false;
        if (ejected && !probing) {
            return; // A late answer of an old request proves nothing about new ones.
        }
        ejected = false;
        probing = false;
        nextEjectionMillis = INITIAL_EJECTION_MILLIS;
    }

    /** Starts the probe if the time of the ejection is over; tells whether it starts now. */
    boolean tryStartProbe(long now) {
        if (!ejected || probing || now < ejectedUntilMillis) {
            return false;
        }
        probing = true;
        return true;
    }
}
