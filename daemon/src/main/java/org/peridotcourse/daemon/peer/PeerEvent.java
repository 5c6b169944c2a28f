package org.peridotcourse.daemon.peer;

import java.lang.System.Logger.Level;
import org.peridotcourse.daemon.log.Event;
import org.peridotcourse.daemon.log.EventInfo;

/** Log records of the link between daemons. Constants are immutable and thread-safe. */
public enum PeerEvent implements Event {
    /** The server listens. */
    LISTENING(4001, "peer.listening", Level.INFO, "The peer server listens; fields address"),
    /** The server ended unexpectedly. */
    SERVER_FAILED(
            4002,
            "peer.failed",
            Level.ERROR,
            "The peer server ended unexpectedly; fields address, error"),
    /** An exchange failed. */
    UNREACHABLE(
            4003,
            "peer.unreachable",
            Level.INFO,
            "The first exchange after a success had no reply; fields peer, address, failure"),
    /** Exchanges succeed again. */
    REACHABLE(
            4004,
            "peer.reachable",
            Level.INFO,
            "The first exchange after failures had a reply; fields peer"),
    /** A message came from a run of a daemon that has been replaced. */
    OUTDATED_SENDER(
            4005,
            "peer.outdated",
            Level.WARNING,
            "A message of an earlier run of a daemon was ignored; fields peer, incarnation"),
    /** A message breaks the rules of the protocol. */
    MALFORMED(
            4006,
            "peer.malformed",
            Level.WARNING,
            "A message or a part of it was ignored; fields peer, reason"),
    /** This daemon began or ceased to read the table service for its data centre. */
    READER_CHANGED(
            4007,
            "reader.changed",
            Level.INFO,
            "This daemon began or ceased to read the configuration; fields reader, readers");

    private final EventInfo info;

    PeerEvent(int number, String title, Level level, String description) {
        this.info = new EventInfo(number, title, level, description);
    }

    @Override
    public EventInfo info() {
        return info;
    }
}
