package org.peridotcourse.dispatch;

/** How the run of a task ended on its worker. Constants are immutable and thread-safe. */
public enum EndKind {
    /** The task is complete. */
    DONE,
    /** The run failed by its own fault or by that of the worker, and counts as an attempt. */
    FAILED,
    /** The run was stopped by an order. */
    STOPPED,
    /** The worker's lease ran out, or the worker crashed. */
    LAPSED,
    /** Another member of the gang ended. */
    BROKEN,
    /** The other members of the gang did not arrive in time. */
    ALONE;

    /**
     * Tells whether the end counts against the attempts of the task.
     *
     * @return true for a failure
     */
    public boolean isFailure() {
        return this == FAILED;
    }
}
