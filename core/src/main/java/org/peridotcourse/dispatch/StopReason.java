package org.peridotcourse.dispatch;

import org.peridotcourse.base.Codes;

/** Why a run is stopped. Constants are immutable and thread-safe. */
public enum StopReason {
    /** Its job was cancelled or has ended. */
    JOB_ENDED,
    /** Another run of the task is done, or the run is not known. */
    NOT_WANTED,
    /** The start had no answer, so it may still take effect. */
    START_UNANSWERED,
    /** The run makes no progress. */
    STALLED,
    /** The run is much slower than its like. */
    SLOW,
    /** The worker is about to leave. */
    WORKER_LEAVES,
    /** A serving task beside it is over its bound. */
    DISTURBS,
    /** A job of a higher priority needs the room. */
    PREEMPTED;

    /**
     * Returns the code for logs.
     *
     * @return lower-case words joined by hyphens
     */
    public String code() {
        return Codes.of(this);
    }
}
