package org.peridotcourse.daemon.peer;

import org.peridotcourse.Result;
import org.peridotcourse.wire.ExchangeReply;
import org.peridotcourse.wire.ExchangeRequest;

/** Sends messages to other daemons. A call blocks until the reply, a failure or a time-out. */
@FunctionalInterface
public interface PeerTransport {
    /**
     * Sends a message and waits for the reply. The message may be delivered twice.
     *
     * @param address {@code ip:port} of the other daemon's peer server
     * @param request the message
     * @return the reply, or a {@link PeerFailure}
     */
    Result<ExchangeReply> exchange(String address, ExchangeRequest request);
}
