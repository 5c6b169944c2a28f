package org.peridotcourse.dispatch;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** State of a job as its caller sees it. Constants are immutable and thread-safe. */
public enum JobState {
    /** Accepted, and no task has started. */
    QUEUED(false),
    /** A task has started. */
    RUNNING(false),
    /** All tasks are done. */
    COMPLETED(true),
    /** A task or a gang has failed in all of its attempts. */
    FAILED(true),
    /** The caller cancelled the job. */
    CANCELLED(true);

    private final boolean last;

    JobState(boolean last) {
        this.last = last;
    }

    /**
     * Returns the state with a given code.
     *
     * @param code the code
     * @return the state, or empty if there is none
     */
    public static Optional<JobState> parse(String code) {
        return Arrays.stream(values()).filter(state -> state.code().equals(code)).findFirst();
    }

    /**
     * Tells whether the state never changes again.
     *
     * @return true for a job that ended
     */
    public boolean isFinal() {
        return last;
    }

    /**
     * Returns the code of this state in rows and responses.
     *
     * @return the name in lower case
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
