package org.peridotcourse.daemon.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.peridotcourse.DaemonId;
import org.peridotcourse.Failure;
import org.peridotcourse.Result;
import org.peridotcourse.config.Freshness;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.peer.PeerEvent;
import org.peridotcourse.daemon.peer.PeerTransport;
import org.peridotcourse.daemon.platform.TableStore;
import org.peridotcourse.membership.Peer;
import org.peridotcourse.wire.ExchangeReply;

/**
 * Keeps the configuration of this daemon up to date. A reader polls the table service; the other
 * daemons exchange messages with a reader.
 *
 * <p>Each step is one polling round, once per second. A daemon that is not a reader also reads the
 * table service when its configuration is older than {@link Freshness#MAX_TASK_START_AGE_MILLIS}.
 * Confined to one thread.
 */
public final class ConfigDuty implements Duty {
    /** Time between two steps. */
    public static final long PERIOD_MILLIS = 1000;

    private static final long PEER_REFRESH_PERIOD_MILLIS = 10_000;

    private final PeerTransport peerTransport;
    private final Membership membership;
    private final SnapshotHolder config;
    private final String entryAddress;
    private final LongSupplier clock;
    private final EventLog log;
    private final ConfigReader reader;
    private final DaemonRows daemonRows;
    private final Set<DaemonId> unreachablePeers = new HashSet<>();
    private Optional<Long> lastPeerRefreshMillis = Optional.empty();
    private boolean wasReader;

    /**
     * Creates the duty.
     *
     * @param store the table service
     * @param peerTransport sends messages to other daemons
     * @param membership the registry of other daemons
     * @param config the configuration to update
     * @param entryAddress {@code ip:port} of the entry server, written to this daemon's row
     * @param clock the monotonic clock, read when a request is sent
     * @param log receives {@link ConfigEvent} and {@link PeerEvent} records
     */
    public ConfigDuty(
            TableStore store,
            PeerTransport peerTransport,
            Membership membership,
            SnapshotHolder config,
            String entryAddress,
            LongSupplier clock,
            EventLog log) {
        this.peerTransport = peerTransport;
        this.membership = membership;
        this.config = config;
        this.entryAddress = entryAddress;
        this.clock = clock;
        this.log = log;
        this.reader = new ConfigReader(store, config, log);
        this.daemonRows = new DaemonRows(store);
    }

    /**
     * Adds the peers from the settings, so that the daemon can start during an outage of the table
     * service. The first successful read of the table of daemons replaces them.
     *
     * @param seeds the peers from the settings
     */
    public void addSeedPeers(Collection<Peer> seeds) {
        membership.updatePeers(seeds);
    }

    @Override
    public void step(long nowMillis) {
        refreshPeers(nowMillis);
        if (config.snapshot().version() == 0) {
            obtainFirstVersion();
            return;
        }
        boolean isReader = membership.isReader(nowMillis);
        logReaderChange(nowMillis, isReader);
        boolean confirmedByStore = isReader && reader.refresh(clock.getAsLong());
        exchange();
        long now = clock.getAsLong();
        if (!confirmedByStore
                && !isReader
                && config.ageMillis(now) > Freshness.MAX_TASK_START_AGE_MILLIS) {
            reader.refresh(now);
        }
    }

    /**
     * Obtains the first version after a start. An earlier run of this daemon may have had any
     * version up to the latest one, and a single peer may be behind that version. If the table
     * service cannot be read, this method therefore sends a request to all peers of this daemon's
     * data centre, or to all others if none of the replies contains a version, and applies the
     * replies from the highest version downwards.
     */
    private void obtainFirstVersion() {
        if (reader.refresh(clock.getAsLong())) {
            return;
        }
        Map<Boolean, List<Peer>> byOwnDataCentre =
                membership.peers().stream()
                        .collect(Collectors.partitioningBy(this::isInOwnDataCentre));
        if (!installNewestReply(byOwnDataCentre.get(true))) {
            installNewestReply(byOwnDataCentre.get(false));
        }
    }

    private boolean isInOwnDataCentre(Peer peer) {
        return peer.dataCentre().equals(membership.self().dataCentre());
    }

    private boolean installNewestReply(List<Peer> peers) {
        List<TimedReply> replies = new ArrayList<>();
        for (Peer peer : peers) {
            long sentMillis = clock.getAsLong();
            sendRequest(peer, sentMillis)
                    .filter(reply -> reply.getSender() != null)
                    .ifPresent(reply -> replies.add(new TimedReply(sentMillis, reply)));
        }
        replies.sort(Comparator.comparingLong(TimedReply::version).reversed());
        for (TimedReply timedReply : replies) {
            membership.onReply(timedReply.sentMillis(), clock.getAsLong(), timedReply.reply());
        }
        return config.snapshot().version() > 0;
    }

    private void refreshPeers(long nowMillis) {
        long period = membership.peers().isEmpty() ? PERIOD_MILLIS : PEER_REFRESH_PERIOD_MILLIS;
        if (lastPeerRefreshMillis.map(last -> nowMillis - last < period).orElse(false)) {
            return;
        }
        lastPeerRefreshMillis = Optional.of(nowMillis);
        Optional<List<Peer>> peers = daemonRows.readPeers(nowMillis);
        if (peers.isPresent()) {
            membership.updatePeers(peers.get());
            daemonRows.writeOwnRow(nowMillis, membership.self(), entryAddress);
        }
    }

    /**
     * Exchanges messages with the proposed peers in turn, until one has replied and the
     * configuration is fresh.
     */
    private void exchange() {
        for (Peer peer : membership.nextExchangePeers(clock.getAsLong())) {
            boolean replied = exchange(peer);
            boolean fresh =
                    config.ageMillis(clock.getAsLong()) <= Freshness.MAX_TASK_START_AGE_MILLIS;
            if (replied && fresh) {
                return;
            }
        }
    }

    private boolean exchange(Peer peer) {
        long sentMillis = clock.getAsLong();
        return sendRequest(peer, sentMillis)
                .map(reply -> membership.onReply(sentMillis, clock.getAsLong(), reply))
                .orElse(false);
    }

    private Optional<ExchangeReply> sendRequest(Peer peer, long sentMillis) {
        Result<ExchangeReply> reply =
                peerTransport.exchange(
                        peer.address(), membership.exchangeRequest(sentMillis, peer));
        if (reply.isOk()) {
            if (unreachablePeers.remove(peer.daemon())) {
                log.event(PeerEvent.REACHABLE).with("peer", peer.daemon()).write();
            }
        } else {
            if (unreachablePeers.add(peer.daemon())) {
                log.event(PeerEvent.UNREACHABLE)
                        .with("peer", peer.daemon())
                        .with("address", peer.address())
                        .with("failure", reply.failure().map(Failure::code).orElse(""))
                        .write();
            }
            membership.onExchangeFailure(clock.getAsLong(), peer);
        }
        return reply.toOptional();
    }

    private void logReaderChange(long nowMillis, boolean isReader) {
        if (isReader != wasReader) {
            wasReader = isReader;
            log.event(PeerEvent.READER_CHANGED)
                    .with("reader", isReader)
                    .with("readers", membership.readers(nowMillis))
                    .write();
        }
    }

    /** A reply and the time at which its request was sent. */
    private record TimedReply(long sentMillis, ExchangeReply reply) {
        long version() {
            return reply.getSender().getConfigVersion();
        }
    }
}
