package org.peridotcourse.dispatch;

/** How a run ended on its worker. Constants are immutable and thread-safe. */
public enum RunOutcome {
    /** The task is complete. */
    DONE,
    /** The run failed, because of the task or of the worker, and counts as a failed attempt. */
    FAILED,
    /** The run was stopped by an order. */
    STOPPED,
    /** The worker's lease expired, or the worker crashed. */
    LAPSED,
    /** Another member of the gang ended. */
    BROKEN,
    /** The other members of the gang did not start in time. */
    ALONE;

    /**
     * Returns whether the run counts against the maximum attempts of the task.
     *
     * @return true for a failure
     */
    public boolean isFailure() {
        return this == FAILED;
    }
}
