package org.peridotcourse.dispatch;

import org.peridotcourse.base.Codes;

/** Why a run is stopped. Constants are immutable and thread-safe. */
public enum StopReason {
    /** Its job was cancelled or has ended. */
    JOB_ENDED,
    /** Another run of the task is done, or the owner does not track the run. */
    NOT_WANTED,
    /** The start had no reply, so it may still be carried out. */
    START_UNANSWERED,
    /** The run makes no progress. */
    STALLED,
    /** The run is much slower than it would be on another worker. */
    SLOW,
    /** The draining worker is about to leave. */
    WORKER_LEAVES,
    /** A serving task on the same worker misses its response time target. */
    DISTURBS,
    /** A job of a higher priority needs the capacity. */
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
