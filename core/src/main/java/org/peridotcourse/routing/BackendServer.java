package org.peridotcourse.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** State of one backend server as this entry host sees it. Confined to the router's thread. */
final class BackendServer {
    /**
     * Pause after a refusal without a retry-after time, so that a refusing server draws no load.
     */
    private static final long MIN_REFUSAL_PAUSE_MILLIS = 20;

    /**
     * Time in which the latency estimate of an unused server halves. Without it, of two idle
     * servers the one with a single slow sample is never measured again.
     */
    private static final double ESTIMATE_HALF_LIFE_MILLIS = 500;

    private static final int SUSPECTED_TIER_PENALTY = 3;
    private static final long MAX_PAUSE_MILLIS = 1_000;

    final Health health = new Health();
    final InFlightLimit limit = new InFlightLimit();
    final LatencyWindow latency = new LatencyWindow();
    private final Map<Long, Connection> connections = new LinkedHashMap<>();
    private final Deque<Connection> idleConnections = new ArrayDeque<>();
    private BackendInfo info;
    private int tier;
    private int maxConnections = 1;
    private boolean reportedLeaving;
    private boolean listed = true;
    private int connectingCount;
    private int inFlight;
    private int watches;
    private long pausedUntilMillis;
    private long lastUsedMillis;

    /** Part of the estimate that the next sample replaces. */
    private double staleFraction;

    BackendServer(BackendInfo info, int tier) {
        this.info = info;
        this.tier = tier;
    }

    BackendInfo info() {
        return info;
    }

    /** Returns the distance; a suspected server is farther than any other and a last resort. */
    int tier() {
        return health.isSuspected() && health.isHealthy() ? tier + SUSPECTED_TIER_PENALTY : tier;
    }

    /** Tells whether it can be reached without the billed link between regions. */
    boolean isInOwnRegion() {
        return tier < 2;
    }

    int inFlight() {
        return inFlight;
    }

    int watches() {
        return watches;
    }

    int connectingCount() {
        return connectingCount;
    }

    Deque<Connection> idleConnections() {
        return idleConnections;
    }

    List<Connection> connections() {
        return List.copyOf(connections.values());
    }

    /** Takes the host list's word; a server that said it leaves stays leaving until it was gone. */
    void update(BackendInfo changed, int newTier) {
        info = changed;
        tier = newTier;
        reportedLeaving &= listed && changed.state().isAccepting();
        listed = true;
    }

    /** Computes the shares of slots and connections; returns the share of slots. */
    int updateShares(EntryHosts hosts, boolean bounded, int leastShare) {
        int salt = Math.floorMod(info.id().hashCode(), 1 << 16);
        int share = Math.max(leastShare, hosts.shareOf(info.slots(), salt));
        limit.update(share, info.slots());
        maxConnections =
                bounded ? Math.max(1, hosts.shareOf(info.connections(), salt)) : Integer.MAX_VALUE;
        return share;
    }

    void markUnlisted() {
        listed = false;
    }

    void markLeaving() {
        reportedLeaving = true;
    }

    boolean isListed() {
        return listed;
    }

    boolean isAccepting() {
        return listed && !reportedLeaving && info.state().isAccepting();
    }

    void pause(long now, long retryAfterMillis) {
        long pause = Math.max(MIN_REFUSAL_PAUSE_MILLIS, retryAfterMillis);
        pausedUntilMillis = now + Math.min(MAX_PAUSE_MILLIS, pause);
    }

    boolean isPaused(long now) {
        return now < pausedUntilMillis;
    }

    /** Returns how many requests of a kind it takes at once from this entry host. */
    int capacity(boolean slotted) {
        if (slotted) {
            return health.isHealthy() ? Math.min(limit.value(), maxConnections) : 1;
        }
        // Half of the connections, rounded up, stay free for requests that occupy slots.
        return Math.max(1, maxConnections - (maxConnections + 1) / 2);
    }

    /** Returns the mean latency, which counts for less the longer the server was not used. */
    double expectedLatencyMillis(long now) {
        return latency.meanMillis() * freshFraction(now);
    }

    /** Returns the part of the estimate that is not outdated. */
    private double freshFraction(long now) {
        long unused = inFlight > 0 ? 0 : Math.max(0, now - lastUsedMillis);
        return Math.pow(0.5, unused / ESTIMATE_HALF_LIFE_MILLIS);
    }

    int used(boolean slotted) {
        return slotted ? inFlight : watches;
    }

    boolean mayConnect() {
        return connections.size() < maxConnections;
    }

    boolean hasSurplusConnections() {
        return connections.size() > maxConnections;
    }

    Connection startConnect(long id, long now) {
        Connection connection = new Connection(id, this, now);
        connections.put(id, connection);
        connectingCount++;
        return connection;
    }

    void onConnected(Connection connection) {
        connection.open = true;
        connectingCount--;
        health.onConnected();
        idleConnections.addLast(connection);
    }

    /** Takes the most recently used idle connection, other than the excluded one. */
    Connection takeIdle(long excluded) {
        Connection last = idleConnections.pollLast();
        if (last == null || last.id != excluded) {
            return last;
        }
        Connection other = idleConnections.pollLast();
        idleConnections.addLast(last);
        return other;
    }

    boolean hasIdle(long excluded) {
        return idleConnections.size() > 1
                || (idleConnections.size() == 1 && idleConnections.peekLast().id != excluded);
    }

    void onForwarded(Connection connection, RoutedRequest request, long now) {
        connection.request = request;
        connection.sentMillis = now;
        if (request.occupiesSlot()) {
            staleFraction = Math.max(staleFraction, 1 - freshFraction(now));
            inFlight++;
            lastUsedMillis = now;
        } else {
            watches++;
        }
    }

    /** Counts a complete response; to be called before its request is detached. */
    void onResponse(long millis, boolean slotted, UnloadedLatency unloaded, boolean adaptive) {
        health.onResponse();
        if (!slotted) {
            return;
        }
        latency.add(millis, staleFraction);
        staleFraction = 0;
        unloaded.add(millis, inFlight > limit.share());
        if (adaptive) {
            limit.onResponse(millis, inFlight >= limit.value(), unloaded.meanMillis());
        }
    }

    /** Detaches the request of a connection. */
    void onReleased(Connection connection, long now) {
        if (connection.request.occupiesSlot()) {
            inFlight--;
            lastUsedMillis = now;
        } else {
            watches--;
        }
        connection.request = null;
    }

    void remove(Connection connection) {
        if (connections.remove(connection.id) != null) {
            idleConnections.remove(connection);
            connectingCount -= connection.open ? 0 : 1;
        }
    }

    BackendStatus toStatus() {
        return new BackendStatus(
                info.id(),
                isAccepting(),
                health.isHealthy(),
                inFlight,
                limit.value(),
                watches,
                connections.size(),
                latency.meanMillis());
    }
}
