package org.peridotcourse.daemon.http;

import org.peridotcourse.Failure;
import org.peridotcourse.base.Codes;

/**
 * Tells why a call over an {@link HttpChannel} has no whole answer, and whether the request may
 * have reached the other side.
 *
 * <p>Constants are immutable and thread-safe.
 */
public enum ChannelFailure implements Failure {
    /** No connection could be made; nothing was sent. */
    CONNECT_FAILED(false, "the connection could not be opened"),
    /** The connection was closed before the request was handed to it. */
    CLOSED_BEFORE_SEND(false, "the connection was closed before the request was sent"),
    /** The connection ended after the request was sent and before the whole answer arrived. */
    ENDED_EARLY(true, "the connection ended before the whole answer arrived"),
    /** The answer broke the protocol or exceeded the size limit. */
    BROKEN_ANSWER(true, "the answer was malformed or too large"),
    /** The whole answer did not arrive in time. */
    TIMED_OUT(true, "the whole answer did not arrive in time"),
    /** The caller gave the request up. */
    ABANDONED(true, "the request was abandoned");

    private final boolean handedOver;
    private final String message;

    ChannelFailure(boolean handedOver, String message) {
        this.handedOver = handedOver;
        this.message = message;
    }

    /**
     * Tells whether the request may have reached the other side.
     *
     * @return true unless it is certain that nothing was sent
     */
    public boolean isHandedOver() {
        return handedOver;
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
