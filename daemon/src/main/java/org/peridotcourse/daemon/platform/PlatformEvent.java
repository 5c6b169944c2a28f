package org.peridotcourse.daemon.platform;

import java.lang.System.Logger.Level;
import org.peridotcourse.daemon.log.Event;
import org.peridotcourse.daemon.log.EventInfo;

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

    private final EventInfo info;

    PlatformEvent(int number, String title, Level level, String description) {
        this.info = new EventInfo(number, title, level, description);
    }

    @Override
    public EventInfo info() {
        return info;
    }
}
