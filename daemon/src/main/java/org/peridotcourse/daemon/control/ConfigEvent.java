package org.peridotcourse.daemon.control;

import java.lang.System.Logger.Level;
import org.peridotcourse.daemon.log.Event;
import org.peridotcourse.daemon.log.EventInfo;

/** Log events of the configuration and of leases. Constants are immutable and thread-safe. */
public enum ConfigEvent implements Event {
    /** The acceptor accepted an operator's row. */
    ROW_ACCEPTED(
            3001,
            "row.accepted",
            Level.INFO,
            "The acceptor accepted a row; fields row, rowCommit, version, removed"),
    /** The acceptor refused an operator's row. */
    ROW_REFUSED(
            3002,
            "row.refused",
            Level.WARNING,
            "The acceptor refused a row, the last accepted value stays in force; fields row,"
                    + " rowCommit, code, reason"),
    /** This daemon installed a configuration version. */
    VERSION_INSTALLED(
            3003,
            "version.installed",
            Level.INFO,
            "A configuration version is in force; fields version, before, rows, from"),
    /** This daemon rejected a configuration version. */
    VERSION_REFUSED(
            3004,
            "version.refused",
            Level.WARNING,
            "A configuration version was not installed; fields version, present, from, reason"),
    /** This daemon acquired a lease. */
    LEASE_TAKEN(
            3005, "lease.taken", Level.INFO, "This daemon acquired a lease; fields lease, epoch"),
    /** This daemon lost a lease. */
    LEASE_LOST(
            3006,
            "lease.lost",
            Level.WARNING,
            "This daemon no longer holds a lease; fields lease, epoch, reason"),
    /** This daemon released a lease. */
    LEASE_RELEASED(
            3007,
            "lease.released",
            Level.INFO,
            "This daemon released a lease; fields lease, epoch"),
    /** The outcome of a write of the acceptor is not known yet. */
    ACCEPTANCE_UNKNOWN(
            3008,
            "acceptance.unknown",
            Level.WARNING,
            "The response to a write of the acceptor was lost, the write is repeated; fields id"),
    /** A step of a duty threw an unexpected exception. */
    DUTY_FAILED(
            3009,
            "duty.failed",
            Level.ERROR,
            "A step of a duty threw an unexpected exception; fields thread, duty, error"),
    /** A lease row is malformed. */
    LEASE_UNREADABLE(
            3010,
            "lease.unreadable",
            Level.WARNING,
            "A lease row is malformed, nobody takes the lease until it is replaced by a row with a"
                    + " higher epoch; fields lease, rowCommit");

    private final EventInfo info;

    ConfigEvent(int number, String title, Level level, String description) {
        this.info = new EventInfo(number, title, level, description);
    }

    @Override
    public EventInfo info() {
        return info;
    }
}
