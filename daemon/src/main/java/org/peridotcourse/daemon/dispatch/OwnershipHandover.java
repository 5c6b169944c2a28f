package org.peridotcourse.daemon.dispatch;

import java.net.InetSocketAddress;
import java.util.List;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.ring.EventLoop;

/**
 * Hands the ownership over from a small host to a much larger one, since the owner computes the
 * decisions for all workers. The ownership is released only after a larger host has replied that it
 * accepts it. Confined to the event loop.
 */
final class OwnershipHandover {
    private static final long PERIOD_MILLIS = 1_000;

    /** Time for which this host does not take the ownership again. */
    private static final long TAKEOVER_PAUSE_MILLIS = 3_000;

    private final EventLoop loop;
    private final OwnerElection election;
    private final HostDirectory directory;
    private final PeerHostClient peerClient;
    private final EventLog log;
    private int nextPeer;

    OwnershipHandover(
            EventLoop loop,
            OwnerElection election,
            HostDirectory directory,
            PeerHostClient peerClient,
            EventLog log) {
        this.loop = loop;
        this.election = election;
        this.directory = directory;
        this.peerClient = peerClient;
        this.log = log;
    }

    void start() {
        loop.scheduleRepeating(PERIOD_MILLIS, this::checkLargerHosts);
    }

    private void checkLargerHosts() {
        List<InetSocketAddress> larger = directory.muchLargerHosts();
        if (!election.isOwner() || larger.isEmpty()) {
            return;
        }
        InetSocketAddress peer = larger.get(nextPeer++ % larger.size());
        peerClient.requestAcceptsOwnership(peer, () -> handOver(peer));
    }

    private void handOver(InetSocketAddress peer) {
        if (election.isOwner()) {
            log.event(DispatchEvent.OWNER_HANDED_OVER).with("peer", peer.getHostString()).write();
            election.release(false, loop.nowMillis() + TAKEOVER_PAUSE_MILLIS);
        }
    }
}
