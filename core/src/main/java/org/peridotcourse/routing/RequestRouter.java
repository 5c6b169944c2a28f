package org.peridotcourse.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.peridotcourse.BackendId;
import org.peridotcourse.CustomerId;
import org.peridotcourse.DataCentreId;

/**
 * Routes the requests of one entry host. Each event returns the actions that the daemon takes.
 *
 * <p>From a {@link RoutingAction.Forward} on, a request counts as handed over, unless the daemon
 * reports that not a byte of it was written. Call {@link #onTick} at {@link #nextTickMillis}, and
 * at least every 10 ms while requests are held. Confined to one thread.
 */
public final class RequestRouter {
    private final RandomGenerator random;
    private final Map<CustomerId, CustomerInfo> customers = new HashMap<>();
    private final Map<BackendId, BackendInfo> backends = new LinkedHashMap<>();
    private final Map<String, RequestInfo> held = new LinkedHashMap<>();
    private final Map<String, Long> connectionOf = new HashMap<>();
    private final Map<Long, String> requestOf = new HashMap<>();
    private final Map<Long, BackendId> backendOf = new HashMap<>();
    private long lastConnection;

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
        this.random = random;
    }

    /**
     * Replaces the known backend servers of all services.
     *
     * @param now monotonic milliseconds
     * @param list all backend servers, also those that leave
     * @return the actions
     */
    public List<RoutingAction> updateBackends(long now, Collection<BackendInfo> list) {
        backends.clear();
        list.forEach(backend -> backends.put(backend.id(), backend));
        return List.of();
    }

    /**
     * Replaces the known customers.
     *
     * @param now monotonic milliseconds
     * @param list all customers
     * @return the actions
     */
    public List<RoutingAction> updateCustomers(long now, Collection<CustomerInfo> list) {
        customers.clear();
        list.forEach(customer -> customers.put(customer.id(), customer));
        return List.of();
    }

    /**
     * Changes the shares of this entry host.
     *
     * @param now monotonic milliseconds
     * @param hosts the live entry hosts
     * @return the actions
     */
    public List<RoutingAction> updateEntryHosts(long now, EntryHosts hosts) {
        return List.of();
    }

    /**
     * Takes a new request.
     *
     * @param now monotonic milliseconds
     * @param request the request, with an identifier that was not used before
     * @return the actions
     */
    public List<RoutingAction> offer(long now, RequestInfo request) {
        if (!customers.containsKey(request.customer())) {
            return refuse(request.id(), NotRunReason.UNKNOWN_CUSTOMER);
        }
        List<BackendInfo> live =
                backends.values().stream()
                        .filter(b -> b.service().equals(request.service()))
                        .filter(b -> b.state().isAccepting())
                        .toList();
        if (live.isEmpty()) {
            return refuse(request.id(), NotRunReason.NO_BACKEND);
        }
        BackendInfo chosen = live.get(random.nextInt(live.size()));
        held.put(request.id(), request);
        long connection = ++lastConnection;
        connectionOf.put(request.id(), connection);
        requestOf.put(connection, request.id());
        backendOf.put(connection, chosen.id());
        if (request.key().isPresent()) {
            return List.of(
                    new RoutingAction.ClaimKey(
                            request.id(), request.customer(), request.key().get()));
        }
        return List.of(new RoutingAction.Connect(connection, chosen.id()));
    }

    /**
     * Takes the store's word on the claim of a request's key.
     *
     * @param now monotonic milliseconds
     * @param request the request
     * @param result what the store said
     * @return the actions
     */
    public List<RoutingAction> onClaim(long now, String request, ClaimResult result) {
        RequestInfo info = held.get(request);
        if (info == null || result == ClaimResult.UNSETTLED) {
            return List.of();
        }
        long connection = connectionOf.get(request);
        return switch (result) {
            case CLAIMED ->
                    List.of(new RoutingAction.Connect(connection, backendOf.get(connection)));
            case DONE -> finish(request, new Outcome.Answered(true));
            case IN_PROGRESS -> finish(request, new Outcome.Unknown(UnknownReason.KEY_IN_PROGRESS));
            case REUSED -> refuse(request, NotRunReason.KEY_REUSED);
            default -> refuse(request, NotRunReason.STORE_UNAVAILABLE);
        };
    }

    /**
     * Takes the news that a connection is open.
     *
     * @param now monotonic milliseconds
     * @param connection the connection
     * @return the actions
     */
    public List<RoutingAction> onConnected(long now, long connection) {
        String request = requestOf.get(connection);
        return request == null
                ? List.of()
                : List.of(
                        new RoutingAction.Forward(
                                request, 1, backendOf.get(connection), connection));
    }

    /**
     * Takes the news that a connection could not be opened.
     *
     * @param now monotonic milliseconds
     * @param connection the connection
     * @return the actions
     */
    public List<RoutingAction> onConnectFailed(long now, long connection) {
        String request = requestOf.get(connection);
        return request == null ? List.of() : refuse(request, NotRunReason.CONNECT_FAILED);
    }

    /**
     * Takes the news that an idle connection was closed by the backend server. A connection with a
     * request is reported by {@link #onAttemptFailed} instead.
     *
     * @param now monotonic milliseconds
     * @param connection the connection
     * @return the actions
     */
    public List<RoutingAction> onConnectionClosed(long now, long connection) {
        return List.of();
    }

    /**
     * Takes the news that bytes of a response arrived.
     *
     * @param now monotonic milliseconds
     * @param connection the connection
     */
    public void onBytes(long now, long connection) {}

    /**
     * Takes a complete response that carries the identifier of its request.
     *
     * @param now monotonic milliseconds
     * @param request the request
     * @param attempt the attempt
     * @param reply the response
     * @return the actions; no {@link RoutingAction.Finish} if the response came too late
     */
    public List<RoutingAction> onReply(long now, String request, int attempt, Reply reply) {
        if (!held.containsKey(request)) {
            return List.of();
        }
        return reply.notRun()
                ? refuse(request, NotRunReason.BACKEND_REFUSED)
                : finish(request, new Outcome.Answered(false));
    }

    /**
     * Takes the failure of an attempt after its {@link RoutingAction.Forward}. The daemon has
     * closed the connection.
     *
     * @param now monotonic milliseconds
     * @param request the request
     * @param attempt the attempt
     * @param failure what happened
     * @param handedOver false only if it is certain that no byte of the request was written
     * @return the actions
     */
    public List<RoutingAction> onAttemptFailed(
            long now, String request, int attempt, AttemptFailure failure, boolean handedOver) {
        return handedOver
                ? finish(request, new Outcome.Unknown(failure.reason()))
                : refuse(request, NotRunReason.CONNECT_FAILED);
    }

    /**
     * Takes the news that the caller closed its connection. The outcome goes to the log only.
     *
     * @param now monotonic milliseconds
     * @param request the request
     * @return the actions
     */
    public List<RoutingAction> onCallerGone(long now, String request) {
        return finish(request, new Outcome.Unknown(UnknownReason.CALLER_GONE));
    }

    /**
     * Does what is due: deadlines, suspicions, probes, limits.
     *
     * @param now monotonic milliseconds
     * @return the actions
     */
    public List<RoutingAction> onTick(long now) {
        List<RoutingAction> actions = new ArrayList<>();
        Iterator<RequestInfo> all = List.copyOf(held.values()).iterator();
        while (all.hasNext()) {
            RequestInfo request = all.next();
            if (request.deadlineMillis() <= now) {
                actions.addAll(finish(request.id(), new Outcome.Unknown(UnknownReason.DEADLINE)));
            }
        }
        return actions;
    }

    /**
     * Returns when {@link #onTick} is due at the latest.
     *
     * @param now monotonic milliseconds
     * @return monotonic milliseconds
     */
    public long nextTickMillis(long now) {
        return now + 10;
    }

    private List<RoutingAction> refuse(String request, NotRunReason reason) {
        return finish(request, new Outcome.NotRun(reason, reason.isRetryUseful() ? 100 : 0));
    }

    private List<RoutingAction> finish(String request, Outcome outcome) {
        List<RoutingAction> actions = new ArrayList<>();
        held.remove(request);
        Long connection = connectionOf.remove(request);
        if (connection != null) {
            requestOf.remove(connection);
            BackendId backend = backendOf.remove(connection);
            actions.add(
                    new RoutingAction.CloseConnection(connection, backend, CloseReason.SURPLUS));
        }
        actions.add(new RoutingAction.Finish(request, outcome));
        return actions;
    }
}
