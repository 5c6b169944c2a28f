package org.peridotcourse.daemon.platform;

import java.lang.System.Logger.Level;
import org.peridotcourse.daemon.log.Event;
import org.peridotcourse.daemon.log.EventInfo;

/** Log events of the platform client. Constants are immutable and thread-safe. */
public enum PlatformEvent implements Event {
    /** A call to the platform failed after a successful one. */
    UNREACHABLE(
            5001,
            "platform.unreachable",
            Level.WARNING,
            "The first call after a success had no answer; fields address, call, failure"),
    /** The platform responds again. */
    REACHABLE(
            5002,
            "platform.reachable",
            Level.INFO,
            "The first call after failures was answered; fields address, failures"),
    /** A response does not follow the protocol. */
    MALFORMED_RESPONSE(
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
