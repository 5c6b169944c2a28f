package org.peridotcourse.placement;

/** Transitions of a task. Stateless and thread-safe. */
final class TaskChart {
    private TaskChart() {}

    /** Returns the state after an event. */
    static TaskState next(TaskState state, TaskEvent event) {
        return switch (event) {
            case CHOSEN -> TaskState.STARTING;
            case STARTED, KEPT -> TaskState.RUNNING;
            case CHECKPOINT_REQUESTED -> TaskState.CHECKPOINTING;
            case STOP_REQUESTED -> TaskState.STOPPING;
            case WITHHELD, STOPPED, EXPIRED, RETRIED, RELEASED -> TaskState.QUEUED;
            case FINISHED -> TaskState.FINISHED;
            case FAILED -> TaskState.FAILED;
            case HELD -> TaskState.HELD;
            case CANCELLED -> TaskState.CANCELLED;
            case UNREACHABLE -> TaskState.LOST;
        };
    }
}
