package org.peridotcourse.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Local state of one backend server on this entry host. Confined to the router's thread. */
final class BackendServer {
    /**
     * Minimum pause after a refusal, also without a retry-after time, so that a server that refuses
     * quickly does not attract more requests.
     */
    private static final long MIN_REFUSAL_PAUSE_MILLIS = 20;

    /**
     * Half-life of the latency estimate of an unused server. Without the decay, a server with a
     * single slow sample would never be selected, and thus never measured, while another server is
     * idle.
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

    /** Minimum fraction of the latency estimate that the next sample replaces. */
    private double staleFraction;

    BackendServer(BackendInfo info, int tier) {
        this.info = info;
        this.tier = tier;
    }

    BackendInfo info() {
        return info;
    }

    /**
     * Returns the distance tier. A suspected server ranks behind all others and is used only as a
     * last resort.
     */
    int tier() {
        return health.isSuspected() && health.isHealthy() ? tier + SUSPECTED_TIER_PENALTY : tier;
    }

    /** Returns whether it can be reached without the billed link between regions. */
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

    /**
     * Applies the entry of the host list. A server that reported that it is leaving stays excluded
     * until the list has marked it as not accepting or has omitted it.
     */
    void update(BackendInfo newInfo, int newTier) {
        info = newInfo;
        tier = newTier;
        reportedLeaving &= listed && newInfo.state().isAccepting();
        listed = true;
    }

    /** Computes the shares of slots and connections; returns the share of slots. */
    int updateShares(EntryHosts hosts, boolean limitConnections, int minShare) {
        int salt = Math.floorMod(info.id().hashCode(), 1 << 16);
        int share = Math.max(minShare, hosts.shareOf(info.slots(), salt));
        limit.update(share, info.slots());
        maxConnections =
                limitConnections
                        ? Math.max(1, hosts.shareOf(info.connections(), salt))
                        : Integer.MAX_VALUE;
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

    /**
     * Returns how many requests of this entry host it may run at once, of those that occupy slots
     * or of watches.
     */
    int capacity(boolean occupiesSlot) {
        if (occupiesSlot) {
            return health.isHealthy() ? Math.min(limit.value(), maxConnections) : 1;
        }
        // Half of the connections, rounded up, stay free for requests that occupy slots.
        return Math.max(1, maxConnections - (maxConnections + 1) / 2);
    }

    /** Returns the mean latency, decayed by the time since the server was last used. */
    double expectedLatencyMillis(long now) {
        return latency.meanMillis() * freshFraction(now);
    }

    /** Returns the fraction of the latency estimate that is still valid. */
    private double freshFraction(long now) {
        long unusedMillis = inFlight > 0 ? 0 : Math.max(0, now - lastUsedMillis);
        return Math.pow(0.5, unusedMillis / ESTIMATE_HALF_LIFE_MILLIS);
    }

    int used(boolean occupiesSlot) {
        return occupiesSlot ? inFlight : watches;
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

    /**
     * Removes and returns the most recently used idle connection other than the excluded one, or
     * null.
     */
    Connection takeIdle(long excludedId) {
        Connection last = idleConnections.pollLast();
        if (last == null || last.id != excludedId) {
            return last;
        }
        Connection next = idleConnections.pollLast();
        idleConnections.addLast(last);
        return next;
    }

    boolean hasIdle(long excludedId) {
        return idleConnections.size() > 1
                || (idleConnections.size() == 1 && idleConnections.peekLast().id != excludedId);
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

    /**
     * Records a complete response. Must be called before the request is detached from its
     * connection.
     */
    void onResponse(
            long latencyMillis,
            boolean occupiesSlot,
            UnloadedLatency unloadedLatency,
            boolean adaptive) {
        health.onResponse();
        if (!occupiesSlot) {
            return;
        }
        latency.add(latencyMillis, staleFraction);
        staleFraction = 0;
        unloadedLatency.add(latencyMillis, inFlight > limit.share());
        if (adaptive) {
            limit.onResponse(
                    latencyMillis, inFlight >= limit.value(), unloadedLatency.meanMillis());
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
