package org.peridotcourse.daemon.control;

import java.util.function.LongSupplier;
import org.peridotcourse.wire.ExchangeReply;
import org.peridotcourse.wire.ExchangeRequest;
import org.peridotcourse.wire.Peer;

/** Passes exchange requests of other daemons to the membership. It is thread-safe. */
public final class PeerHandler implements Peer.Iface {
    private final Membership membership;
    private final LongSupplier clock;

    /**
     * Creates the handler.
     *
     * @param membership handles the requests
     * @param clock the monotonic clock
     */
    public PeerHandler(Membership membership, LongSupplier clock) {
        this.membership = membership;
        this.clock = clock;
    }

    @Override
    public ExchangeReply exchange(ExchangeRequest request) {
        return membership.handleRequest(clock.getAsLong(), request);
    }
}
