package org.peridotcourse.daemon.dispatch;

import org.peridotcourse.daemon.log.EventLog;

/**
 * Keeps how long ago this host last knew that its configuration was the newest one. Confined to the
 * loop, except {@link #ageMillis}, which is thread-safe.
 */
final class ConfigAge {
    /**
     * Age up to which a refusal by the configuration is final. The feed confirms each second while
     * nothing changes, so this allows for one answer that is lost.
     */
    static final long RECENT_MILLIS = 3_000;

    private final EventLog log;
    private volatile long confirmedAt;
    private boolean everConfirmed;
    private boolean unconfirmedLogged;

    ConfigAge(EventLog log) {
        this.log = log;
    }

    /** Begins to count; nothing is confirmed yet. */
    void start(long now) {
        confirmedAt = now;
    }

    /**
     * Notes that a version was the newest one. A moment before the start tells nothing: the key of
     * a caller may have been withdrawn between the two.
     *
     * @param asOf the moment at which it certainly was
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

    /** Writes once that the version could not be confirmed for a while. */
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

    /** Tells whether a version was confirmed since the process started. */
    boolean isEverConfirmed() {
        return everConfirmed;
    }

    /** Tells whether the version was confirmed a short time ago. */
    boolean isRecent(long now) {
        return everConfirmed && ageMillis(now) <= RECENT_MILLIS;
    }

    /** Returns the time since the last confirmation, or since the start if there was none. */
    long ageMillis(long now) {
        return now - confirmedAt;
    }
}
