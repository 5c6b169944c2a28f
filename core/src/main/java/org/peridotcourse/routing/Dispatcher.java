package org.peridotcourse.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Active requests and backend connections of one entry host. Forwards, retries and finishes
 * requests, and opens and closes connections. Confined to the router's thread.
 */
final class Dispatcher {
    /** Minimum time without bytes after which a connection is suspected. */
    private static final long MIN_SILENCE_MILLIS = 250;

    /** Multiple of the highest recent latency after which a connection is suspected. */
    private static final int SILENCE_FACTOR = 8;

    /** Multiple of the highest recent latency that suffices if the deadline is near. */
    private static final int SHORT_SILENCE_FACTOR = 3;

    private final RoutingSettings settings;
    private final RandomGenerator random;
    private final BackendSelector selector;
    private final RetryBudget retryBudget;
    private final Map<String, RoutedRequest> activeRequests = new HashMap<>();
    private final Map<Long, Connection> connections = new LinkedHashMap<>();
    private final DeadlineQueue deadlines = new DeadlineQueue();
    private long lastConnectionId;

    Dispatcher(RoutingSettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
        this.selector = new BackendSelector(settings, random);
        this.retryBudget = new RetryBudget(settings.retryPercent());
    }

    RoutedRequest activeRequest(String request) {
        return activeRequests.get(request);
    }

    Connection connection(long id) {
        return connections.get(id);
    }

    DeadlineQueue deadlines() {
        return deadlines;
    }

    void addActive(RoutedRequest request) {
        activeRequests.put(request.info.id(), request);
        deadlines.add(request);
        request.customer.onAdmitted();
    }

    void enqueue(RoutedRequest request) {
        request.phase = RoutedRequest.Phase.QUEUED;
        CustomerInfo customer = request.customer.info();
        request.pool.requestClassOf(request).queue.add(customer.id(), customer.weight(), request);
    }

    /** Forwards as many queued requests as the servers have capacity for. */
    void dispatch(long now, ServicePool pool, List<RoutingAction> actions) {
        dispatchQueue(now, pool, pool.slotRequests, actions);
        dispatchQueue(now, pool, pool.watchRequests, actions);
    }

    private void dispatchQueue(
            long now,
            ServicePool pool,
            ServicePool.RequestClass requestClass,
            List<RoutingAction> actions) {
        // At saturation, the check avoids a scan of all servers for each customer in the queue.
        boolean limited = settings.policy().isLimited();
        while (!requestClass.queue.isEmpty() && (!limited || requestClass.hasCapacity(now))) {
            BackendServer[] server = new BackendServer[1];
            Optional<RoutedRequest> next =
                    requestClass.queue.poll(
                            request -> {
                                server[0] = selector.selectIdle(now, pool, request);
                                return server[0] != null;
                            });
            if (next.isEmpty()) {
                break;
            }
            if (wouldMissDeadline(now, requestClass, next.get())) {
                refuse(
                        next.get(),
                        NotRunReason.OVERLOAD,
                        jitteredRetryAfterMillis(requestClass.meanMillis()),
                        actions);
            } else {
                forward(now, next.get(), server[0], actions);
            }
        }
        if (!limited || requestClass.hasCapacity(now)) {
            connect(now, pool, requestClass, actions);
        }
    }

    /**
     * Returns whether the request would probably miss its deadline if it started now. The time
     * required is the highest recent latency, but at most half of the time between arrival and
     * deadline, so that services with a high latency are not always refused.
     */
    private boolean wouldMissDeadline(
            long now, ServicePool.RequestClass requestClass, RoutedRequest request) {
        long deadline = request.info.deadlineMillis();
        double halfMillis = (deadline - request.receivedMillis) / 2.0;
        return settings.policy().isLimited()
                && requestClass.occupiesSlot
                && deadline - now < Math.min(halfMillis, requestClass.latency.maxMillis());
    }

    private void connect(
            long now,
            ServicePool pool,
            ServicePool.RequestClass requestClass,
            List<RoutingAction> actions) {
        if (!settings.policy().isLimited()) {
            connectSelected(now, pool, requestClass, actions);
            return;
        }
        int missingCount = requestClass.queue.size() - pool.connectingCount();
        for (RoutedRequest head : requestClass.queue.heads()) {
            while (missingCount > 0) {
                BackendServer server = selector.selectForConnect(now, pool, head);
                if (server == null) {
                    break;
                }
                connect(now, server, actions);
                missingCount--;
            }
        }
    }

    private void connectSelected(
            long now,
            ServicePool pool,
            ServicePool.RequestClass requestClass,
            List<RoutingAction> actions) {
        Map<BackendServer, Integer> demand = new LinkedHashMap<>();
        for (RoutedRequest request : requestClass.queue.items()) {
            BackendServer server = selector.selectForConnect(now, pool, request);
            if (server != null) {
                demand.merge(server, 1, Integer::sum);
            }
        }
        demand.forEach(
                (server, count) -> {
                    for (int i = server.connectingCount(); i < count; i++) {
                        connect(now, server, actions);
                    }
                });
    }

    void connect(long now, BackendServer server, List<RoutingAction> actions) {
        Connection connection = server.startConnect(++lastConnectionId, now);
        connections.put(connection.id, connection);
        actions.add(new RoutingAction.Connect(connection.id, server.info().id()));
    }

    private void forward(
            long now, RoutedRequest request, BackendServer server, List<RoutingAction> actions) {
        Connection connection = server.takeIdle(request.lastConnectionId);
        request.phase = RoutedRequest.Phase.FORWARDED;
        request.attempts++;
        request.connection = connection;
        request.lastServer = server;
        request.lastConnectionId = connection.id;
        request.claim.apply(KeyClaim.Event.HANDED_OVER);
        if (request.attempts == 1) {
            retryBudget.onFirstAttempt();
        }
        server.onForwarded(connection, request, now);
        actions.add(
                new RoutingAction.Forward(
                        request.info.id(), request.attempts, server.info().id(), connection.id));
        if (settings.policy().isLimited() && server.used(request.occupiesSlot()) > 1) {
            connectLessLoaded(now, request, server, actions);
        }
    }

    /**
     * Opens a connection to a less loaded server, so that requests do not concentrate on the
     * servers that happen to have idle connections.
     */
    private void connectLessLoaded(
            long now, RoutedRequest request, BackendServer server, List<RoutingAction> actions) {
        BackendServer other = selector.selectForConnect(now, request.pool, request);
        boolean occupiesSlot = request.occupiesSlot();
        if (other != null
                && !other.hasIdle(0)
                && other.used(occupiesSlot) + other.connectingCount() + 1
                        < server.used(occupiesSlot)) {
            connect(now, other, actions);
        }
    }

    /**
     * Detaches the connection of a forwarded request, then reuses it, closes it or removes it if
     * the daemon has closed it.
     */
    void release(
            long now,
            RoutedRequest request,
            boolean reusable,
            Optional<CloseReason> close,
            List<RoutingAction> actions) {
        Connection connection = request.connection;
        BackendServer server = connection.server;
        request.connection = null;
        connection.lastByteMillis = now;
        server.onReleased(connection, now);
        if (close.isPresent()) {
            close(connection, close.get(), actions);
        } else if (!reusable) {
            removeConnection(connection);
        } else if (connection.suspected) {
            close(connection, CloseReason.SILENT, actions);
        } else if (!server.isAccepting()) {
            close(connection, CloseReason.BACKEND_LEFT, actions);
        } else if (server.hasSurplusConnections()) {
            close(connection, CloseReason.SURPLUS, actions);
        } else {
            server.idleConnections().addLast(connection);
        }
    }

    void close(Connection connection, CloseReason reason, List<RoutingAction> actions) {
        removeConnection(connection);
        actions.add(
                new RoutingAction.CloseConnection(
                        connection.id, connection.server.info().id(), reason));
    }

    void removeConnection(Connection connection) {
        connections.remove(connection.id);
        connection.server.remove(connection);
    }

    void closeIdle(BackendServer server, CloseReason reason, List<RoutingAction> actions) {
        List.copyOf(server.idleConnections())
                .forEach(connection -> close(connection, reason, actions));
    }

    /**
     * Records a failure of a server. If the server is ejected, closes its idle connections, since
     * they may be broken as well.
     */
    void recordFailure(
            long now, ServicePool pool, Connection connection, List<RoutingAction> actions) {
        BackendServer server = connection.server;
        boolean mayEject = settings.policy().isLimited() && pool.mayEject();
        server.health.onFailure(now, connection.id, mayEject);
        if (!server.health.isHealthy()) {
            closeIdle(server, CloseReason.FAILED, actions);
        }
    }

    /**
     * Puts a request back at the head of its customer's queue for another attempt, if the limit of
     * attempts, the retry budget and the outcome of earlier attempts permit it. Returns whether it
     * did.
     */
    boolean tryRetry(long now, RoutedRequest request) {
        boolean retryPermitted =
                request.attempts < settings.maxAttempts()
                        && (request.unknownReason == null || request.isRepeatable())
                        && now < request.info.deadlineMillis()
                        && !request.pool.acceptingServersFor(request.customer.info()).isEmpty()
                        && (!settings.policy().isLimited() || retryBudget.tryAcquire());
        if (retryPermitted) {
            request.phase = RoutedRequest.Phase.QUEUED;
            request.selectedServer = null;
            CustomerInfo customer = request.customer.info();
            request.pool
                    .requestClassOf(request)
                    .queue
                    .addFirst(customer.id(), customer.weight(), request);
        }
        return retryPermitted;
    }

    /**
     * Finishes a request that has no attempt in progress. Its outcome is unknown if an earlier
     * attempt may have run.
     */
    void refuse(
            RoutedRequest request,
            NotRunReason reason,
            long retryAfterMillis,
            List<RoutingAction> actions) {
        finish(
                request,
                request.unknownReason != null
                        ? new Outcome.Unknown(request.unknownReason)
                        : new Outcome.NotRun(reason, retryAfterMillis),
                actions);
    }

    /** Finishes a request with its final outcome. */
    void finish(RoutedRequest request, Outcome outcome, List<RoutingAction> actions) {
        RequestInfo info = request.info;
        request.pool.requestClassOf(request).queue.remove(info.customer(), request);
        request.phase = RoutedRequest.Phase.FINISHED;
        activeRequests.remove(info.id());
        deadlines.remove(request);
        request.customer.onFinished();
        actions.add(new RoutingAction.Finish(info.id(), outcome));
        if (outcome instanceof Outcome.Answered && request.claim.apply(KeyClaim.Event.ANSWERED)) {
            actions.add(
                    new RoutingAction.StoreResponse(
                            info.id(), info.customer(), info.key().orElseThrow()));
        }
        if (request.claim.apply(KeyClaim.Event.ENDED)
                && request.claim.state() == KeyClaim.State.RELEASING) {
            actions.add(
                    new RoutingAction.ReleaseKey(
                            info.id(), info.customer(), info.key().orElseThrow()));
        }
    }

    /** Returns a retry-after time with random jitter, which spreads the retries of many callers. */
    long jitteredRetryAfterMillis(double millis) {
        double jitter = 0.5 + random.nextDouble();
        return (long) Math.max(10, Math.min(30_000, millis * jitter));
    }

    /**
     * Suspects connections that have received no bytes for far longer than the usual latency of
     * their server.
     */
    void suspectSilentConnections(long now, ServicePool pool, List<RoutingAction> actions) {
        for (BackendServer server : List.copyOf(pool.servers())) {
            LatencyWindow recentLatency =
                    server.latency.isEmpty() ? pool.slotRequests.latency : server.latency;
            if (recentLatency.isEmpty()) {
                continue;
            }
            long maxLatencyMillis = recentLatency.maxMillis();
            for (Connection connection : server.connections()) {
                RoutedRequest request = connection.request;
                if (request != null
                        && request.occupiesSlot()
                        && !connection.suspected
                        && connection.silentMillis(now)
                                > maxSilenceMillis(connection, maxLatencyMillis)) {
                    suspect(now, connection, request, actions);
                }
            }
        }
    }

    /**
     * Returns how long a connection may be silent before it is suspected: eight times the highest
     * recent latency. If the deadline is near, half of the attempt's time suffices, but at least
     * three times the highest recent latency; otherwise a short deadline would pass before the
     * connection is suspected.
     */
    private static long maxSilenceMillis(Connection connection, long maxLatencyMillis) {
        long halfMillis = (connection.request.info.deadlineMillis() - connection.sentMillis) / 2;
        long limit =
                Math.min(
                        SILENCE_FACTOR * maxLatencyMillis,
                        Math.max(SHORT_SILENCE_FACTOR * maxLatencyMillis, halfMillis));
        return Math.max(MIN_SILENCE_MILLIS, limit);
    }

    /** Records a failure if the connection was silent until the deadline of its request. */
    void recordFailureIfSilent(long now, RoutedRequest request, List<RoutingAction> actions) {
        Connection connection = request.connection;
        long maxLatencyMillis = connection.server.latency.maxMillis();
        if (request.occupiesSlot()
                && !connection.suspected
                && maxLatencyMillis > 0
                && connection.silentMillis(now) > SHORT_SILENCE_FACTOR * maxLatencyMillis) {
            connection.suspected = true;
            recordFailure(now, request.pool, connection, actions);
        }
    }

    private void suspect(
            long now, Connection connection, RoutedRequest request, List<RoutingAction> actions) {
        connection.suspected = true;
        BackendServer server = connection.server;
        // Idle connections that received no bytes since this request was sent may be dead as well.
        // New connections replace them.
        for (Connection idle : List.copyOf(server.idleConnections())) {
            if (idle.lastByteMillis <= connection.sentMillis) {
                close(idle, CloseReason.SILENT, actions);
            }
        }
        recordFailure(now, request.pool, connection, actions);
        if (!request.isRepeatable()) {
            return;
        }
        UnknownReason earlierReason = request.unknownReason;
        request.unknownReason = UnknownReason.CONNECTION_FAILED;
        if (tryRetry(now, request)) {
            release(now, request, false, Optional.of(CloseReason.SILENT), actions);
        } else {
            request.unknownReason = earlierReason;
        }
    }

    /**
     * Closes the idle connections of a server that no longer accepts requests, and removes an
     * unlisted server once it has no connections.
     */
    void retire(ServicePool pool, BackendServer server, List<RoutingAction> actions) {
        if (server.isAccepting()) {
            return;
        }
        for (Connection connection : server.connections()) {
            if (connection.request == null) {
                close(connection, CloseReason.BACKEND_LEFT, actions);
            }
        }
        if (!server.isListed() && server.connections().isEmpty()) {
            pool.servers().remove(server);
        }
    }

    /** Refuses queued requests that no server accepts any more. */
    void refuseUnservable(ServicePool pool, List<RoutingAction> actions) {
        for (RoutedRequest request : pool.queuedRequests()) {
            if (pool.acceptingServersFor(request.customer.info()).isEmpty()) {
                refuse(request, NotRunReason.NO_BACKEND, jitteredRetryAfterMillis(1_000), actions);
            }
        }
    }

    /**
     * Opens connections to suspected and ejected servers to find out whether they have recovered,
     * and one to each server of the own region without connections, so that load spreads and a
     * failover needs no connection set-up.
     */
    void openMissingConnections(long now, ServicePool pool, List<RoutingAction> actions) {
        boolean hasTraffic = !pool.slotRequests.latency.isEmpty();
        for (BackendServer server : pool.servers()) {
            if (!server.isAccepting() || !server.mayConnect()) {
                continue;
            }
            Health health = server.health;
            boolean unconnected = server.connections().isEmpty();
            if (health.tryStartProbe(now)
                    || (server.connectingCount() == 0 && health.tryStartConnect(now))
                    || (hasTraffic
                            && unconnected
                            && health.isHealthyAndUnsuspected()
                            && server.isInOwnRegion())) {
                connect(now, server, actions);
            }
        }
    }
}
