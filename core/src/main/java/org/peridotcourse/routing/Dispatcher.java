package org.peridotcourse.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Requests and connections of one entry host: hands requests over, releases connections, retries
 * and finishes. Confined to the router's thread.
 */
final class Dispatcher {
    /** Shortest time until a connection without bytes is suspected. */
    private static final long MIN_SILENCE_MILLIS = 250;

    private static final int SILENCE_FACTOR = 8;

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

    /** Hands over as many waiting requests as there is room for. */
    void dispatch(long now, ServicePool pool, List<RoutingAction> out) {
        dispatchQueue(now, pool, pool.slotRequests, out);
        dispatchQueue(now, pool, pool.watchRequests, out);
    }

    private void dispatchQueue(
            long now, ServicePool pool, ServicePool.RequestClass lane, List<RoutingAction> out) {
        // At saturation this spares a scan of all servers for each waiting customer.
        boolean limited = settings.policy().isLimited();
        while (!lane.queue.isEmpty() && (!limited || lane.hasCapacity(now))) {
            BackendServer[] server = new BackendServer[1];
            Optional<RoutedRequest> next =
                    lane.queue.poll(
                            request -> {
                                server[0] = selector.selectIdle(now, pool, request);
                                return server[0] != null;
                            });
            if (next.isEmpty()) {
                break;
            }
            if (wouldMissDeadline(now, lane, next.get())) {
                refuse(
                        next.get(),
                        NotRunReason.OVERLOAD,
                        jitteredRetryAfterMillis(lane.meanMillis()),
                        out);
            } else {
                forward(now, next.get(), server[0], out);
            }
        }
        if (!limited || lane.hasCapacity(now)) {
            connect(now, pool, lane, out);
        }
    }

    /**
     * Tells whether the request would probably pass its deadline while it runs. Services whose
     * usual latency exceeds half of the deadline get that half.
     */
    private boolean wouldMissDeadline(
            long now, ServicePool.RequestClass lane, RoutedRequest request) {
        long deadline = request.info.deadlineMillis();
        double half = (deadline - request.receivedMillis) / 2.0;
        return settings.policy().isLimited()
                && lane.occupiesSlot
                && deadline - now < Math.min(half, lane.latency.maxMillis());
    }

    private void connect(
            long now, ServicePool pool, ServicePool.RequestClass lane, List<RoutingAction> out) {
        if (!settings.policy().isLimited()) {
            connectSelected(now, pool, lane, out);
            return;
        }
        int wanted = lane.queue.size() - pool.connectingCount();
        for (RoutedRequest head : lane.queue.heads()) {
            while (wanted > 0) {
                BackendServer server = selector.selectForConnect(now, pool, head);
                if (server == null) {
                    break;
                }
                connect(now, server, out);
                wanted--;
            }
        }
    }

    private void connectSelected(
            long now, ServicePool pool, ServicePool.RequestClass lane, List<RoutingAction> out) {
        Map<BackendServer, Integer> demand = new LinkedHashMap<>();
        for (RoutedRequest request : lane.queue.items()) {
            BackendServer server = selector.selectForConnect(now, pool, request);
            if (server != null) {
                demand.merge(server, 1, Integer::sum);
            }
        }
        demand.forEach(
                (server, count) -> {
                    for (int i = server.connectingCount(); i < count; i++) {
                        connect(now, server, out);
                    }
                });
    }

    void connect(long now, BackendServer server, List<RoutingAction> out) {
        Connection connection = server.startConnect(++lastConnectionId, now);
        connections.put(connection.id, connection);
        out.add(new RoutingAction.Connect(connection.id, server.info().id()));
    }

    private void forward(
            long now, RoutedRequest request, BackendServer server, List<RoutingAction> out) {
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
        out.add(
                new RoutingAction.Forward(
                        request.info.id(), request.attempts, server.info().id(), connection.id));
        if (settings.policy().isLimited() && server.used(request.occupiesSlot()) > 1) {
            connectLessLoaded(now, request, server, out);
        }
    }

    /** Opens a connection to a less loaded server, so that idle connections attract no crowd. */
    private void connectLessLoaded(
            long now, RoutedRequest request, BackendServer server, List<RoutingAction> out) {
        BackendServer other = selector.selectForConnect(now, request.pool, request);
        boolean slotted = request.occupiesSlot();
        if (other != null
                && !other.hasIdle(0)
                && other.used(slotted) + other.connectingCount() + 1 < server.used(slotted)) {
            connect(now, other, out);
        }
    }

    /** Detaches the connection of a forwarded request and keeps, closes or forgets it. */
    void release(
            long now,
            RoutedRequest request,
            boolean reusable,
            Optional<CloseReason> close,
            List<RoutingAction> out) {
        Connection connection = request.connection;
        BackendServer server = connection.server;
        request.connection = null;
        connection.lastByteMillis = now;
        server.onReleased(connection, now);
        if (close.isPresent()) {
            close(connection, close.get(), out);
        } else if (!reusable) {
            removeConnection(connection);
        } else if (connection.suspected) {
            close(connection, CloseReason.SILENT, out);
        } else if (!server.isAccepting()) {
            close(connection, CloseReason.BACKEND_LEFT, out);
        } else if (server.hasSurplusConnections()) {
            close(connection, CloseReason.SURPLUS, out);
        } else {
            server.idleConnections().addLast(connection);
        }
    }

    void close(Connection connection, CloseReason reason, List<RoutingAction> out) {
        removeConnection(connection);
        out.add(
                new RoutingAction.CloseConnection(
                        connection.id, connection.server.info().id(), reason));
    }

    void removeConnection(Connection connection) {
        connections.remove(connection.id);
        connection.server.remove(connection);
    }

    void closeIdle(BackendServer server, CloseReason reason, List<RoutingAction> out) {
        List.copyOf(server.idleConnections()).forEach(connection -> close(connection, reason, out));
    }

    /** Counts a failure of a server; idle connections of an ejected one are not trusted. */
    void recordFailure(long now, ServicePool pool, Connection connection, List<RoutingAction> out) {
        BackendServer server = connection.server;
        boolean mayEject = settings.policy().isLimited() && pool.mayEject();
        server.health.onFailure(now, connection.id, mayEject);
        if (!server.health.isHealthy()) {
            closeIdle(server, CloseReason.FAILED, out);
        }
    }

    /**
     * Puts a request back into the queue for another attempt, if attempts, budget and the earlier
     * attempts permit it.
     */
    boolean tryRetry(long now, RoutedRequest request) {
        boolean permitted =
                request.attempts < settings.maxAttempts()
                        && (request.unknownReason == null || request.isRepeatable())
                        && now < request.info.deadlineMillis()
                        && !request.pool.acceptingServersFor(request.customer.info()).isEmpty()
                        && (!settings.policy().isLimited() || retryBudget.tryAcquire());
        if (permitted) {
            request.phase = RoutedRequest.Phase.QUEUED;
            request.selectedServer = null;
            CustomerInfo customer = request.customer.info();
            request.pool
                    .requestClassOf(request)
                    .queue
                    .addFirst(customer.id(), customer.weight(), request);
        }
        return permitted;
    }

    /** Gives up on a request that is not forwarded now. */
    void refuse(
            RoutedRequest request,
            NotRunReason reason,
            long retryAfterMillis,
            List<RoutingAction> out) {
        finish(
                request,
                request.unknownReason != null
                        ? new Outcome.Unknown(request.unknownReason)
                        : new Outcome.NotRun(reason, retryAfterMillis),
                out);
    }

    /** Ends a request with its only final outcome. */
    void finish(RoutedRequest request, Outcome outcome, List<RoutingAction> out) {
        RequestInfo info = request.info;
        request.pool.requestClassOf(request).queue.remove(info.customer(), request);
        request.phase = RoutedRequest.Phase.FINISHED;
        activeRequests.remove(info.id());
        deadlines.remove(request);
        request.customer.onFinished();
        out.add(new RoutingAction.Finish(info.id(), outcome));
        if (outcome instanceof Outcome.Answered && request.claim.apply(KeyClaim.Event.ANSWERED)) {
            out.add(
                    new RoutingAction.StoreResponse(
                            info.id(), info.customer(), info.key().orElseThrow()));
        }
        if (request.claim.apply(KeyClaim.Event.ENDED)
                && request.claim.state() == KeyClaim.State.RELEASING) {
            out.add(
                    new RoutingAction.ReleaseKey(
                            info.id(), info.customer(), info.key().orElseThrow()));
        }
    }

    /** Returns a retry-after time that spreads the retries of many callers. */
    long jitteredRetryAfterMillis(double millis) {
        double spread = 0.5 + random.nextDouble();
        return (long) Math.max(10, Math.min(30_000, millis * spread));
    }

    /** Suspects connections that are silent for far longer than their server usually is. */
    void suspectSilentConnections(long now, ServicePool pool, List<RoutingAction> out) {
        for (BackendServer server : List.copyOf(pool.servers())) {
            LatencyWindow usual =
                    server.latency.isEmpty() ? pool.slotRequests.latency : server.latency;
            if (usual.isEmpty()) {
                continue;
            }
            long high = usual.maxMillis();
            for (Connection connection : server.connections()) {
                RoutedRequest request = connection.request;
                if (request != null
                        && request.occupiesSlot()
                        && !connection.suspected
                        && connection.silentMillis(now) > maxSilenceMillis(connection, high)) {
                    suspect(now, connection, request, out);
                }
            }
        }
    }

    /**
     * Returns how long a connection may be silent. Half of the attempt's time suffices if that is
     * three times the usual high latency; otherwise a short deadline passes before any suspicion.
     */
    private static long maxSilenceMillis(Connection connection, long high) {
        long half = (connection.request.info.deadlineMillis() - connection.sentMillis) / 2;
        long limit = Math.min(SILENCE_FACTOR * high, Math.max(SHORT_SILENCE_FACTOR * high, half));
        return Math.max(MIN_SILENCE_MILLIS, limit);
    }

    /** Counts a connection that was silent until the deadline of its request as a failure. */
    void recordFailureIfSilent(long now, RoutedRequest request, List<RoutingAction> out) {
        Connection connection = request.connection;
        long high = connection.server.latency.maxMillis();
        if (request.occupiesSlot()
                && !connection.suspected
                && high > 0
                && connection.silentMillis(now) > SHORT_SILENCE_FACTOR * high) {
            connection.suspected = true;
            recordFailure(now, request.pool, connection, out);
        }
    }

    private void suspect(
            long now, Connection connection, RoutedRequest request, List<RoutingAction> out) {
        connection.suspected = true;
        BackendServer server = connection.server;
        // Idle connections without bytes since then may be silent as well; new ones are opened.
        for (Connection idle : List.copyOf(server.idleConnections())) {
            if (idle.lastByteMillis <= connection.sentMillis) {
                close(idle, CloseReason.SILENT, out);
            }
        }
        recordFailure(now, request.pool, connection, out);
        if (!request.isRepeatable()) {
            return;
        }
        UnknownReason earlier = request.unknownReason;
        request.unknownReason = UnknownReason.CONNECTION_FAILED;
        if (tryRetry(now, request)) {
            release(now, request, false, Optional.of(CloseReason.SILENT), out);
        } else {
            request.unknownReason = earlier;
        }
    }

    /** Closes the connections of a server that leaves; forgets it when none is left. */
    void retire(ServicePool pool, BackendServer server, List<RoutingAction> out) {
        if (server.isAccepting()) {
            return;
        }
        for (Connection connection : server.connections()) {
            if (connection.request == null) {
                close(connection, CloseReason.BACKEND_LEFT, out);
            }
        }
        if (!server.isListed() && server.connections().isEmpty()) {
            pool.servers().remove(server);
        }
    }

    /** Refuses waiting requests that no server may receive any more. */
    void refuseUnservable(ServicePool pool, List<RoutingAction> out) {
        for (RoutedRequest request : pool.queuedRequests()) {
            if (pool.acceptingServersFor(request.customer.info()).isEmpty()) {
                refuse(request, NotRunReason.NO_BACKEND, jitteredRetryAfterMillis(1_000), out);
            }
        }
    }

    /**
     * Opens connections that show whether suspected and ejected servers work again, and one to each
     * server of the own region that has none, so that load spreads and a failure costs no set-up.
     */
    void openMissingConnections(long now, ServicePool pool, List<RoutingAction> out) {
        boolean used = !pool.slotRequests.latency.isEmpty();
        for (BackendServer server : pool.servers()) {
            if (!server.isAccepting() || !server.mayConnect()) {
                continue;
            }
            Health health = server.health;
            boolean bare = server.connections().isEmpty();
            if (health.tryStartProbe(now)
                    || (server.connectingCount() == 0 && health.tryStartConnect(now))
                    || (used
                            && bare
                            && health.isHealthyAndUnsuspected()
                            && server.isInOwnRegion())) {
                connect(now, server, out);
            }
        }
    }
}
