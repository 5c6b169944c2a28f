package org.peridotcourse.placement;

import java.util.Locale;

/** State of a task, as its row shows it. The transitions are in {@code charts/task.ini}. */
public enum TaskState {
    /** Waits for a worker. */
    QUEUED,
    /** A worker is chosen and recorded; the worker has not confirmed the start. */
    STARTING,
    /** The worker has confirmed the start. */
    RUNNING,
    /** Its stop is recorded; the worker has not confirmed it. */
    STOPPING,
    /** A checkpoint was requested ahead of a stop. */
    CHECKPOINTING,
    /** Ended successfully; the row is removed with the same write. */
    FINISHED,
    /** Failed; it is queued again or held with the same write. */
    FAILED,
    /** Waits for an operator because its job failed on several workers. */
    HELD,
    /** Cancelled; the row is removed with the same write. */
    CANCELLED,
    /** A replica on a worker that does not answer; a new replica replaces it. */
    LOST;

    private final String code = name().toLowerCase(Locale.ROOT);

    /**
     * Returns the text used in rows and charts.
     *
     * @return the lower-case name
     */
    public String code() {
        return code;
    }

    /**
     * Returns the state with a text.
     *
     * @param code the text
     * @return the state
     * @throws IllegalArgumentException if there is no such state
     */
    public static TaskState parse(String code) {
        return valueOf(code.toUpperCase(Locale.ROOT));
    }

    /**
     * Returns whether a task in this state may occupy a worker.
     *
     * @return true if its resources are charged to the worker
     */
    public boolean isPlaced() {
        return this == STARTING
                || this == RUNNING
                || this == STOPPING
                || this == CHECKPOINTING
                || this == LOST;
    }
}
