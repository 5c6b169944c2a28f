package org.peridotcourse.daemon.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.peridotcourse.BackendId;
import org.peridotcourse.DaemonId;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.base.StringId;
import org.peridotcourse.config.ConfigChange;
import org.peridotcourse.config.ConfigSnapshot;
import org.peridotcourse.config.DataCentreRow;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.peer.PeerEvent;
import org.peridotcourse.membership.Backends;
import org.peridotcourse.membership.Host;
import org.peridotcourse.membership.HostList;
import org.peridotcourse.membership.Members;
import org.peridotcourse.membership.Peer;
import org.peridotcourse.wire.BackendNote;
import org.peridotcourse.wire.ConfigDelta;
import org.peridotcourse.wire.ExchangeReply;
import org.peridotcourse.wire.ExchangeRequest;
import org.peridotcourse.wire.PeerHello;

/**
 * Registry of the peers, backend servers and entry hosts of this daemon. It also builds and applies
 * the messages between daemons.
 *
 * <p>The configuration duty, the peer server, the host duty and the request path share it, so no
 * method blocks on I/O. It is thread-safe.
 */
public final class Membership {
    private final Peer self;
    private final SnapshotHolder config;
    private final EventLog log;
    private final Members members;
    private final Backends backends = new Backends();
    private final Map<DaemonId, Long> peerVersions = new HashMap<>();
    private boolean leaving;

    /**
     * Creates the membership of a daemon that has just started.
     *
     * @param self this daemon
     * @param config the configuration in force, which is sent in messages and updated from them
     * @param log receives {@link PeerEvent} and {@link ConfigEvent} records
     */
    public Membership(Peer self, SnapshotHolder config, EventLog log) {
        this.self = self;
        this.config = config;
        this.log = log;
        this.members = new Members(self.daemon(), self.dataCentre());
    }

    /**
     * Returns this daemon.
     *
     * @return name, data centre, peer address and incarnation
     */
    public Peer self() {
        return self;
    }

    /**
     * Returns the other daemons.
     *
     * @return the registered daemons in the order of their names
     */
    public synchronized List<Peer> peers() {
        return members.peers();
    }

    /**
     * Returns the daemons of this data centre that poll the table service.
     *
     * @param nowMillis the present time
     * @return at most two names
     */
    public synchronized List<DaemonId> readers(long nowMillis) {
        return members.readers(nowMillis);
    }

    /**
     * Returns the backend servers with their leaving state merged from all sources.
     *
     * @return the backend servers of the last host list
     */
    public synchronized List<Host> backends() {
        return backends.hosts();
    }

    /**
     * Tells whether a backend server is leaving.
     *
     * @param backend the backend server
     * @return true if it receives no new requests
     */
    public synchronized boolean isLeaving(BackendId backend) {
        return backends.isLeaving(backend);
    }

    /**
     * Returns the number of live entry hosts of all data centres, at least 1.
     *
     * @return the number in the last host list
     */
    public synchronized int liveEntryHostCount() {
        return backends.entryHosts(Optional.empty());
    }

    /**
     * Returns the number of live entry hosts of one data centre, at least 1.
     *
     * @param dataCentre the data centre
     * @return the number in the last host list
     */
    public synchronized int liveEntryHostCount(DataCentreId dataCentre) {
        return backends.entryHosts(Optional.of(dataCentre));
    }

    /**
     * Returns the age of the host list in use.
     *
     * @param nowMillis the present time
     * @return milliseconds since its content was current, or empty before the first list
     */
    public synchronized Optional<Long> hostListAgeMillis(long nowMillis) {
        return backends.listAgeMillis(nowMillis);
    }

    /**
     * Records that a response of a backend server carried the leaving header.
     *
     * @param nowMillis the present time
     * @param backend the backend server
     */
    public synchronized void onLeavingHeader(long nowMillis, BackendId backend) {
        backends.onLeavingHeader(nowMillis, backend);
    }

    /** Marks this daemon as leaving in all further messages, because it is about to stop. */
    public synchronized void announceLeaving() {
        leaving = true;
    }

    synchronized void onHostList(long sentMillis, HostList list) {
        backends.onList(sentMillis, list);
    }

    synchronized void updatePeers(Collection<Peer> peers) {
        members.update(peers);
    }

    synchronized boolean isReader(long nowMillis) {
        return members.isReader(nowMillis);
    }

    synchronized List<Peer> nextExchangePeers(long nowMillis) {
        ConfigSnapshot snapshot = config.snapshot();
        Optional<String> region = snapshot.dataCentre(self.dataCentre()).map(DataCentreRow::region);
        List<DataCentreId> ownRegion =
                snapshot.rows(DataCentreRow.class).stream()
                        .filter(row -> region.equals(Optional.of(row.region())))
                        .map(DataCentreRow::id)
                        .toList();
        return members.nextExchangePeers(nowMillis, config.ageMillis(nowMillis), ownRegion);
    }

    synchronized ExchangeRequest exchangeRequest(long nowMillis, Peer peer) {
        ExchangeRequest request = new ExchangeRequest(hello(nowMillis), backendNotes(nowMillis));
        Optional.ofNullable(peerVersions.get(peer.daemon()))
                .flatMap(config::changeSince)
                .flatMap(WireCodec::toWire)
                .ifPresent(request::setDelta);
        return request;
    }

    /** Applies the reply to a request; returns false if the reply was ignored. */
    synchronized boolean onReply(long sentMillis, long nowMillis, ExchangeReply reply) {
        PeerHello sender = reply.getSender();
        if (!acceptSender(nowMillis, sender)) {
            return false;
        }
        WireCodec.fromWire(reply.getBackends())
                .forEach(notice -> backends.onReplyNotice(sentMillis, notice));
        install(sender, reply.getDelta());
        config.confirm(sender.getConfigVersion(), sentMillis, sender.getConfigAgeMillis());
        return true;
    }

    synchronized void onExchangeFailure(long nowMillis, Peer peer) {
        members.recordFailure(nowMillis, peer.daemon());
        peerVersions.remove(peer.daemon());
    }

    /**
     * Handles an exchange request of another daemon.
     *
     * <p>A request never confirms a version, because its transit time is unknown, so the age that
     * it carries may be too low. Its rows are ignored until the configuration duty has installed
     * the first version, because they may be older than the version of an earlier run of this
     * daemon.
     *
     * @param nowMillis the present time
     * @param request the request
     * @return the reply
     */
    public synchronized ExchangeReply handleRequest(long nowMillis, ExchangeRequest request) {
        PeerHello sender = request.getSender();
        boolean senderAccepted = acceptSender(nowMillis, sender);
        if (senderAccepted) {
            WireCodec.fromWire(request.getBackends())
                    .forEach(notice -> backends.onRequestNotice(nowMillis, notice));
            if (config.snapshot().version() > 0) {
                install(sender, request.getDelta());
            }
        }
        ExchangeReply reply = new ExchangeReply(hello(nowMillis), backendNotes(nowMillis));
        if (senderAccepted) {
            config.changeSince(sender.getConfigVersion())
                    .flatMap(WireCodec::toWire)
                    .ifPresent(reply::setDelta);
        }
        return reply;
    }

    private boolean acceptSender(long nowMillis, PeerHello sender) {
        if (sender == null || !StringId.isValid(sender.getDaemon())) {
            log.event(PeerEvent.MALFORMED)
                    .with("peer", sender == null ? "" : sender.getDaemon())
                    .with("reason", "missing or invalid sender")
                    .write();
            return false;
        }
        DaemonId daemon = DaemonId.of(sender.getDaemon());
        if (!members.recordMessage(
                nowMillis, daemon, sender.getIncarnation(), sender.isLeaving())) {
            log.event(PeerEvent.OUTDATED_SENDER)
                    .with("peer", daemon)
                    .with("incarnation", sender.getIncarnation())
                    .write();
            return false;
        }
        peerVersions.put(daemon, sender.getConfigVersion());
        return true;
    }

    private void install(PeerHello sender, ConfigDelta delta) {
        if (delta == null) {
            return;
        }
        Optional<ConfigChange> change = WireCodec.fromWire(delta);
        long currentVersion = config.snapshot().version();
        if (change.isEmpty()) {
            log.event(ConfigEvent.VERSION_REFUSED)
                    .with("version", delta.getToVersion())
                    .with("present", currentVersion)
                    .with("from", sender.getDaemon())
                    .with("reason", "malformed rows")
                    .write();
        } else if (config.install(change.get())) {
            log.event(ConfigEvent.VERSION_INSTALLED)
                    .with("version", delta.getToVersion())
                    .with("before", currentVersion)
                    .with("rows", change.get().entries().size())
                    .with("from", sender.getDaemon())
                    .write();
        }
    }

    private PeerHello hello(long nowMillis) {
        SnapshotHolder.AgedSnapshot agedSnapshot = config.agedSnapshot(nowMillis);
        return new PeerHello(
                self.daemon().value(),
                self.dataCentre().value(),
                self.incarnation(),
                leaving,
                agedSnapshot.snapshot().version(),
                agedSnapshot.ageMillis());
    }

    private List<BackendNote> backendNotes(long nowMillis) {
        return new ArrayList<>(WireCodec.toWire(backends.recentNotices(nowMillis)));
    }
}
