package org.peridotcourse.daemon.http;

/** Carries a {@link ChannelFailure} through a future. Instances are immutable. */
public final class ChannelException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ChannelFailure failure;

    /**
     * Creates the exception.
     *
     * @param failure why there is no complete response
     */
    public ChannelException(ChannelFailure failure) {
        super(failure.message(), null, false, false);
        this.failure = failure;
    }

    /**
     * Returns why there is no complete response.
     *
     * @return the failure
     */
    public ChannelFailure failure() {
        return failure;
    }
}
