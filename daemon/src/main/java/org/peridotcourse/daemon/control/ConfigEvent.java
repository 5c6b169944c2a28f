package org.peridotcourse.daemon.control;

import java.lang.System.Logger.Level;
import org.peridotcourse.daemon.log.Event;
import org.peridotcourse.daemon.log.EventInfo;

/** Log records of configuration and leases. Constants are immutable and thread-safe. */
public enum ConfigEvent implements Event {
    /** A row was accepted. */
    ROW_ACCEPTED(
            3001,
            "row.accepted",
            Level.INFO,
            "The acceptor accepted a row; fields row, rowCommit, version, removed"),
    /** A row was refused. */
    ROW_REFUSED(
            3002,
            "row.refused",
            Level.WARNING,
            "The acceptor refused a row, the last accepted one stays; fields row, rowCommit, code,"
                    + " reason"),
    /** A version came into force in this daemon. */
    VERSION_INSTALLED(
            3003,
            "version.installed",
            Level.INFO,
            "A configuration version is in force; fields version, before, rows, from"),
    /** A version was not installed. */
    VERSION_REFUSED(
            3004,
            "version.refused",
            Level.WARNING,
            "A configuration was not installed; fields version, present, from, reason"),
    /** A lease was taken. */
    LEASE_TAKEN(3005, "lease.taken", Level.INFO, "This daemon holds a lease; fields lease, epoch"),
    /** A lease was lost. */
    LEASE_LOST(
            3006,
            "lease.lost",
            Level.WARNING,
            "This daemon no longer holds a lease; fields lease, epoch, reason"),
    /** A lease was released. */
    LEASE_RELEASED(
            3007,
            "lease.released",
            Level.INFO,
            "This daemon gave a lease back; fields lease, epoch"),
    /** A write of the acceptor has no known outcome yet. */
    ACCEPTANCE_UNKNOWN(
            3008,
            "acceptance.unknown",
            Level.WARNING,
            "The answer to a write of the acceptor was lost, the write is repeated; fields id"),
    /** A step of a duty ended with an unexpected exception. */
    DUTY_FAILED(
            3009,
            "duty.failed",
            Level.ERROR,
            "A step ended with an unexpected exception; fields thread, duty, error");

    private final EventInfo info;

    ConfigEvent(int number, String title, Level level, String description) {
        this.info = new EventInfo(number, title, level, description);
    }

    @Override
    public EventInfo info() {
        return info;
    }
}
