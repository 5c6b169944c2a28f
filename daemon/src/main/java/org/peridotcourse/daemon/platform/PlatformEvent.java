package org.peridotcourse.daemon.platform;

import java.lang.System.Logger.Level;
import org.peridotcourse.daemon.log.Event;

/** Log records of the platform client. Constants are immutable and thread-safe. */
public enum PlatformEvent implements Event {
    /** The platform stopped answering. */
    UNREACHABLE(
            5001,
            "platform.unreachable",
            Level.WARNING,
            "The first call after a success had no answer; fields address, call, failure"),
    /** The platform answers again. */
    REACHABLE(
            5002,
            "platform.reachable",
            Level.INFO,
            "The first call after failures was answered; fields address, failures"),
    /** An answer was not understood. */
    BROKEN_ANSWER(
            5003,
            "platform.misunderstood",
            Level.WARNING,
            "An answer does not follow the protocol; fields address, call, status, detail");

    private final int number;
    private final String title;
    private final Level level;
    private final String description;

    PlatformEvent(int number, String title, Level level, String description) {
        this.number = number;
        this.title = title;
        this.level = level;
        this.description = description;
    }

    @Override
    public int number() {
        return number;
    }

    @Override
    public String title() {
        return title;
    }

    @Override
    public Level level() {
        return level;
    }

    @Override
    public String description() {
        return description;
    }
}
