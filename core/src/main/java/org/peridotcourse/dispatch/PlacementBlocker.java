package org.peridotcourse.dispatch;

import org.peridotcourse.base.Codes;

/**
 * The reasons for which a worker is not eligible for a task. Constants are immutable and
 * thread-safe.
 */
enum PlacementBlocker {
    /** No reason: the worker is eligible. */
    NONE,
    /** The worker belongs to another service. */
    OTHER_SERVICE,
    /** The worker is unreachable. */
    SILENT,
    /** The worker has not reported to this owner yet, or there is no valid reading of its clock. */
    NOT_COUNTED,
    /** The worker is no longer in the list of workers. */
    UNLISTED,
    /** The worker is draining before it shuts down. */
    DRAINING,
    /** The worker is quarantined because too many runs failed or stalled on it. */
    QUARANTINED,
    /** The worker was quarantined, and a single run is probing whether it is healthy again. */
    ON_PROBATION,
    /** The worker rejected a start a short time ago. */
    PAUSED,
    /** The worker is kept free for a task that may have crashed workers. */
    CRASH_TRIAL,
    /** The data centre of the worker is being evacuated. */
    EVACUATED,
    /** The worker lacks the label that the step requires. */
    LABEL,
    /** The worker already has the maximum number of runs of the step per worker. */
    WORKER_LIMIT,
    /** The worker already has a run of the task. */
    OWN_COPY,
    /** A filling task would slow down a serving task on the worker too much. */
    INTERFERENCE,
    /** The free capacity of the worker is too small. */
    NO_ROOM;

    /** Returns the name used in the log, such as {@code no-room}. */
    String code() {
        return Codes.of(this);
    }
}
