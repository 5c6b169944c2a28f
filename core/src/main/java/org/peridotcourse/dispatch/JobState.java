package org.peridotcourse.dispatch;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** State of a job, as reported to callers. Constants are immutable and thread-safe. */
public enum JobState {
    /** The job is accepted and no task has started. */
    QUEUED(false),
    /** At least one task has started. */
    RUNNING(false),
    /** All tasks are done. */
    COMPLETED(true),
    /** A task or a gang has failed the maximum number of attempts. */
    FAILED(true),
    /** The caller cancelled the job. */
    CANCELLED(true);

    private final boolean terminal;

    JobState(boolean terminal) {
        this.terminal = terminal;
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
     * Returns whether the state is final, so that it never changes again.
     *
     * @return true if the job has ended
     */
    public boolean isFinal() {
        return terminal;
    }

    /**
     * Returns the code of this state in stored rows and responses.
     *
     * @return the name in lower case
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
