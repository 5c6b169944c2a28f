package org.peridotcourse.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.peridotcourse.CustomerId;
import org.peridotcourse.DataCentreId;

/**
 * Routes the requests of one entry host. Each event method returns actions for the daemon.
 *
 * <p>After a {@link RoutingAction.Forward}, a request counts as handed over unless the daemon
 * reports that no byte was written. Call {@link #onTick} at {@link #nextTickMillis}. Events of
 * finished requests, earlier attempts and closed connections are ignored. Confined to one thread.
 */
public final class RequestRouter {
    /** Interval between ticks, which is the time resolution of suspicions, probes and pauses. */
    private static final long TICK_MILLIS = 10;

    private final RoutingSettings settings;
    private final Dispatcher dispatcher;
    private final Map<CustomerId, CustomerState> customers = new HashMap<>();
    private final ServicePools pools;
    private final Admission admission;

    /**
     * Creates a router without customers and backend servers.
     *
     * @param dataCentre the own data centre
     * @param region the own region
     * @param settings the limits and the policy
     * @param random source of randomness
     */
    public RequestRouter(
            DataCentreId dataCentre,
            String region,
            RoutingSettings settings,
            RandomGenerator random) {
        this.settings = settings;
        this.dispatcher = new Dispatcher(settings, random);
        this.pools = new ServicePools(dataCentre, region, settings);
        this.admission = new Admission(settings, dispatcher);
    }

    /**
     * Replaces the backend servers of all services.
     *
     * @param now monotonic milliseconds
     * @param list all backend servers, including those that are leaving
     * @return the actions
     */
    public List<RoutingAction> updateBackends(long now, Collection<BackendInfo> list) {
        List<RoutingAction> actions = new ArrayList<>();
        pools.update(list);
        for (ServicePool pool : pools.all()) {
            for (BackendServer server : List.copyOf(pool.servers())) {
                dispatcher.retire(pool, server, actions);
            }
            dispatcher.refuseUnservable(pool, actions);
            dispatcher.dispatch(now, pool, actions);
        }
        return actions;
    }

    /**
     * Replaces the customers. Active requests of a removed customer still complete.
     *
     * @param now monotonic milliseconds
     * @param list all customers
     * @return the actions
     */
    public List<RoutingAction> updateCustomers(long now, Collection<CustomerInfo> list) {
        Set<CustomerId> listed = new HashSet<>();
        for (CustomerInfo info : list) {
            listed.add(info.id());
            CustomerState state = customers.get(info.id());
            if (state == null) {
                customers.put(info.id(), new CustomerState(info, now));
            } else {
                state.update(info);
            }
        }
        customers.keySet().retainAll(listed);
        List<RoutingAction> actions = new ArrayList<>();
        for (ServicePool pool : pools.all()) {
            dispatcher.refuseUnservable(pool, actions);
            dispatcher.dispatch(now, pool, actions);
        }
        return actions;
    }

    /**
     * Changes the set of live entry hosts, which determines the shares of this one.
     *
     * @param now monotonic milliseconds
     * @param changed the live entry hosts
     * @return the actions
     */
    public List<RoutingAction> updateEntryHosts(long now, EntryHosts changed) {
        List<RoutingAction> actions = new ArrayList<>();
        pools.update(changed);
        for (ServicePool pool : pools.all()) {
            for (BackendServer server : pool.servers()) {
                while (server.hasSurplusConnections() && !server.idleConnections().isEmpty()) {
                    dispatcher.close(
                            server.idleConnections().peekFirst(), CloseReason.SURPLUS, actions);
                }
            }
            dispatcher.dispatch(now, pool, actions);
        }
        return actions;
    }

    /**
     * Handles a new request.
     *
     * @param now monotonic milliseconds
     * @param info the request, with a new identifier
     * @return the actions
     */
    public List<RoutingAction> onRequest(long now, RequestInfo info) {
        CustomerState customer = customers.get(info.customer());
        if (customer == null) {
            return refuse(info, NotRunReason.UNKNOWN_CUSTOMER, 0);
        }
        ServicePool pool = pools.of(info.service());
        if (pool == null) {
            return refuse(info, NotRunReason.UNKNOWN_SERVICE, 0);
        }
        if (info.deadlineMillis() <= now) {
            return refuse(info, NotRunReason.DEADLINE, dispatcher.jitteredRetryAfterMillis(10));
        }
        if (pool.acceptingServersFor(customer.info()).isEmpty()) {
            return refuse(
                    info, NotRunReason.NO_BACKEND, dispatcher.jitteredRetryAfterMillis(1_000));
        }
        RoutedRequest request = new RoutedRequest(info, customer, pool, now);
        if (settings.policy().isLimited()) {
            Optional<Outcome.NotRun> refusal = admission.check(now, request, pools.hosts());
            if (refusal.isPresent()) {
                return List.of(new RoutingAction.Finish(info.id(), refusal.get()));
            }
        }
        dispatcher.addActive(request);
        if (info.key().isPresent()) {
            request.phase = RoutedRequest.Phase.CLAIMING;
            request.claim.apply(KeyClaim.Event.CLAIM_SENT);
            return List.of(
                    new RoutingAction.ClaimKey(info.id(), info.customer(), info.key().get()));
        }
        List<RoutingAction> actions = new ArrayList<>();
        dispatcher.enqueue(request);
        dispatcher.dispatch(now, pool, actions);
        return actions;
    }

    private static List<RoutingAction> refuse(
            RequestInfo info, NotRunReason reason, long retryAfterMillis) {
        return List.of(
                new RoutingAction.Finish(info.id(), new Outcome.NotRun(reason, retryAfterMillis)));
    }

    /**
     * Handles the result of claiming the key of a request.
     *
     * @param now monotonic milliseconds
     * @param id the request
     * @param result the result of the store
     * @return the actions
     */
    public List<RoutingAction> onClaimResult(long now, String id, ClaimResult result) {
        RoutedRequest request = dispatcher.activeRequest(id);
        List<RoutingAction> actions = new ArrayList<>();
        if (request == null || !request.claim.apply(KeyClaim.eventOf(result))) {
            return actions;
        }
        switch (result) {
            case CLAIMED -> {
                dispatcher.enqueue(request);
                dispatcher.refuseUnservable(request.pool, actions);
                dispatcher.dispatch(now, request.pool, actions);
            }
            case DONE -> dispatcher.finish(request, new Outcome.Answered(true), actions);
            case IN_PROGRESS ->
                    dispatcher.finish(
                            request, new Outcome.Unknown(UnknownReason.KEY_IN_PROGRESS), actions);
            case REUSED -> dispatcher.refuse(request, NotRunReason.KEY_REUSED, 0, actions);
            case STORE_UNAVAILABLE ->
                    dispatcher.refuse(
                            request,
                            NotRunReason.STORE_UNAVAILABLE,
                            dispatcher.jitteredRetryAfterMillis(1_000),
                            actions);
            default -> {
                // The daemon resolves an unsettled claim and reports its result later.
            }
        }
        return actions;
    }

    /**
     * Handles an opened connection.
     *
     * @param now monotonic milliseconds
     * @param id the connection
     * @return the actions
     */
    public List<RoutingAction> onConnected(long now, long id) {
        List<RoutingAction> actions = new ArrayList<>();
        Connection connection = dispatcher.connection(id);
        if (connection == null || connection.open) {
            return actions;
        }
        connection.server.onConnected(connection);
        connection.lastByteMillis = now;
        dispatcher.dispatch(now, poolOf(connection), actions);
        return actions;
    }

    /**
     * Handles a failure to open a connection.
     *
     * @param now monotonic milliseconds
     * @param id the connection
     * @return the actions
     */
    public List<RoutingAction> onConnectFailed(long now, long id) {
        List<RoutingAction> actions = new ArrayList<>();
        Connection connection = dispatcher.connection(id);
        if (connection == null || connection.open) {
            return actions;
        }
        ServicePool pool = poolOf(connection);
        dispatcher.removeConnection(connection);
        dispatcher.recordFailure(now, pool, connection, actions);
        for (RoutedRequest request : pool.queuedRequests()) {
            if (request.selectedServer == connection.server) {
                request.selectedServer = null;
            }
            if (pool.isUnreachableFor(request.customer.info())) {
                dispatcher.refuse(
                        request,
                        NotRunReason.CONNECT_FAILED,
                        dispatcher.jitteredRetryAfterMillis(1_000),
                        actions);
            }
        }
        dispatcher.dispatch(now, pool, actions);
        return actions;
    }

    private ServicePool poolOf(Connection connection) {
        return pools.of(connection.server.info().service());
    }

    /**
     * Handles an idle connection that the backend server has closed. A connection with a request is
     * reported by {@link #onAttemptFailed} instead.
     *
     * @param now monotonic milliseconds
     * @param id the connection
     * @return the actions
     */
    public List<RoutingAction> onConnectionClosed(long now, long id) {
        Connection connection = dispatcher.connection(id);
        if (connection == null || connection.request != null) {
            return List.of();
        }
        List<RoutingAction> actions = new ArrayList<>();
        dispatcher.removeConnection(connection);
        dispatcher.dispatch(now, poolOf(connection), actions);
        return actions;
    }

    /**
     * Records the arrival of bytes of a response.
     *
     * @param now monotonic milliseconds
     * @param id the connection
     */
    public void onResponseBytes(long now, long id) {
        Connection connection = dispatcher.connection(id);
        if (connection != null) {
            connection.lastByteMillis = now;
        }
    }

    /**
     * Handles a complete response that carries the identifier of its request.
     *
     * @param now monotonic milliseconds
     * @param id the request
     * @param attempt the attempt
     * @param response the response
     * @return the actions; no {@link RoutingAction.Finish} if the response came too late
     */
    public List<RoutingAction> onResponse(
            long now, String id, int attempt, BackendResponse response) {
        List<RoutingAction> actions = new ArrayList<>();
        RoutedRequest request = forwardedRequest(id, attempt);
        if (request == null) {
            return actions;
        }
        Connection connection = request.connection;
        BackendServer server = connection.server;
        if (response.leaving()) {
            server.markLeaving();
        }
        if (response.notRun()) {
            server.limit.onRefused();
            server.pause(now, response.retryAfterMillis());
        } else {
            long latencyMillis = now - connection.sentMillis;
            request.pool.requestClassOf(request).latency.add(latencyMillis);
            server.onResponse(
                    latencyMillis,
                    request.occupiesSlot(),
                    request.pool.unloadedLatency,
                    settings.adaptive());
        }
        dispatcher.release(now, request, response.reusable(), Optional.empty(), actions);
        if (!server.isAccepting()) {
            dispatcher.retire(request.pool, server, actions);
            dispatcher.refuseUnservable(request.pool, actions);
        }
        if (!response.notRun()) {
            dispatcher.finish(request, new Outcome.Answered(false), actions);
        } else {
            long retryAfterMillis =
                    Math.max(response.retryAfterMillis(), dispatcher.jitteredRetryAfterMillis(20));
            onNotRun(now, request, NotRunReason.BACKEND_REFUSED, retryAfterMillis, actions);
        }
        dispatcher.dispatch(now, request.pool, actions);
        return actions;
    }

    private RoutedRequest forwardedRequest(String id, int attempt) {
        RoutedRequest request = dispatcher.activeRequest(id);
        return request != null
                        && request.phase == RoutedRequest.Phase.FORWARDED
                        && request.attempts == attempt
                ? request
                : null;
    }

    /** Retries or refuses a request of which the last attempt certainly did not run. */
    private void onNotRun(
            long now,
            RoutedRequest request,
            NotRunReason reason,
            long retryAfterMillis,
            List<RoutingAction> actions) {
        if (request.unknownReason == null) {
            request.claim.apply(KeyClaim.Event.PROVED_NOT_RUN);
        }
        if (!dispatcher.tryRetry(now, request)) {
            dispatcher.refuse(request, reason, retryAfterMillis, actions);
        }
    }

    /**
     * Handles the failure of an attempt after its {@link RoutingAction.Forward}. The daemon has
     * already closed the connection.
     *
     * @param now monotonic milliseconds
     * @param id the request
     * @param attempt the attempt
     * @param failure how the attempt failed
     * @param handedOver false only if it is certain that no byte of the request was written
     * @return the actions
     */
    public List<RoutingAction> onAttemptFailed(
            long now, String id, int attempt, AttemptFailure failure, boolean handedOver) {
        List<RoutingAction> actions = new ArrayList<>();
        RoutedRequest request = forwardedRequest(id, attempt);
        if (request == null) {
            return actions;
        }
        Connection connection = request.connection;
        dispatcher.release(now, request, false, Optional.empty(), actions);
        dispatcher.recordFailure(now, request.pool, connection, actions);
        if (handedOver) {
            request.unknownReason = failure.reason();
            if (!dispatcher.tryRetry(now, request)) {
                dispatcher.finish(request, new Outcome.Unknown(failure.reason()), actions);
            }
        } else {
            long retryAfterMillis = dispatcher.jitteredRetryAfterMillis(20);
            onNotRun(now, request, NotRunReason.CONNECT_FAILED, retryAfterMillis, actions);
        }
        dispatcher.dispatch(now, request.pool, actions);
        return actions;
    }

    /**
     * Handles a caller that closed its connection. A forwarded request that is non-idempotent or
     * has a key still completes, so that its response can be stored under its key.
     *
     * @param now monotonic milliseconds
     * @param id the request
     * @return the actions; the outcome is only logged
     */
    public List<RoutingAction> onCallerGone(long now, String id) {
        List<RoutingAction> actions = new ArrayList<>();
        RoutedRequest request = dispatcher.activeRequest(id);
        if (request == null) {
            return actions;
        }
        if (request.phase != RoutedRequest.Phase.FORWARDED) {
            dispatcher.refuse(request, NotRunReason.CALLER_GONE, 0, actions);
        } else if (request.isRepeatable() && request.info.key().isEmpty()) {
            abandon(now, request, UnknownReason.CALLER_GONE, actions);
            dispatcher.dispatch(now, request.pool, actions);
        }
        return actions;
    }

    private void abandon(
            long now, RoutedRequest request, UnknownReason reason, List<RoutingAction> actions) {
        dispatcher.finish(request, new Outcome.Unknown(reason), actions);
        dispatcher.release(now, request, false, Optional.of(CloseReason.ABANDONED), actions);
    }

    /**
     * Handles passed deadlines, suspects silent connections, probes servers, dispatches requests.
     *
     * @param now monotonic milliseconds
     * @return the actions
     */
    public List<RoutingAction> onTick(long now) {
        List<RoutingAction> actions = new ArrayList<>();
        Optional<RoutedRequest> due = dispatcher.deadlines().firstDue(now);
        while (due.isPresent()) {
            onDeadline(now, due.get(), actions);
            due = dispatcher.deadlines().firstDue(now);
        }
        for (ServicePool pool : pools.all()) {
            if (settings.policy().isLimited()) {
                dispatcher.suspectSilentConnections(now, pool, actions);
                dispatcher.openMissingConnections(now, pool, actions);
            }
            dispatcher.dispatch(now, pool, actions);
        }
        return actions;
    }

    private void onDeadline(long now, RoutedRequest request, List<RoutingAction> actions) {
        if (request.phase == RoutedRequest.Phase.FORWARDED) {
            dispatcher.recordFailureIfSilent(now, request, actions);
            abandon(now, request, UnknownReason.DEADLINE, actions);
        } else {
            boolean unsettled = request.claim.state() == KeyClaim.State.UNSETTLED;
            dispatcher.refuse(
                    request,
                    unsettled ? NotRunReason.CLAIM_UNSETTLED : NotRunReason.DEADLINE,
                    dispatcher.jitteredRetryAfterMillis(
                            request.pool.requestClassOf(request).meanMillis()),
                    actions);
        }
    }

    /**
     * Returns the latest time for the next call of {@link #onTick}.
     *
     * @param now monotonic milliseconds
     * @return monotonic milliseconds
     */
    public long nextTickMillis(long now) {
        return dispatcher.deadlines().earliestMillis(now + TICK_MILLIS);
    }

    /**
     * Returns the number of queued requests of all services.
     *
     * @return the number
     */
    public int queuedCount() {
        return pools.all().stream()
                .mapToInt(pool -> pool.slotRequests.queue.size() + pool.watchRequests.queue.size())
                .sum();
    }

    /**
     * Returns the status of the backend servers.
     *
     * @return one entry for each backend server
     */
    public List<BackendStatus> backendStatus() {
        return pools.all().stream()
                .flatMap(pool -> pool.servers().stream())
                .map(BackendServer::toStatus)
                .toList();
    }
}
