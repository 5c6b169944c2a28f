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
 * Routes the requests of one entry host. Each event returns the actions that the daemon takes.
 *
 * <p>From a {@link RoutingAction.Forward} on, a request counts as handed over, unless the daemon
 * reports that not a byte of it was written. Call {@link #onTick} at {@link #nextTickMillis}.
 * Reports on requests, attempts and connections that are over are ignored. Confined to one thread.
 */
public final class RequestRouter {
    /** Time between ticks; suspicions, probes and pauses of servers end with this precision. */
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
     * @param settings limits and choice of policy
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
     * Replaces the known backend servers of all services.
     *
     * @param now monotonic milliseconds
     * @param list all backend servers, also those that leave
     * @return the actions
     */
    public List<RoutingAction> updateBackends(long now, Collection<BackendInfo> list) {
        List<RoutingAction> out = new ArrayList<>();
        pools.update(list);
        for (ServicePool pool : pools.all()) {
            for (BackendServer server : List.copyOf(pool.servers())) {
                dispatcher.retire(pool, server, out);
            }
            dispatcher.refuseUnservable(pool, out);
            dispatcher.dispatch(now, pool, out);
        }
        return out;
    }

    /**
     * Replaces the known customers. Requests of a removed customer that are held complete.
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
        List<RoutingAction> out = new ArrayList<>();
        for (ServicePool pool : pools.all()) {
            dispatcher.refuseUnservable(pool, out);
            dispatcher.dispatch(now, pool, out);
        }
        return out;
    }

    /**
     * Changes the shares of this entry host.
     *
     * @param now monotonic milliseconds
     * @param changed the live entry hosts
     * @return the actions
     */
    public List<RoutingAction> updateEntryHosts(long now, EntryHosts changed) {
        List<RoutingAction> out = new ArrayList<>();
        pools.update(changed);
        for (ServicePool pool : pools.all()) {
            for (BackendServer server : pool.servers()) {
                while (server.hasSurplusConnections() && !server.idleConnections().isEmpty()) {
                    dispatcher.close(
                            server.idleConnections().peekFirst(), CloseReason.SURPLUS, out);
                }
            }
            dispatcher.dispatch(now, pool, out);
        }
        return out;
    }

    /**
     * Takes a new request.
     *
     * @param now monotonic milliseconds
     * @param info the request, with an identifier that was not used before
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
        List<RoutingAction> out = new ArrayList<>();
        dispatcher.enqueue(request);
        dispatcher.dispatch(now, pool, out);
        return out;
    }

    private static List<RoutingAction> refuse(
            RequestInfo info, NotRunReason reason, long retryAfterMillis) {
        return List.of(
                new RoutingAction.Finish(info.id(), new Outcome.NotRun(reason, retryAfterMillis)));
    }

    /**
     * Takes the store's word on the claim of a request's key.
     *
     * @param now monotonic milliseconds
     * @param id the request
     * @param result what the store said
     * @return the actions
     */
    public List<RoutingAction> onClaimResult(long now, String id, ClaimResult result) {
        RoutedRequest request = dispatcher.activeRequest(id);
        List<RoutingAction> out = new ArrayList<>();
        if (request == null || !request.claim.apply(KeyClaim.eventOf(result))) {
            return out;
        }
        switch (result) {
            case CLAIMED -> {
                dispatcher.enqueue(request);
                dispatcher.refuseUnservable(request.pool, out);
                dispatcher.dispatch(now, request.pool, out);
            }
            case DONE -> dispatcher.finish(request, new Outcome.Answered(true), out);
            case IN_PROGRESS ->
                    dispatcher.finish(
                            request, new Outcome.Unknown(UnknownReason.KEY_IN_PROGRESS), out);
            case REUSED -> dispatcher.refuse(request, NotRunReason.KEY_REUSED, 0, out);
            case STORE_UNAVAILABLE ->
                    dispatcher.refuse(
                            request,
                            NotRunReason.STORE_UNAVAILABLE,
                            dispatcher.jitteredRetryAfterMillis(1_000),
                            out);
            default -> {
                // An unsettled claim is resolved by the daemon, which reports again.
            }
        }
        return out;
    }

    /**
     * Takes the news that a connection is open.
     *
     * @param now monotonic milliseconds
     * @param id the connection
     * @return the actions
     */
    public List<RoutingAction> onConnected(long now, long id) {
        List<RoutingAction> out = new ArrayList<>();
        Connection connection = dispatcher.connection(id);
        if (connection == null || connection.open) {
            return out;
        }
        connection.server.onConnected(connection);
        connection.lastByteMillis = now;
        dispatcher.dispatch(now, poolOf(connection), out);
        return out;
    }

    /**
     * Takes the news that a connection could not be opened.
     *
     * @param now monotonic milliseconds
     * @param id the connection
     * @return the actions
     */
    public List<RoutingAction> onConnectFailed(long now, long id) {
        List<RoutingAction> out = new ArrayList<>();
        Connection connection = dispatcher.connection(id);
        if (connection == null || connection.open) {
            return out;
        }
        ServicePool pool = poolOf(connection);
        dispatcher.removeConnection(connection);
        dispatcher.recordFailure(now, pool, connection, out);
        for (RoutedRequest request : pool.queuedRequests()) {
            if (request.selectedServer == connection.server) {
                request.selectedServer = null;
            }
            if (pool.isUnreachableFor(request.customer.info())) {
                dispatcher.refuse(
                        request,
                        NotRunReason.CONNECT_FAILED,
                        dispatcher.jitteredRetryAfterMillis(1_000),
                        out);
            }
        }
        dispatcher.dispatch(now, pool, out);
        return out;
    }

    private ServicePool poolOf(Connection connection) {
        return pools.of(connection.server.info().service());
    }

    /**
     * Takes the news that an idle connection was closed by the backend server. A connection with a
     * request is reported by {@link #onAttemptFailed} instead.
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
        List<RoutingAction> out = new ArrayList<>();
        dispatcher.removeConnection(connection);
        dispatcher.dispatch(now, poolOf(connection), out);
        return out;
    }

    /**
     * Takes the news that bytes of a response arrived.
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
     * Takes a complete response that carries the identifier of its request.
     *
     * @param now monotonic milliseconds
     * @param id the request
     * @param attempt the attempt
     * @param reply the response
     * @return the actions; no {@link RoutingAction.Finish} if the response came too late
     */
    public List<RoutingAction> onResponse(long now, String id, int attempt, BackendResponse reply) {
        List<RoutingAction> out = new ArrayList<>();
        RoutedRequest request = forwardedRequest(id, attempt);
        if (request == null) {
            return out;
        }
        Connection connection = request.connection;
        BackendServer server = connection.server;
        if (reply.leaving()) {
            server.markLeaving();
        }
        if (reply.notRun()) {
            server.limit.onRefused();
            server.pause(now, reply.retryAfterMillis());
        } else {
            long millis = now - connection.sentMillis;
            request.pool.requestClassOf(request).latency.add(millis);
            server.onResponse(
                    millis,
                    request.occupiesSlot(),
                    request.pool.unloadedLatency,
                    settings.adaptive());
        }
        dispatcher.release(now, request, reply.reusable(), Optional.empty(), out);
        if (!server.isAccepting()) {
            dispatcher.retire(request.pool, server, out);
            dispatcher.refuseUnservable(request.pool, out);
        }
        if (!reply.notRun()) {
            dispatcher.finish(request, new Outcome.Answered(false), out);
        } else {
            long retryAfter =
                    Math.max(reply.retryAfterMillis(), dispatcher.jitteredRetryAfterMillis(20));
            onNotRun(now, request, NotRunReason.BACKEND_REFUSED, retryAfter, out);
        }
        dispatcher.dispatch(now, request.pool, out);
        return out;
    }

    private RoutedRequest forwardedRequest(String id, int attempt) {
        RoutedRequest request = dispatcher.activeRequest(id);
        return request != null
                        && request.phase == RoutedRequest.Phase.FORWARDED
                        && request.attempts == attempt
                ? request
                : null;
    }

    /** Retries or refuses a request whose last attempt certainly did not run. */
    private void onNotRun(
            long now,
            RoutedRequest request,
            NotRunReason reason,
            long retryAfter,
            List<RoutingAction> out) {
        if (request.unknownReason == null) {
            request.claim.apply(KeyClaim.Event.PROVED_NOT_RUN);
        }
        if (!dispatcher.tryRetry(now, request)) {
            dispatcher.refuse(request, reason, retryAfter, out);
        }
    }

    /**
     * Takes the failure of an attempt after its {@link RoutingAction.Forward}. The daemon has
     * closed the connection.
     *
     * @param now monotonic milliseconds
     * @param id the request
     * @param attempt the attempt
     * @param failure what happened
     * @param handedOver false only if it is certain that no byte of the request was written
     * @return the actions
     */
    public List<RoutingAction> onAttemptFailed(
            long now, String id, int attempt, AttemptFailure failure, boolean handedOver) {
        List<RoutingAction> out = new ArrayList<>();
        RoutedRequest request = forwardedRequest(id, attempt);
        if (request == null) {
            return out;
        }
        Connection connection = request.connection;
        dispatcher.release(now, request, false, Optional.empty(), out);
        dispatcher.recordFailure(now, request.pool, connection, out);
        if (handedOver) {
            request.unknownReason = failure.reason();
            if (!dispatcher.tryRetry(now, request)) {
                dispatcher.finish(request, new Outcome.Unknown(failure.reason()), out);
            }
        } else {
            long retryAfter = dispatcher.jitteredRetryAfterMillis(20);
            onNotRun(now, request, NotRunReason.CONNECT_FAILED, retryAfter, out);
        }
        dispatcher.dispatch(now, request.pool, out);
        return out;
    }

    /**
     * Takes the news that the caller closed its connection. A request that may have run and must
     * not run again completes, so that its response is stored under its key.
     *
     * @param now monotonic milliseconds
     * @param id the request
     * @return the actions; the outcome goes to the log only
     */
    public List<RoutingAction> onCallerGone(long now, String id) {
        List<RoutingAction> out = new ArrayList<>();
        RoutedRequest request = dispatcher.activeRequest(id);
        if (request == null) {
            return out;
        }
        if (request.phase != RoutedRequest.Phase.FORWARDED) {
            dispatcher.refuse(request, NotRunReason.CALLER_GONE, 0, out);
        } else if (request.isRepeatable() && request.info.key().isEmpty()) {
            abandon(now, request, UnknownReason.CALLER_GONE, out);
            dispatcher.dispatch(now, request.pool, out);
        }
        return out;
    }

    private void abandon(
            long now, RoutedRequest request, UnknownReason reason, List<RoutingAction> out) {
        dispatcher.finish(request, new Outcome.Unknown(reason), out);
        dispatcher.release(now, request, false, Optional.of(CloseReason.ABANDONED), out);
    }

    /**
     * Does what is due: deadlines, suspicions, probes, limits.
     *
     * @param now monotonic milliseconds
     * @return the actions
     */
    public List<RoutingAction> onTick(long now) {
        List<RoutingAction> out = new ArrayList<>();
        Optional<RoutedRequest> due = dispatcher.deadlines().firstDue(now);
        while (due.isPresent()) {
            onDeadline(now, due.get(), out);
            due = dispatcher.deadlines().firstDue(now);
        }
        for (ServicePool pool : pools.all()) {
            if (settings.policy().isLimited()) {
                dispatcher.suspectSilentConnections(now, pool, out);
                dispatcher.openMissingConnections(now, pool, out);
            }
            dispatcher.dispatch(now, pool, out);
        }
        return out;
    }

    private void onDeadline(long now, RoutedRequest request, List<RoutingAction> out) {
        if (request.phase == RoutedRequest.Phase.FORWARDED) {
            dispatcher.recordFailureIfSilent(now, request, out);
            abandon(now, request, UnknownReason.DEADLINE, out);
        } else {
            boolean unsettled = request.claim.state() == KeyClaim.State.UNSETTLED;
            dispatcher.refuse(
                    request,
                    unsettled ? NotRunReason.CLAIM_UNSETTLED : NotRunReason.DEADLINE,
                    dispatcher.jitteredRetryAfterMillis(
                            request.pool.requestClassOf(request).meanMillis()),
                    out);
        }
    }

    /**
     * Returns when {@link #onTick} is due at the latest.
     *
     * @param now monotonic milliseconds
     * @return monotonic milliseconds
     */
    public long nextTickMillis(long now) {
        return dispatcher.deadlines().earliestMillis(now + TICK_MILLIS);
    }

    /**
     * Returns how many requests of all services wait.
     *
     * @return their number
     */
    public int queuedCount() {
        return pools.all().stream()
                .mapToInt(pool -> pool.slotRequests.queue.size() + pool.watchRequests.queue.size())
                .sum();
    }

    /**
     * Returns what is known of the backend servers.
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
