package org.peridotcourse.routing;

import org.peridotcourse.Failure;

/** Why it is not known whether a request has run. */
public enum UnknownReason implements Failure {
    /** The connection failed after the hand-over. */
    CONNECTION_FAILED(502, "connection-failed", "the connection failed after the hand-over"),
    /** The response was incomplete or belonged to another request. */
    RESPONSE_BROKEN(502, "response-broken", "the response was incomplete or crossed"),
    /** The deadline passed after the hand-over. */
    DEADLINE(504, "deadline", "the deadline passed after the hand-over"),
    /** The first request with the same key has no known result. */
    KEY_IN_PROGRESS(409, "key-in-progress", "the first request with this key has no result yet"),
    /** The caller closed its connection after the hand-over. */
    CALLER_GONE(502, "caller-gone", "the caller closed its connection");

    private final int status;
    private final String code;
    private final String message;

    UnknownReason(int status, String code, String message) {
        this.status = status;
        this.code = code;
        this.message = message;
    }

    /**
     * Returns the HTTP status of the response.
     *
     * @return the status
     */
    public int status() {
        return status;
    }

    @Override
    public String code() {
        return code;
    }

    @Override
    public String message() {
        return message;
    }
}
