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
 * Tracks the newest configuration and the evacuated data centres. While the store is unavailable,
 * the configuration is read from other hosts. Versions never decrease. Confined to the event loop,
 * except the version and the age, which are thread-safe.
 */
final class ConfigTracker {
    /**
     * Longest wait of a call of the feed; it bounds the time for which an unresponsive feed hides a
     * change.
     */
    private static final long FEED_WAIT_MILLIS = 1_000;

    private static final long READ_TIMEOUT_MILLIS = 800;
    private static final long PEER_POLL_PERIOD_MILLIS = 700;

    private final EventLoop loop;
    private final EventLog log;
    private final PlatformFormat format;
    private final TableFeed feed;
    private final StoreHealth health;
    private final PeerHostClient peerClient;
    private final HostDirectory directory;
    private final ConfigAge configAge;
    private final Set<String> evacuatedDataCentres = new TreeSet<>();

    /**
     * Keys of rows in the store that cannot be parsed. While there are any, the configuration is
     * not confirmed, since one of them may be newer.
     */
    private final Set<String> unreadableKeys = new TreeSet<>();

    private volatile ClusterConfig config = ClusterConfig.EMPTY;
    private Optional<StoredRow> configRow = Optional.empty();
    private boolean evacuationsRead;
    private Runnable listener = () -> {};
    private int nextPeer;

    ConfigTracker(
            EventLoop loop,
            RowStore store,
            StoreHealth health,
            PlatformFormat format,
            PeerHostClient peerClient,
            HostDirectory directory,
            EventLog log) {
        this.loop = loop;
        this.log = log;
        this.format = format;
        this.health = health;
        this.peerClient = peerClient;
        this.directory = directory;
        this.configAge = new ConfigAge(log);
        TableFeed.Options options =
                new TableFeed.Options(
                        format.operatorTable(), "", FEED_WAIT_MILLIS, 0, READ_TIMEOUT_MILLIS);
        this.feed = new TableFeed(loop, store, log, options, new OperatorRowListener(), false);
    }

    /** Applies the rows of the operator. */
    private final class OperatorRowListener implements TableFeed.Listener {
        @Override
        public void onRow(StoredRow row) {
            if (apply(row, "store")) {
                unreadableKeys.remove(row.key());
            } else {
                unreadableKeys.add(row.key());
            }
        }

        @Override
        public void onCaughtUp() {
            evacuationsRead = true;
        }

        @Override
        public void onCurrent(long asOf) {
            if (config.isLoaded() && unreadableKeys.isEmpty()) {
                configAge.confirm(asOf, config.version());
            }
        }

        @Override
        public void onRemoved(String key) {
            unreadableKeys.remove(key);
            StoredRow removedRow =
                    new StoredRow(format.operatorTable(), key, new byte[] {'{', '}'}, 0, true);
            if (format.operatorRow(removedRow) instanceof Result.Ok<OperatorRow> ok
                    && ok.value() instanceof OperatorRow.Evacuation evacuation
                    && evacuatedDataCentres.remove(evacuation.dataCentre())) {
                onEvacuationChanged();
            }
        }
    }

    void start() {
        configAge.start(loop.nowMillis());
        feed.start();
        loop.scheduleRepeating(PEER_POLL_PERIOD_MILLIS, this::pollPeer);
    }

    /** Sets the listener that is called after each change. */
    void onChange(Runnable task) {
        listener = task;
    }

    ClusterConfig config() {
        return config;
    }

    Set<String> evacuatedDataCentres() {
        return evacuatedDataCentres;
    }

    /**
     * Returns whether the evacuations were read from the store. A host that has only received the
     * configuration of another host knows none.
     */
    boolean areEvacuationsRead() {
        return evacuationsRead;
    }

    /** Returns how long ago the configuration was last confirmed to be the newest one. */
    ConfigAge configAge() {
        return configAge;
    }

    /** Returns the row of the current configuration, which is sent to other hosts. */
    Optional<StoredRow> currentRow() {
        return configRow;
    }

    /** Applies a row; returns false if it cannot be parsed. */
    private boolean apply(StoredRow row, String from) {
        Result<OperatorRow> read = format.operatorRow(row);
        if (!(read instanceof Result.Ok<OperatorRow> ok)) {
            RowLog.logUnreadable(log, row, read.failure().orElseThrow());
        } else if (ok.value() instanceof OperatorRow.Config found) {
            install(row, found.config(), from);
        } else if (ok.value() instanceof OperatorRow.Evacuation found
                && evacuatedDataCentres.add(found.dataCentre())) {
            onEvacuationChanged();
        }
        return read.isOk();
    }

    private void install(StoredRow row, ClusterConfig found, String from) {
        if (found.version() < config.version()) {
            log.event(DispatchEvent.CONFIG_OLDER)
                    .with("version", found.version())
                    .with("present", config.version())
                    .with("from", from)
                    .write();
        }
        if (found.version() <= config.version()) {
            return;
        }
        log.event(DispatchEvent.CONFIG_INSTALLED)
                .with("version", found.version())
                .with("before", config.version())
                .with("queues", found.routes().size())
                .with("from", from)
                .write();
        config = found;
        configRow = Optional.of(row);
        listener.run();
    }

    private void onEvacuationChanged() {
        log.event(DispatchEvent.EVACUATION_CHANGED)
                .with("dataCentres", evacuatedDataCentres)
                .write();
        listener.run();
    }

    private void pollPeer() {
        long now = loop.nowMillis();
        configAge.logIfUnconfirmed(now, config.version());
        List<InetSocketAddress> hosts = directory.otherHosts();
        if (hosts.isEmpty() || configAge.isRecent(now) && !health.isUnavailable()) {
            return;
        }
        InetSocketAddress peer = hosts.get(nextPeer++ % hosts.size());
        peerClient.requestConfig(peer, config.version(), new PeerConfigListener(peer, now));
    }

    /** Applies the configuration that another host sends. */
    private final class PeerConfigListener implements PeerHostClient.ConfigListener {
        private final InetSocketAddress peer;
        private final long requestSentAt;
        private boolean rowReadable = true;

        PeerConfigListener(InetSocketAddress peer, long requestSentAt) {
            this.peer = peer;
            this.requestSentAt = requestSentAt;
        }

        @Override
        public void onRow(StoredRow row) {
            rowReadable = apply(row, peer.getHostString());
        }

        @Override
        public void onSameVersion(long ageMillis) {
            if (rowReadable && config.isLoaded()) {
                configAge.confirm(requestSentAt - ageMillis, config.version());
            }
        }
    }
}
