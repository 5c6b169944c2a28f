package org.peridotcourse.routing;

/** How an attempt on an open connection failed. */
public enum AttemptFailure {
    /** The connection was closed or reset. */
    CONNECTION_LOST(UnknownReason.CONNECTION_FAILED),
    /** The response ended early or was not valid HTTP. */
    RESPONSE_BROKEN(UnknownReason.RESPONSE_BROKEN),
    /** The response carried the identifier of another request. */
    RESPONSE_CROSSED(UnknownReason.RESPONSE_BROKEN);

    private final UnknownReason reason;

    AttemptFailure(UnknownReason reason) {
        this.reason = reason;
    }

    /**
     * Returns the reason reported to the caller if the request is not retried.
     *
     * @return the reason
     */
    public UnknownReason reason() {
        return reason;
    }
}
