package org.peridotcourse.daemon.http;

import org.peridotcourse.Failure;
import org.peridotcourse.base.Codes;

/**
 * The reason why a call over an {@link HttpChannel} has no complete response, and whether the
 * request may have reached the server.
 *
 * <p>Constants are immutable and thread-safe.
 */
public enum ChannelFailure implements Failure {
    /** No connection could be made; nothing was sent. */
    CONNECT_FAILED(false, "the connection could not be opened"),
    /** The time-out ended before a connection was available; nothing was sent. */
    EXPIRED(false, "the call could not be sent within its time-out"),
    /** The connection was closed before the request was written to it. */
    CLOSED_BEFORE_SEND(false, "the connection was closed before the request was sent"),
    /** The connection ended after the request was sent and before the complete response arrived. */
    ENDED_EARLY(true, "the connection ended before the whole answer arrived"),
    /** The response violated the protocol, or exceeded the size limit or the byte budget. */
    BROKEN_ANSWER(true, "the answer was malformed or too large"),
    /** The complete response did not arrive within the time-out. */
    TIMED_OUT(true, "the whole answer did not arrive in time"),
    /** The caller abandoned the request. */
    ABANDONED(true, "the request was abandoned");

    private final boolean possiblySent;
    private final String message;

    ChannelFailure(boolean possiblySent, String message) {
        this.possiblySent = possiblySent;
        this.message = message;
    }

    /**
     * Tells whether the request may have reached the server.
     *
     * @return true unless it is certain that nothing was sent
     */
    public boolean mayHaveBeenSent() {
        return possiblySent;
    }

    @Override
    public String code() {
        return Codes.of(this);
    }

    @Override
    public String message() {
        return message;
    }
}
