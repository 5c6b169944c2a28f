package org.peridotcourse.daemon.placement;

import java.lang.System.Logger.Level;
import org.peridotcourse.daemon.log.Event;
import org.peridotcourse.daemon.log.EventInfo;

/** Log records of placement. Constants are immutable and thread-safe. */
public enum PlacementLogEvent implements Event {
    /** The owner decided something about a task, job or worker. */
    DECIDED(
            2001,
            "placement.decided",
            Level.INFO,
            "The placement owner decided on a task, job or worker; fields subject, decision,"
                    + " worker, reason, epoch"),
    /** A row is malformed. */
    ROW_BROKEN(
            2002,
            "row.broken",
            Level.WARNING,
            "A row of jobs or tasks is malformed and was left out; fields table, row"),
    /** A worker does not answer. */
    WORKER_UNREACHABLE(
            2003,
            "worker.unreachable",
            Level.WARNING,
            "A worker did not answer a call; fields worker, call, failure"),
    /** A worker answers again. */
    WORKER_REACHABLE(2004, "worker.reachable", Level.INFO, "A worker answers again; fields worker"),
    /** The ring of the placement thread is full. */
    RING_FULL(
            2005,
            "placement.ring-full",
            Level.WARNING,
            "The event ring of the placement thread is full, an event was dropped or has to wait;"
                    + " fields event"),
    /** A step of a placement thread failed unexpectedly. */
    STEP_FAILED(
            2006,
            "placement.step-failed",
            Level.ERROR,
            "A step of a placement thread failed; the thread continues; fields thread, error");

    private final EventInfo info;

    PlacementLogEvent(int number, String title, Level level, String description) {
        this.info = new EventInfo(number, title, level, description);
    }

    @Override
    public EventInfo info() {
        return info;
    }
}
