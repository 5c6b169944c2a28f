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
    private static final long SILENT_FLOOR_MILLIS = 250;

    private static final int SILENT_FACTOR = 8;

    private static final int SHORT_FACTOR = 3;

    private final RoutingSettings settings;
    private final RandomGenerator random;
    private final BackendChoice choice;
    private final RetryBudget budget;
    private final Map<String, RoutedRequest> held = new HashMap<>();
    private final Map<Long, Connection> connections = new LinkedHashMap<>();
    private final Deadlines deadlines = new Deadlines();
    private long lastConnection;

    Dispatcher(RoutingSettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
        this.choice = new BackendChoice(settings, random);
        this.budget = new RetryBudget(settings.retryPercent());
    }

    RoutedRequest held(String request) {
        return held.get(request);
    }

    Connection connection(long id) {
        return connections.get(id);
    }

    Deadlines deadlines() {
        return deadlines;
    }

    void hold(RoutedRequest request) {
        held.put(request.info.id(), request);
        deadlines.add(request);
        request.customer.onAdmitted();
    }

    void enqueue(RoutedRequest request) {
        request.phase = RoutedRequest.Phase.QUEUED;
        CustomerInfo customer = request.customer.info();
        request.pool.laneOf(request).queue.add(customer.id(), customer.weight(), request);
    }

    /** Hands over as many waiting requests as there is room for. */
    void dispatch(long now, ServicePool pool, List<RoutingAction> out) {
        serve(now, pool, pool.slots, out);
        serve(now, pool, pool.watches, out);
    }

    private void serve(long now, ServicePool pool, ServicePool.Lane lane, List<RoutingAction> out) {
        // At saturation this spares a scan of all servers for each waiting customer.
        boolean limited = settings.policy().isLimited();
        while (!lane.queue.isEmpty() && (!limited || lane.hasRoom(now))) {
            BackendServer[] server = new BackendServer[1];
            Optional<RoutedRequest> next =
                    lane.queue.poll(
                            request -> {
                                server[0] = choice.ready(now, pool, request);
                                return server[0] != null;
                            });
            if (next.isEmpty()) {
                break;
            }
            if (isTooLate(now, lane, next.get())) {
                refuse(next.get(), NotRunReason.OVERLOAD, retryAfter(lane.meanMillis()), out);
            } else {
                forward(now, next.get(), server[0], out);
            }
        }
        if (!limited || lane.hasRoom(now)) {
            connect(now, pool, lane, out);
        }
    }

    /**
     * Tells whether the request would probably pass its deadline while it runs. Services whose
     * usual latency exceeds half of the deadline get that half.
     */
    private boolean isTooLate(long now, ServicePool.Lane lane, RoutedRequest request) {
        long deadline = request.info.deadlineMillis();
        double half = (deadline - request.offeredMillis) / 2.0;
        return settings.policy().isLimited()
                && lane.slotted
                && deadline - now < Math.min(half, lane.latency.high());
    }

    private void connect(
            long now, ServicePool pool, ServicePool.Lane lane, List<RoutingAction> out) {
        if (!settings.policy().isLimited()) {
            connectDrawn(now, pool, lane, out);
            return;
        }
        int wanted = lane.queue.size() - pool.connecting();
        for (RoutedRequest head : lane.queue.heads()) {
            while (wanted > 0) {
                BackendServer server = choice.connectable(now, pool, head);
                if (server == null) {
                    break;
                }
                connect(now, server, out);
                wanted--;
            }
        }
    }

    private void connectDrawn(
            long now, ServicePool pool, ServicePool.Lane lane, List<RoutingAction> out) {
        Map<BackendServer, Integer> demand = new LinkedHashMap<>();
        for (RoutedRequest request : lane.queue.items()) {
            BackendServer server = choice.connectable(now, pool, request);
            if (server != null) {
                demand.merge(server, 1, Integer::sum);
            }
        }
        demand.forEach(
                (server, count) -> {
                    for (int i = server.connecting(); i < count; i++) {
                        connect(now, server, out);
                    }
                });
    }

    void connect(long now, BackendServer server, List<RoutingAction> out) {
        Connection connection = server.startConnect(++lastConnection, now);
        connections.put(connection.id, connection);
        out.add(new RoutingAction.Connect(connection.id, server.info().id()));
    }

    private void forward(
            long now, RoutedRequest request, BackendServer server, List<RoutingAction> out) {
        Connection connection = server.takeIdle(request.lastConnection);
        request.phase = RoutedRequest.Phase.FORWARDED;
        request.attempts++;
        request.connection = connection;
        request.lastServer = server;
        request.lastConnection = connection.id;
        request.claim.apply(KeyClaim.Event.HANDED_OVER);
        if (request.attempts == 1) {
            budget.onFirstAttempt();
        }
        server.onForwarded(connection, request, now);
        out.add(
                new RoutingAction.Forward(
                        request.info.id(), request.attempts, server.info().id(), connection.id));
        if (settings.policy().isLimited() && server.used(request.isSlotted()) > 1) {
            spread(now, request, server, out);
        }
    }

    /** Opens a connection to a less loaded server, so that idle connections attract no crowd. */
    private void spread(
            long now, RoutedRequest request, BackendServer server, List<RoutingAction> out) {
        BackendServer other = choice.connectable(now, request.pool, request);
        boolean slotted = request.isSlotted();
        if (other != null
                && !other.hasIdle(0)
                && other.used(slotted) + other.connecting() + 1 < server.used(slotted)) {
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
            forget(connection);
        } else if (connection.suspected) {
            close(connection, CloseReason.SILENT, out);
        } else if (!server.isAccepting()) {
            close(connection, CloseReason.BACKEND_LEFT, out);
        } else if (server.hasSurplus()) {
            close(connection, CloseReason.SURPLUS, out);
        } else {
            server.idle().addLast(connection);
        }
    }

    void close(Connection connection, CloseReason reason, List<RoutingAction> out) {
        forget(connection);
        out.add(
                new RoutingAction.CloseConnection(
                        connection.id, connection.server.info().id(), reason));
    }

    void forget(Connection connection) {
        connections.remove(connection.id);
        connection.server.remove(connection);
    }

    void closeIdle(BackendServer server, CloseReason reason, List<RoutingAction> out) {
        List.copyOf(server.idle()).forEach(connection -> close(connection, reason, out));
    }

    /** Counts a failure of a server; idle connections of an ejected one are not trusted. */
    void fail(long now, ServicePool pool, Connection connection, List<RoutingAction> out) {
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
    boolean retry(long now, RoutedRequest request) {
        boolean permitted =
                request.attempts < settings.maxAttempts()
                        && (request.uncertainty == null || request.isRepeatable())
                        && now < request.info.deadlineMillis()
                        && !request.pool.acceptingFor(request.customer.info()).isEmpty()
                        && (!settings.policy().isLimited() || budget.tryTake());
        if (permitted) {
            request.phase = RoutedRequest.Phase.QUEUED;
            request.drawn = null;
            CustomerInfo customer = request.customer.info();
            request.pool.laneOf(request).queue.addFirst(customer.id(), customer.weight(), request);
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
                request.uncertainty != null
                        ? new Outcome.Unknown(request.uncertainty)
                        : new Outcome.NotRun(reason, retryAfterMillis),
                out);
    }

    /** Ends a request with its only final outcome. */
    void finish(RoutedRequest request, Outcome outcome, List<RoutingAction> out) {
        RequestInfo info = request.info;
        request.pool.laneOf(request).queue.remove(info.customer(), request);
        request.phase = RoutedRequest.Phase.FINISHED;
        held.remove(info.id());
        deadlines.remove(request);
        request.customer.onFinished();
        out.add(new RoutingAction.Finish(info.id(), outcome));
        if (outcome instanceof Outcome.Answered && request.claim.apply(KeyClaim.Event.ANSWERED)) {
            out.add(
                    new RoutingAction.StoreAnswer(
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
    long retryAfter(double millis) {
        double spread = 0.5 + random.nextDouble();
        return (long) Math.max(10, Math.min(30_000, millis * spread));
    }

    /** Suspects connections that are silent for far longer than their server usually is. */
    void suspectSilent(long now, ServicePool pool, List<RoutingAction> out) {
        for (BackendServer server : List.copyOf(pool.servers())) {
            LatencyWindow usual = server.latency.isEmpty() ? pool.slots.latency : server.latency;
            if (usual.isEmpty()) {
                continue;
            }
            long high = usual.high();
            for (Connection connection : server.connections()) {
                RoutedRequest request = connection.request;
                if (request != null
                        && request.isSlotted()
                        && !connection.suspected
                        && connection.silentMillis(now) > silentLimit(connection, high)) {
                    suspect(now, connection, request, out);
                }
            }
        }
    }

    /**
     * Returns how long a connection may be silent. Half of the attempt's time suffices if that is
     * three times the usual high latency; otherwise a short deadline passes before any suspicion.
     */
    private static long silentLimit(Connection connection, long high) {
        long half = (connection.request.info.deadlineMillis() - connection.sentMillis) / 2;
        long limit = Math.min(SILENT_FACTOR * high, Math.max(SHORT_FACTOR * high, half));
        return Math.max(SILENT_FLOOR_MILLIS, limit);
    }

    /** Counts a connection that was silent until the deadline of its request as a failure. */
    void failIfSilent(long now, RoutedRequest request, List<RoutingAction> out) {
        Connection connection = request.connection;
        long high = connection.server.latency.high();
        if (request.isSlotted()
                && !connection.suspected
                && high > 0
                && connection.silentMillis(now) > SHORT_FACTOR * high) {
            connection.suspected = true;
            fail(now, request.pool, connection, out);
        }
    }

    private void suspect(
            long now, Connection connection, RoutedRequest request, List<RoutingAction> out) {
        connection.suspected = true;
        BackendServer server = connection.server;
        // Idle connections without bytes since then may be silent as well; new ones are opened.
        for (Connection idle : List.copyOf(server.idle())) {
            if (idle.lastByteMillis <= connection.sentMillis) {
                close(idle, CloseReason.SILENT, out);
            }
        }
        fail(now, request.pool, connection, out);
        if (!request.isRepeatable()) {
            return;
        }
        UnknownReason earlier = request.uncertainty;
        request.uncertainty = UnknownReason.CONNECTION_FAILED;
        if (retry(now, request)) {
            release(now, request, false, Optional.of(CloseReason.SILENT), out);
        } else {
            request.uncertainty = earlier;
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
        for (RoutedRequest request : pool.queued()) {
            if (pool.acceptingFor(request.customer.info()).isEmpty()) {
                refuse(request, NotRunReason.NO_BACKEND, retryAfter(1_000), out);
            }
        }
    }

    /**
     * Opens connections that show whether suspected and ejected servers work again, and one to each
     * server of the own region that has none, so that load spreads and a failure costs no set-up.
     */
    void probe(long now, ServicePool pool, List<RoutingAction> out) {
        boolean used = !pool.slots.latency.isEmpty();
        for (BackendServer server : pool.servers()) {
            if (!server.isAccepting() || !server.mayConnect()) {
                continue;
            }
            Health health = server.health;
            boolean bare = server.connections().isEmpty();
            if (health.startProbe(now)
                    || (server.connecting() == 0 && health.startTry(now))
                    || (used && bare && health.isUnsuspected() && server.isNear())) {
                connect(now, server, out);
            }
        }
    }
}
