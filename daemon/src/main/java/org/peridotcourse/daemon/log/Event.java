package org.peridotcourse.daemon.log;

import java.lang.System.Logger.Level;

/**
 * A numbered kind of log record. Each area of the daemon has an enum that implements it; the
 * catalogue is docs/EVENTS.md.
 *
 * <p>Numbers: 1000 requests, 2000 placement, 3000 configuration, 4000 membership, 5000 platform,
 * 6000 the job scheduler, 9000 process. Implementations are immutable and thread-safe.
 */
public interface Event {
    /**
     * Returns the catalogue entry of this event.
     *
     * @return number, name, level and description
     */
    EventInfo info();

    /**
     * Returns the number, unique among all events and never reused.
     *
     * @return the number
     */
    default int number() {
        return info().number();
    }

    /**
     * Returns the short name, such as {@code request.routed}.
     *
     * @return area and past participle, joined by a dot
     */
    default String title() {
        return info().title();
    }

    /**
     * Returns the level at which records of this kind are written.
     *
     * @return the level
     */
    default Level level() {
        return info().level();
    }

    /**
     * Returns the meaning of the record and its fields, for the catalogue.
     *
     * @return one sentence
     */
    default String description() {
        return info().description();
    }
}
