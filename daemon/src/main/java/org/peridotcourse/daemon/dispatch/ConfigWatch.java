package org.peridotcourse.daemon.dispatch;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.peridotcourse.Result;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.ring.EventLoop;
import org.peridotcourse.dispatch.ClusterConfig;

/**
 * Keeps the newest configuration and the evacuated data centres. While the store is away, the
 * configuration comes from other hosts. Versions never go back. Confined to the loop.
 */
final class ConfigWatch {
    /** A short wait bounds the time for which a feed that went silent hides a change. */
    private static final long FEED_WAIT_MILLIS = 1_000;

    private static final long TIMEOUT_MILLIS = 800;
    private static final long PEER_PERIOD_MILLIS = 700;

    private final EventLoop loop;
    private final EventLog log;
    private final PlatformFormat format;
    private final TableFeed feed;
    private final StoreHealth health;
    private final PeerLink peers;
    private final HostDirectory directory;
    private final Set<String> evacuated = new TreeSet<>();

    private ClusterConfig config = ClusterConfig.NONE;
    private Optional<StoredRow> configRow = Optional.empty();
    private Runnable listener = () -> {};
    private int nextPeer;

    ConfigWatch(
            EventLoop loop,
            RowStore store,
            StoreHealth health,
            PlatformFormat format,
            PeerLink peers,
            HostDirectory directory,
            EventLog log) {
        this.loop = loop;
        this.log = log;
        this.format = format;
        this.health = health;
        this.peers = peers;
        this.directory = directory;
        TableFeed.Mode mode =
                new TableFeed.Mode(format.operatorTable(), "", FEED_WAIT_MILLIS, 0, TIMEOUT_MILLIS);
        this.feed = new TableFeed(loop, store, log, mode, new Rows(), false);
    }

    /** Applies the rows of the operator. */
    private final class Rows implements TableFeed.Listener {
        @Override
        public void onRow(StoredRow row) {
            apply(row, "store");
        }

        @Override
        public void onGone(String key) {
            StoredRow gone =
                    new StoredRow(format.operatorTable(), key, new byte[] {'{', '}'}, 0, true);
            if (format.operatorRow(gone) instanceof Result.Ok<OperatorRow> ok
                    && ok.value() instanceof OperatorRow.Evacuation evacuation
                    && evacuated.remove(evacuation.dataCentre())) {
                onEvacuated();
            }
        }
    }

    void start() {
        feed.start();
        loop.every(PEER_PERIOD_MILLIS, this::askPeer);
    }

    /** Sets what to call after each change. */
    void onChange(Runnable task) {
        listener = task;
    }

    ClusterConfig config() {
        return config;
    }

    Set<String> evacuated() {
        return evacuated;
    }

    /** Returns the row of the present configuration, for other hosts. */
    Optional<StoredRow> row() {
        return configRow;
    }

    private void apply(StoredRow row, String from) {
        Result<OperatorRow> read = format.operatorRow(row);
        if (!(read instanceof Result.Ok<OperatorRow> ok)) {
            RowLog.refused(log, row, read.failure().orElseThrow());
        } else if (ok.value() instanceof OperatorRow.Config found) {
            install(row, found.config(), from);
        } else if (ok.value() instanceof OperatorRow.Evacuation found
                && evacuated.add(found.dataCentre())) {
            onEvacuated();
        }
    }

    private void install(StoredRow row, ClusterConfig found, String from) {
        if (found.version() <= config.version()) {
            return;
        }
        log.event(DispatchEvent.CONFIG)
                .with("version", found.version())
                .with("before", config.version())
                .with("queues", found.routes().size())
                .with("from", from)
                .write();
        config = found;
        configRow = Optional.of(row);
        listener.run();
    }

    private void onEvacuated() {
        log.event(DispatchEvent.EVACUATED).with("dataCentres", evacuated).write();
        listener.run();
    }

    private void askPeer() {
        List<InetSocketAddress> others = directory.others();
        if (others.isEmpty() || config.isKnown() && !health.isAway()) {
            return;
        }
        InetSocketAddress peer = others.get(nextPeer++ % others.size());
        peers.config(peer, config.version(), row -> apply(row, peer.getHostString()));
    }
}
