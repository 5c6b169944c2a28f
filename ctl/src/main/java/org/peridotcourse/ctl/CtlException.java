package org.peridotcourse.ctl;

/** Ends a command with a {@link CtlFailure}. */
final class CtlException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient CtlFailure failure;

    CtlException(CtlFailure failure) {
        super(failure.message());
        this.failure = failure;
    }

    CtlFailure failure() {
        return failure;
    }
}
