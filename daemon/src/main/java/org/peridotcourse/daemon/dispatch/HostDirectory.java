package org.peridotcourse.daemon.dispatch;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.peridotcourse.Result;
import org.peridotcourse.daemon.http.HostPort;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.ring.EventLoop;

/**
 * Registry of the hosts: registers this host in the store and reads the rows of the others.
 * Confined to the event loop.
 */
final class HostDirectory {
    private static final long READ_PERIOD_MILLIS = 3_000;
    private static final long RETRY_MILLIS = 300;
    private static final long TIMEOUT_MILLIS = 1_500;

    /**
     * Time for which a host that did not answer is not called. Rows of hosts that left stay in the
     * store, and each call to one of them costs its time-out.
     */
    private static final long UNRESPONSIVE_MILLIS = 10_000;

    private static final int MUCH_LARGER_FACTOR = 2;

    private final EventLoop loop;
    private final RowStore store;
    private final EventLog log;
    private final RowCodec.Host self;
    private final Map<String, RowCodec.Host> hosts = new HashMap<>();
    private final List<InetSocketAddress> seeds;
    private boolean registered;

    /** Times until which hosts that did not answer are not called. */
    private final Map<InetSocketAddress, Long> unresponsiveUntil = new HashMap<>();

    HostDirectory(
            EventLoop loop, RowStore store, EventLog log, HostSettings settings, long incarnation) {
        this.loop = loop;
        this.store = store;
        this.log = log;
        this.seeds = settings.seeds();
        String address =
                settings.peerAddress().getAddress().getHostAddress()
                        + ":"
                        + settings.peerAddress().getPort();
        this.self = new RowCodec.Host(settings.name(), address, incarnation, settings.milliCores());
    }

    void start() {
        register();
        read();
    }

    /** Returns the holder name of this host and its incarnation, under which it holds leases. */
    String holderName() {
        return holderName(self);
    }

    private static String holderName(RowCodec.Host host) {
        return host.name() + "/" + host.incarnation();
    }

    /**
     * Returns the address of the host that holds a lease, if that incarnation of it is registered.
     */
    Optional<InetSocketAddress> holderAddress(String holder) {
        return hosts.values().stream()
                .filter(host -> holderName(host).equals(holder))
                .findFirst()
                .flatMap(HostDirectory::hostAddress);
    }

    /**
     * Returns the address of the host of a holder, whichever incarnation of it is registered now.
     */
    Optional<InetSocketAddress> hostAddress(String holder) {
        int slash = holder.lastIndexOf('/');
        RowCodec.Host host = slash < 0 ? null : hosts.get(holder.substring(0, slash));
        return host == null ? Optional.empty() : hostAddress(host);
    }

    /**
     * Returns whether an incarnation of a host has certainly ended, because a later one is
     * registered.
     */
    boolean hasEnded(String holder) {
        int slash = holder.lastIndexOf('/');
        if (slash < 0) {
            return false;
        }
        RowCodec.Host host = hosts.get(holder.substring(0, slash));
        OptionalLong incarnation = parse(holder.substring(slash + 1));
        return host != null
                && incarnation.isPresent()
                && host.incarnation() > incarnation.getAsLong();
    }

    private static OptionalLong parse(String number) {
        try {
            return OptionalLong.of(Long.parseLong(number));
        } catch (NumberFormatException malformed) {
            return OptionalLong.empty();
        }
    }

    /** Returns whether another host has at least twice the processor capacity of this one. */
    boolean hasMuchLargerHost() {
        return hosts.values().stream().anyMatch(this::isMuchLarger);
    }

    private boolean isMuchLarger(RowCodec.Host other) {
        return other.milliCores() >= MUCH_LARGER_FACTOR * self.milliCores();
    }

    /** Returns the addresses of hosts with at least twice the processor capacity of this one. */
    List<InetSocketAddress> muchLargerHosts() {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (RowCodec.Host host : hosts.values()) {
            if (isMuchLarger(host)) {
                hostAddress(host).ifPresent(addresses::add);
            }
        }
        return addresses;
    }

    /** Returns the addresses of the other hosts, registered ones before seeds. */
    List<InetSocketAddress> otherHosts() {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (RowCodec.Host host : hosts.values()) {
            if (!host.name().equals(self.name())) {
                hostAddress(host).ifPresent(addresses::add);
            }
        }
        for (InetSocketAddress seed : seeds) {
            boolean isSelf = hostAddress(self).filter(seed::equals).isPresent();
            if (!isSelf && !addresses.contains(seed)) {
                addresses.add(seed);
            }
        }
        return addresses;
    }

    /**
     * Returns the other hosts without a recently unanswered call, or all other hosts if there is
     * none.
     */
    List<InetSocketAddress> responsiveHosts(long now) {
        unresponsiveUntil.values().removeIf(until -> until <= now);
        List<InetSocketAddress> all = otherHosts();
        List<InetSocketAddress> responsive =
                all.stream().filter(host -> !unresponsiveUntil.containsKey(host)).toList();
        return responsive.isEmpty() ? all : responsive;
    }

    /** Called when a host did not answer a call. */
    void onUnanswered(InetSocketAddress host, long now) {
        unresponsiveUntil.put(host, now + UNRESPONSIVE_MILLIS);
    }

    /** Called when a host answered. */
    void onAnswered(InetSocketAddress host) {
        unresponsiveUntil.remove(host);
    }

    private static Optional<InetSocketAddress> hostAddress(RowCodec.Host host) {
        return HostPort.parse(host.address());
    }

    private void register() {
        RowWrite write =
                RowWrite.builder(RowNames.PART)
                        .put(RowNames.HOSTS, self.name(), RowCodec.host(self))
                        .build();
        store.write(write, TIMEOUT_MILLIS, this::onRegistered);
    }

    private void onRegistered(RowOutcome outcome) {
        registered = outcome.failure().isEmpty();
        if (!registered) {
            loop.schedule(RETRY_MILLIS, this::register);
        }
    }

    private void read() {
        readPage(RowRange.ofPart(RowNames.HOSTS, RowNames.PART), new ArrayList<>());
    }

    /** Reads the next page of the rows; the store returns a limited number of rows at a time. */
    private void readPage(RowRange range, List<StoredRow> earlierRows) {
        store.read(range, TIMEOUT_MILLIS, result -> onPage(range, earlierRows, result));
    }

    private void onPage(RowRange range, List<StoredRow> earlierRows, Result<RowSet> result) {
        if (!(result instanceof Result.Ok<RowSet> ok)) {
            loop.schedule(RETRY_MILLIS, this::read);
            return;
        }
        RowSet page = ok.value();
        List<StoredRow> rows = new ArrayList<>(earlierRows);
        rows.addAll(page.rows());
        if (page.hasMore() && !page.rows().isEmpty()) {
            readPage(range.after(page.rows().get(page.rows().size() - 1).key()), rows);
            return;
        }
        replaceHosts(rows);
        if (registered && isOwnRowReplaced()) {
            register();
        }
        loop.schedule(READ_PERIOD_MILLIS, this::read);
    }

    /**
     * Returns whether the row of this incarnation is missing. The registration of an earlier
     * incarnation may be executed after that of this one.
     */
    private boolean isOwnRowReplaced() {
        RowCodec.Host stored = hosts.get(self.name());
        return stored == null || stored.incarnation() < self.incarnation();
    }

    private void replaceHosts(List<StoredRow> rows) {
        hosts.clear();
        for (StoredRow row : rows) {
            Result<RowCodec.Host> host = RowCodec.host(row);
            if (host instanceof Result.Ok<RowCodec.Host> parsed) {
                hosts.put(row.key(), parsed.value());
            } else {
                RowLog.logUnreadable(log, row, host.failure().orElseThrow());
            }
        }
    }
}
