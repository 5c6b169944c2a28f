package org.peridotcourse.ctl;

/** Carries a {@link CtlFailure} to the end of the command. */
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
