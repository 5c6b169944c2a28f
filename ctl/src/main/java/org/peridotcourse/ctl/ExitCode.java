package org.peridotcourse.ctl;

/** The exit codes of the tool. Constants are immutable and thread-safe. */
public enum ExitCode {
    /** The command succeeded. */
    OK(0, "success"),
    /** A settings file or row has faults, or a row was refused. */
    FAULTS(1, "faults in settings or rows, or a refused row"),
    /** The arguments are wrong. */
    USAGE(2, "wrong arguments"),
    /** The platform or daemon gave no usable response. */
    UNREACHABLE(3, "no usable response of the platform or daemon"),
    /** Another writer changed the row. */
    CONFLICT(4, "the row has changed meanwhile"),
    /** There is no such row, request or task. */
    NOT_FOUND(5, "no such row, request or task"),
    /** The row was written, but neither accepted nor refused within the waiting time. */
    PENDING(6, "the row is neither accepted nor refused yet");

    private final int code;
    private final String description;

    ExitCode(int code, String description) {
        this.code = code;
        this.description = description;
    }

    /**
     * Returns the exit code of the process.
     *
     * @return 0 for success
     */
    public int code() {
        return code;
    }

    /**
     * Returns the meaning of the code.
     *
     * @return a phrase
     */
    public String description() {
        return description;
    }
}
