package org.peridotcourse.daemon;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.apache.thrift.transport.TTransportException;
import org.peridotcourse.DaemonId;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.daemon.control.AcceptorDuty;
import org.peridotcourse.daemon.control.ConfigDuty;
import org.peridotcourse.daemon.control.DutyThread;
import org.peridotcourse.daemon.control.HostDuty;
import org.peridotcourse.daemon.control.LeaseKeeper;
import org.peridotcourse.daemon.control.Membership;
import org.peridotcourse.daemon.control.PeerHandler;
import org.peridotcourse.daemon.control.SnapshotHolder;
import org.peridotcourse.daemon.entry.RouterThread;
import org.peridotcourse.daemon.http.ChannelFactory;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.peer.PeerClient;
import org.peridotcourse.daemon.peer.PeerServer;
import org.peridotcourse.daemon.placement.PlacementDuty;
import org.peridotcourse.daemon.placement.WorkerDirectory;
import org.peridotcourse.daemon.platform.HttpHostList;
import org.peridotcourse.daemon.platform.HttpTableStore;
import org.peridotcourse.daemon.settings.SettingKey;
import org.peridotcourse.daemon.settings.Settings;
import org.peridotcourse.membership.Peer;
import org.peridotcourse.placement.OwnerStatus;

/**
 * Configuration, membership, peers, the acceptor's lease and placement of this daemon. It is
 * thread-safe.
 *
 * <p>The thread {@code control} reads configuration and hosts; the thread {@code acceptor} renews
 * the lease and validates rows; {@link PlacementDuty} has two threads for placement. Each has its
 * own connections, so that none waits for the calls of another.
 */
final class ControlServices implements AutoCloseable {
    private static final long LEASE_DURATION_MILLIS = 9_000;
    private static final int PEER_CONNECT_TIMEOUT_MILLIS = 300;
    private static final int PEER_REPLY_TIMEOUT_MILLIS = 500;

    private final SnapshotHolder config = new SnapshotHolder();
    private final Membership membership;
    private final LeaseKeeper lease;
    private final PeerServer peerServer;
    private final PeerClient peerClient =
            new PeerClient(PEER_CONNECT_TIMEOUT_MILLIS, PEER_REPLY_TIMEOUT_MILLIS);
    private final List<AutoCloseable> clients = new ArrayList<>();
    private final EventLog log;
    private final LongSupplier clock;
    private final Settings settings;
    private final ChannelFactory channels;

    private volatile Optional<Long> leaseEpoch = Optional.empty();
    private DutyThread controlThread;
    private DutyThread acceptorThread;
    private PlacementDuty placement;

    ControlServices(
            Settings settings,
            ChannelFactory channels,
            long incarnation,
            LongSupplier clock,
            EventLog log)
            throws TTransportException {
        this.settings = settings;
        this.channels = channels;
        this.clock = clock;
        this.log = log;
        InetSocketAddress peerAddress = settings.address(SettingKey.PEER_ADDRESS);
        DaemonId daemon = DaemonId.of(settings.text(SettingKey.DAEMON_NAME));
        DataCentreId dataCentre = DataCentreId.of(settings.text(SettingKey.DATA_CENTRE));
        Membership[] membershipHolder = new Membership[1];
        this.peerServer =
                new PeerServer(
                        peerAddress,
                        request -> new PeerHandler(membershipHolder[0], clock).exchange(request),
                        log);
        Peer self = new Peer(daemon, dataCentre, toText(peerServer.address()), incarnation);
        this.membership = new Membership(self, config, log);
        membershipHolder[0] = membership;
        this.lease =
                new LeaseKeeper(
                        openTableStore(),
                        AcceptorDuty.LEASE_KEY,
                        self,
                        LeaseKeeper.Durations.of(LEASE_DURATION_MILLIS),
                        clock,
                        log);
    }

    SnapshotHolder config() {
        return config;
    }

    Membership membership() {
        return membership;
    }

    /** Returns the epoch of the acceptor's lease while this daemon holds it. */
    Optional<Long> leaseEpoch() {
        return leaseEpoch;
    }

    InetSocketAddress peerAddress() {
        return peerServer.address();
    }

    void start(RouterThread router, InetSocketAddress entryAddress) {
        ConfigDuty configDuty =
                new ConfigDuty(
                        openTableStore(),
                        peerClient,
                        membership,
                        config,
                        toText(entryAddress),
                        clock,
                        log);
        configDuty.addSeedPeers(seeds());
        HttpHostList hosts =
                new HttpHostList(
                        channels,
                        settings.address(SettingKey.PLATFORM_ADDRESS),
                        settings.millis(SettingKey.PLATFORM_TIMEOUT),
                        log);
        clients.add(hosts);
        WorkerDirectory workers = new WorkerDirectory(hosts);
        String region = settings.text(SettingKey.REGION);
        controlThread =
                new DutyThread(
                        "control",
                        List.of(
                                configDuty,
                                new HostDuty(workers, membership, clock),
                                new RoutingFeed(membership, config, router, region)),
                        ConfigDuty.PERIOD_MILLIS,
                        clock,
                        log);
        acceptorThread =
                new DutyThread(
                        "acceptor",
                        List.of(
                                lease,
                                new AcceptorDuty(
                                        openTableStore(), lease, membership.self(), clock, log),
                                now -> leaseEpoch = lease.heldLease(now).map(held -> held.epoch())),
                        ConfigDuty.PERIOD_MILLIS,
                        clock,
                        log);
        placement =
                new PlacementDuty(
                        membership.self(), openTableStore(), channels, config, workers, clock, log);
        placement.start();
    }

    /**
     * Returns the status of the placement owner; its epoch is 0 unless this daemon is the owner.
     */
    OwnerStatus placement() {
        return placement.status();
    }

    /** Creates a table service client with its own connection; {@link #close} closes it. */
    HttpTableStore openTableStore() {
        HttpTableStore store =
                new HttpTableStore(
                        channels,
                        settings.address(SettingKey.PLATFORM_ADDRESS),
                        settings.millis(SettingKey.PLATFORM_TIMEOUT),
                        log);
        clients.add(store);
        return store;
    }

    /** Announces the stop to peers, stops placement and releases the lease. */
    void releaseLeases() {
        membership.announceLeaving();
        placement.close();
        acceptorThread.close();
        lease.release();
        leaseEpoch = Optional.empty();
    }

    @Override
    public void close() {
        controlThread.close();
        peerServer.close();
        peerClient.close();
        for (AutoCloseable client : clients) {
            try {
                client.close();
            } catch (Exception failed) {
                log.event(ProcessEvent.STOP_STEP_FAILED)
                        .with("step", "close " + client.getClass().getSimpleName())
                        .with("fault", failed)
                        .write();
            }
        }
    }

    private List<Peer> seeds() {
        List<Peer> seeds = new ArrayList<>();
        for (InetSocketAddress address : settings.addresses(SettingKey.PEER_SEEDS)) {
            DaemonId name = DaemonId.of("seed-" + (seeds.size() + 1));
            seeds.add(new Peer(name, membership.self().dataCentre(), toText(address), 0));
        }
        return seeds;
    }

    private static String toText(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
