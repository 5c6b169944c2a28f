package org.peridotcourse.routing;

/**
 * Failure detection and ejection of one backend server. Confined to the router's thread.
 *
 * <p>Three consecutive failures on different connections eject the server for a time that doubles
 * from 1 s to 30 s. After that, one request at a time probes the server until it answers one.
 */
final class Health {
    private static final int FAILURES_UNTIL_EJECTED = 3;
    private static final long INITIAL_EJECTION_MILLIS = 1_000;

    /** Interval between connection attempts to a suspected server that is not ejected. */
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

    /**
     * Returns whether a connection failed and neither a new connection nor a response has succeeded
     * since.
     */
    boolean isSuspected() {
        return suspected;
    }

    boolean isHealthyAndUnsuspected() {
        return !ejected && !suspected;
    }

    /** Records that a new connection is open. */
    void onConnected() {
        suspected = false;
    }

    /**
     * Returns true if a new connection to the suspected server is due, and schedules the next one.
     */
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

    /**
     * Records a failure on a connection. The server is ejected only if mayEject is true, that is,
     * if enough servers remain.
     */
    void onFailure(long now, long connection, boolean mayEject) {
        if (connection != lastFailedConnection) {
            consecutiveFailures++;
            lastFailedConnection = connection;
        }
        suspected = true;
        boolean probeFailed = ejected && probing;
        if (probeFailed
                || (!ejected && consecutiveFailures >= FAILURES_UNTIL_EJECTED && mayEject)) {
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
            return; // A late response to an old request does not show recovery.
        }
        ejected = false;
        probing = false;
        nextEjectionMillis = INITIAL_EJECTION_MILLIS;
    }

    /** Starts the probe if the ejection time is over. Returns whether it started. */
    boolean tryStartProbe(long now) {
        if (!ejected || probing || now < ejectedUntilMillis) {
            return false;
        }
        probing = true;
        return true;
    }
}
