package org.peridotcourse.placement;

import org.peridotcourse.base.Codes;

/** Events of the state machine of a task. */
enum TaskEvent {
    /** A worker was chosen. */
    CHOSEN,
    /** The start command was not sent, because its conditions no longer held. */
    WITHHELD,
    /** The worker reports that the attempt runs. */
    STARTED,
    /** A checkpoint was requested ahead of a stop. */
    CHECKPOINT_REQUESTED,
    /** The reason for the stop no longer applied before the checkpoint was written. */
    KEPT,
    /** A stop was recorded. */
    STOP_REQUESTED,
    /** The worker confirmed that the attempt does not run and cannot start. */
    STOPPED,
    /** The lease of the attempt has expired, including the margin. */
    EXPIRED,
    /** The worker reports a successful end. */
    FINISHED,
    /** The worker reports a failure. */
    FAILED,
    /** Another attempt is allowed. */
    RETRIED,
    /** The job failed on too many workers. */
    HELD,
    /** An operator released the job. */
    RELEASED,
    /** The customer cancelled the job. */
    CANCELLED,
    /** The worker of a replica does not answer. */
    UNREACHABLE;

    private final String code = Codes.of(this);

    /** Returns the text used in the chart. */
    String code() {
        return code;
    }
}
