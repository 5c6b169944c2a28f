package org.peridotcourse.daemon.dispatch;

import org.peridotcourse.daemon.log.EventLog;

/**
 * Tracks how long ago the configuration of this host was last confirmed to be the newest one.
 * Confined to the event loop, except {@link #ageMillis(long)}, which is thread-safe.
 */
final class ConfigAge {
    /**
     * Age of the configuration up to which a rejection of a call is final. The feed confirms the
     * version each second while nothing changes, so this allows for one lost answer.
     */
    static final long RECENT_MILLIS = 3_000;

    private final EventLog log;
    private volatile long confirmedAt;
    private boolean everConfirmed;
    private boolean unconfirmedLogged;

    ConfigAge(EventLog log) {
        this.log = log;
    }

    /** Starts to measure the age; nothing is confirmed yet. */
    void start(long now) {
        confirmedAt = now;
    }

    /**
     * Records that a version was the newest one. A time before the start is ignored, since the key
     * of a caller may have been revoked between the two.
     *
     * @param asOf the latest time at which this is certain
     * @param version the version
     */
    void confirm(long asOf, long version) {
        if (asOf < confirmedAt) {
            return;
        }
        if (unconfirmedLogged) {
            unconfirmedLogged = false;
            log.event(DispatchEvent.CONFIG_CONFIRMED)
                    .with("version", version)
                    .with("afterMillis", asOf - confirmedAt)
                    .write();
        }
        everConfirmed = true;
        confirmedAt = asOf;
    }

    /** Logs once when the version has not been confirmed for {@link #RECENT_MILLIS}. */
    void logIfUnconfirmed(long now, long version) {
        if (!unconfirmedLogged && ageMillis(now) > RECENT_MILLIS) {
            unconfirmedLogged = true;
            log.event(DispatchEvent.CONFIG_UNCONFIRMED)
                    .with("version", version)
                    .with("ageMillis", ageMillis(now))
                    .with("everConfirmed", everConfirmed)
                    .write();
        }
    }

    /** Returns whether a version was confirmed since the process started. */
    boolean isEverConfirmed() {
        return everConfirmed;
    }

    /** Returns whether the version was confirmed within {@link #RECENT_MILLIS}. */
    boolean isRecent(long now) {
        return everConfirmed && ageMillis(now) <= RECENT_MILLIS;
    }

    /** Returns the time since the last confirmation, or since the start if there was none. */
    long ageMillis(long now) {
        return now - confirmedAt;
    }
}
