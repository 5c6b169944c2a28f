package org.peridotcourse.daemon.peer;

import java.lang.System.Logger.Level;
import org.peridotcourse.daemon.log.Event;
import org.peridotcourse.daemon.log.EventInfo;

/** Log events of the connections between daemons. Constants are immutable and thread-safe. */
public enum PeerEvent implements Event {
    /** The peer server started to listen. */
    LISTENING(4001, "peer.listening", Level.INFO, "The peer server listens; fields address"),
    /** The peer server ended unexpectedly. */
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
    /** A message came from an earlier run of a daemon that has since restarted. */
    OUTDATED_SENDER(
            4005,
            "peer.outdated",
            Level.WARNING,
            "A message of an earlier run of a daemon was ignored; fields peer, incarnation"),
    /** A message violates the protocol. */
    MALFORMED(
            4006,
            "peer.malformed",
            Level.WARNING,
            "A message or a part of it was ignored; fields peer, reason"),
    /** This daemon started or stopped reading the table service for its data centre. */
    READER_CHANGED(
            4007,
            "reader.changed",
            Level.INFO,
            "This daemon started or stopped reading the configuration; fields reader, readers");

    private final EventInfo info;

    PeerEvent(int number, String title, Level level, String description) {
        this.info = new EventInfo(number, title, level, description);
    }

    @Override
    public EventInfo info() {
        return info;
    }
}
