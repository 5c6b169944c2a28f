package org.peridotcourse.dispatch;

import org.peridotcourse.base.Codes;

/** Why a worker gets no run of a task. Constants are immutable and thread-safe. */
enum PlacementBlocker {
    /** Nothing: the worker may run the task. */
    NONE,
    /** It runs tasks of another service. */
    OTHER_SERVICE,
    /** It does not answer. */
    SILENT,
    /** It has not reported to this owner, or its clock is not known. */
    NOT_COUNTED,
    /** It has left the list of workers. */
    UNLISTED,
    /** It is about to leave. */
    DRAINING,
    /** Too many runs failed or stood still on it. */
    QUARANTINED,
    /** A single run shows whether it is sound again. */
    ON_PROBATION,
    /** It refused a start a moment ago. */
    PAUSED,
    /** Nothing may start in its data centre. */
    EVACUATED,
    /** It lacks the label that the step requires. */
    LABEL,
    /** It has as many runs of the step as a worker may have. */
    WORKER_LIMIT,
    /** It already runs the task. */
    OWN_COPY,
    /** A filling task would disturb a serving one. */
    INTERFERENCE,
    /** Its free capacity is too small. */
    NO_ROOM;

    /** Returns the name in the log, such as {@code no-room}. */
    String code() {
        return Codes.of(this);
    }
}
