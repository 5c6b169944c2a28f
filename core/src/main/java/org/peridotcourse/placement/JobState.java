package org.peridotcourse.placement;

import java.util.Locale;

/** State of a job, as its row shows it. */
public enum JobState {
    /** Stored by an entry host; no owner has written it yet. */
    SUBMITTED,
    /** An owner creates or has created its task rows. */
    ACCEPTED,
    /** A task fits no worker that the job may use, or the workload is unknown; no task ran. */
    REFUSED,
    /** It failed on several workers and waits for an operator to release it. */
    HELD,
    /** Every task ended successfully. */
    FINISHED,
    /** Every task ended, and at least one was cancelled. */
    CANCELLED;

    private final String code = name().toLowerCase(Locale.ROOT);

    /**
     * Returns the text used in rows.
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
    public static JobState parse(String code) {
        return valueOf(code.toUpperCase(Locale.ROOT));
    }

    /**
     * Returns whether the job can have no further task.
     *
     * @return true for refused, finished and cancelled
     */
    public boolean isFinal() {
        return this == REFUSED || this == FINISHED || this == CANCELLED;
    }
}
