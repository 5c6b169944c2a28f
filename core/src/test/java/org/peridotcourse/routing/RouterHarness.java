package org.peridotcourse.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.peridotcourse.BackendId;
import org.peridotcourse.CustomerId;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.RequestKey;
import org.peridotcourse.ServiceId;

/**
 * Executes the actions of a router as the daemon would, and checks the guarantees on every action.
 */
final class RouterHarness {
    static final ServiceId SERVICE = ServiceId.of("despacho");
    static final CustomerId CUSTOMER = CustomerId.of("flipper");

    final RequestRouter router;
    final Map<String, TrackedRequest> requests = new LinkedHashMap<>();
    final Map<Long, TrackedConnection> connections = new LinkedHashMap<>();
    final Map<BackendId, BackendInfo> backends = new LinkedHashMap<>();
    final Set<BackendId> reportedLeaving = new HashSet<>();
    final RoutingSettings settings;
    EntryHosts entryHosts = new EntryHosts(1, 0);
    long nowMillis = 1_000;
    final List<String> releasedRequests = new ArrayList<>();
    int firstAttempts;
    int retries;

    /** A request and its progress. */
    static final class TrackedRequest {
        final RequestInfo info;
        final List<Long> usedConnections = new ArrayList<>();
        int attempt;
        int possibleRuns;
        boolean claimPending;
        boolean claimed;
        boolean responded;
        Outcome outcome;

        TrackedRequest(RequestInfo info) {
            this.info = info;
        }
    }

    /** A connection, open or being opened. */
    static final class TrackedConnection {
        final long id;
        final BackendId backend;
        boolean open;
        TrackedRequest request;

        TrackedConnection(long id, BackendId backend) {
            this.id = id;
            this.backend = backend;
        }
    }

    RouterHarness(RoutingSettings settings, int servers, int slots, int connections) {
        this.settings = settings;
        router =
                new RequestRouter(
                        DataCentreId.of("xela"), "altiplano", settings, new SplittableRandom(7));
        for (int i = 0; i < servers; i++) {
            BackendId id = BackendId.of("b" + i);
            String dataCentre = i % 3 == 2 ? "zacapa" : "xela";
            String region = i % 3 == 2 ? "oriente" : "altiplano";
            backends.put(
                    id,
                    new BackendInfo(
                            id,
                            SERVICE,
                            DataCentreId.of(dataCentre),
                            region,
                            slots,
                            connections,
                            BackendState.LIVE));
        }
        router.updateCustomers(
                nowMillis, List.of(new CustomerInfo(CUSTOMER, 100, 1000, 100_000, Set.of())));
        apply(router.updateBackends(nowMillis, backends.values()));
    }

    TrackedRequest send(RequestKind kind, boolean hasKey, long timeoutMillis) {
        String id = "r" + requests.size();
        Optional<RequestKey> key =
                hasKey ? Optional.of(RequestKey.of("k-" + id)) : Optional.empty();
        RequestInfo info =
                new RequestInfo(id, CUSTOMER, SERVICE, kind, key, nowMillis + timeoutMillis);
        TrackedRequest request = new TrackedRequest(info);
        requests.put(id, request);
        apply(router.onRequest(nowMillis, info));
        return request;
    }

    void tick(long millis) {
        nowMillis += millis;
        apply(router.onTick(nowMillis));
        for (TrackedRequest request : requests.values()) {
            assertTrue(
                    request.outcome != null || request.info.deadlineMillis() > nowMillis,
                    "no outcome by the deadline: " + request.info);
        }
    }

    void connect(TrackedConnection connection) {
        connection.open = true;
        apply(router.onConnected(nowMillis, connection.id));
    }

    void connectAll() {
        while (connections.values().stream().anyMatch(connection -> !connection.open)) {
            connect(
                    connections.values().stream()
                            .filter(connection -> !connection.open)
                            .findFirst()
                            .get());
        }
    }

    void connectFailed(TrackedConnection connection) {
        connections.remove(connection.id);
        apply(router.onConnectFailed(nowMillis, connection.id));
    }

    void closeIdle(TrackedConnection connection) {
        connections.remove(connection.id);
        apply(router.onConnectionClosed(nowMillis, connection.id));
    }

    void respond(TrackedConnection connection, BackendResponse response) {
        TrackedRequest request = connection.request;
        connection.request = null;
        if (!response.reusable()) {
            connections.remove(connection.id);
        }
        if (response.notRun()) {
            request.possibleRuns--;
        } else {
            request.responded = true;
        }
        if (response.leaving()) {
            reportedLeaving.add(connection.backend);
        }
        apply(router.onResponse(nowMillis, request.info.id(), request.attempt, response));
    }

    void failAttempt(TrackedConnection connection, boolean handedOver) {
        TrackedRequest request = connection.request;
        connections.remove(connection.id);
        request.possibleRuns -= handedOver ? 0 : 1;
        apply(
                router.onAttemptFailed(
                        nowMillis,
                        request.info.id(),
                        request.attempt,
                        AttemptFailure.CONNECTION_LOST,
                        handedOver));
    }

    void completeClaim(TrackedRequest request, ClaimResult result) {
        request.claimPending = result == ClaimResult.UNSETTLED;
        request.claimed = result == ClaimResult.CLAIMED;
        apply(router.onClaimResult(nowMillis, request.info.id(), result));
    }

    void updateState(BackendId id, BackendState state) {
        backends.put(id, backends.get(id).withState(state));
        // Each update lists all servers. If the list marks a server as not accepting, that replaces
        // its report.
        reportedLeaving.removeIf(server -> backends.get(server).state() != BackendState.LIVE);
        apply(router.updateBackends(nowMillis, backends.values()));
    }

    void updateEntryHosts(EntryHosts newEntryHosts) {
        entryHosts = newEntryHosts;
        apply(router.updateEntryHosts(nowMillis, newEntryHosts));
    }

    boolean isAccepting(BackendId id) {
        return backends.get(id).state() == BackendState.LIVE && !reportedLeaving.contains(id);
    }

    List<TrackedConnection> busyConnections() {
        return connections.values().stream()
                .filter(connection -> connection.request != null)
                .toList();
    }

    void apply(List<RoutingAction> actions) {
        for (RoutingAction action : actions) {
            if (action instanceof RoutingAction.Connect connect) {
                checkConnect(connect);
            } else if (action instanceof RoutingAction.Forward forward) {
                checkForward(forward);
            } else if (action instanceof RoutingAction.CloseConnection close) {
                assertNotNull(connections.remove(close.connection()), "closed twice: " + close);
            } else if (action instanceof RoutingAction.Finish finish) {
                checkFinish(finish);
            } else if (action instanceof RoutingAction.ClaimKey claim) {
                requests.get(claim.request()).claimPending = true;
            } else if (action instanceof RoutingAction.ReleaseKey release) {
                TrackedRequest request = requests.get(release.request());
                assertEquals(0, request.possibleRuns, "released a key that may be in use");
                request.claimed = false;
                releasedRequests.add(release.request());
            } else if (action instanceof RoutingAction.StoreResponse store) {
                assertTrue(requests.get(store.request()).responded, "stored without a response");
            }
        }
        checkNoRequestIsStranded();
    }

    private void checkConnect(RoutingAction.Connect connect) {
        assertTrue(isAccepting(connect.backend()), "connects to a leaving server");
        assertFalse(connections.containsKey(connect.connection()), "connection number used twice");
        connections.put(
                connect.connection(),
                new TrackedConnection(connect.connection(), connect.backend()));
        BackendInfo info = backends.get(connect.backend());
        int salt = Math.floorMod(info.id().hashCode(), 1 << 16);
        long openedByThisHost =
                connections.values().stream()
                        .filter(other -> other.backend.equals(info.id()))
                        .count();
        assertTrue(
                openedByThisHost <= Math.max(1, entryHosts.shareOf(info.connections(), salt)),
                "exceeds the share of connections: " + openedByThisHost);
    }

    private void checkForward(RoutingAction.Forward forward) {
        TrackedRequest request = requests.get(forward.request());
        TrackedConnection connection = connections.get(forward.connection());
        assertNull(request.outcome, "forwarded after its final outcome");
        assertTrue(isAccepting(forward.backend()), "forwarded to a leaving server");
        assertTrue(
                connection != null && connection.open && connection.request == null,
                "connection is not idle");
        assertFalse(
                request.usedConnections.contains(connection.id), "retried on the same connection");
        assertTrue(request.info.key().isEmpty() || request.claimed, "forwarded without its claim");
        boolean nonIdempotent = request.info.kind() == RequestKind.NON_IDEMPOTENT;
        assertTrue(
                !nonIdempotent || request.possibleRuns == 0,
                "non-idempotent request handed over twice");
        assertTrue(forward.attempt() <= 2, "too many attempts");
        assertEquals(request.attempt + 1, forward.attempt());
        request.attempt = forward.attempt();
        request.possibleRuns++;
        request.usedConnections.add(connection.id);
        connection.request = request;
        firstAttempts += request.attempt == 1 ? 1 : 0;
        retries += request.attempt > 1 ? 1 : 0;
        assertTrue(
                retries * 100 <= firstAttempts * settings.retryPercent(),
                "exceeds the retry budget");
        long occupiedSlots =
                busyConnections().stream()
                        .filter(other -> other.backend.equals(connection.backend))
                        .filter(other -> other.request.info.kind().occupiesSlot())
                        .count();
        assertTrue(occupiedSlots <= backends.get(connection.backend).slots(), "exceeds the slots");
    }

    private void checkFinish(RoutingAction.Finish finish) {
        TrackedRequest request = requests.get(finish.request());
        assertNull(request.outcome, "second final outcome");
        request.outcome = finish.outcome();
        if (finish.outcome() instanceof Outcome.NotRun notRun) {
            assertEquals(0, request.possibleRuns, "may have run, but finished as " + notRun);
            assertTrue(
                    !notRun.reason().isRetryUseful() || notRun.retryAfterMillis() > 0,
                    "no retry-after time: " + notRun);
        } else if (finish.outcome() instanceof Outcome.Answered answered) {
            assertTrue(request.responded || answered.stored(), "answered without a response");
        }
    }

    /**
     * Checks that each unfinished request is being claimed, is in flight or has a server that may
     * accept it.
     */
    private void checkNoRequestIsStranded() {
        boolean servable = backends.keySet().stream().anyMatch(this::isAccepting);
        Set<TrackedRequest> inFlight = new HashSet<>();
        busyConnections().forEach(connection -> inFlight.add(connection.request));
        for (TrackedRequest request : requests.values()) {
            assertTrue(
                    request.outcome != null
                            || request.claimPending
                            || servable
                            || inFlight.contains(request),
                    "stranded without an outcome: " + request.info);
        }
    }
}
