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

/** Plays the daemon for a router and checks the guarantees on every action. */
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

    /** A request and what became of it. */
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

    /** A connection. */
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
            String place = i % 3 == 2 ? "zacapa" : "xela";
            String region = i % 3 == 2 ? "oriente" : "altiplano";
            backends.put(
                    id,
                    new BackendInfo(
                            id,
                            SERVICE,
                            DataCentreId.of(place),
                            region,
                            slots,
                            connections,
                            BackendState.LIVE));
        }
        router.updateCustomers(
                nowMillis, List.of(new CustomerInfo(CUSTOMER, 100, 1000, 100_000, Set.of())));
        apply(router.updateBackends(nowMillis, backends.values()));
    }

    TrackedRequest send(RequestKind kind, boolean keyed, long deadline) {
        String id = "r" + requests.size();
        Optional<RequestKey> key = keyed ? Optional.of(RequestKey.of("k-" + id)) : Optional.empty();
        RequestInfo info = new RequestInfo(id, CUSTOMER, SERVICE, kind, key, nowMillis + deadline);
        TrackedRequest sent = new TrackedRequest(info);
        requests.put(id, sent);
        apply(router.onRequest(nowMillis, info));
        return sent;
    }

    void tick(long millis) {
        nowMillis += millis;
        apply(router.onTick(nowMillis));
        for (TrackedRequest sent : requests.values()) {
            assertTrue(
                    sent.outcome != null || sent.info.deadlineMillis() > nowMillis,
                    "no outcome by the deadline: " + sent.info);
        }
    }

    void connect(TrackedConnection line) {
        line.open = true;
        apply(router.onConnected(nowMillis, line.id));
    }

    void connectAll() {
        while (connections.values().stream().anyMatch(line -> !line.open)) {
            connect(connections.values().stream().filter(line -> !line.open).findFirst().get());
        }
    }

    void connectFailed(TrackedConnection line) {
        connections.remove(line.id);
        apply(router.onConnectFailed(nowMillis, line.id));
    }

    void closeIdle(TrackedConnection line) {
        connections.remove(line.id);
        apply(router.onConnectionClosed(nowMillis, line.id));
    }

    void respond(TrackedConnection line, BackendResponse reply) {
        TrackedRequest sent = line.request;
        line.request = null;
        if (!reply.reusable()) {
            connections.remove(line.id);
        }
        if (reply.notRun()) {
            sent.possibleRuns--;
        } else {
            sent.responded = true;
        }
        if (reply.leaving()) {
            reportedLeaving.add(line.backend);
        }
        apply(router.onResponse(nowMillis, sent.info.id(), sent.attempt, reply));
    }

    void failAttempt(TrackedConnection line, boolean handedOver) {
        TrackedRequest sent = line.request;
        connections.remove(line.id);
        sent.possibleRuns -= handedOver ? 0 : 1;
        apply(
                router.onAttemptFailed(
                        nowMillis,
                        sent.info.id(),
                        sent.attempt,
                        AttemptFailure.CONNECTION_LOST,
                        handedOver));
    }

    void completeClaim(TrackedRequest sent, ClaimResult result) {
        sent.claimPending = result == ClaimResult.UNSETTLED;
        sent.claimed = result == ClaimResult.CLAIMED;
        apply(router.onClaimResult(nowMillis, sent.info.id(), result));
    }

    void updateState(BackendId id, BackendState state) {
        backends.put(id, backends.get(id).withState(state));
        // Each update lists all servers; the list's own word that one leaves replaces its mark.
        reportedLeaving.removeIf(marked -> backends.get(marked).state() != BackendState.LIVE);
        apply(router.updateBackends(nowMillis, backends.values()));
    }

    void updateEntryHosts(EntryHosts changed) {
        entryHosts = changed;
        apply(router.updateEntryHosts(nowMillis, changed));
    }

    boolean isAccepting(BackendId id) {
        return backends.get(id).state() == BackendState.LIVE && !reportedLeaving.contains(id);
    }

    List<TrackedConnection> busyConnections() {
        return connections.values().stream().filter(line -> line.request != null).toList();
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
                TrackedRequest sent = requests.get(release.request());
                assertEquals(0, sent.possibleRuns, "released a key that may be in use");
                sent.claimed = false;
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
        long own = connections.values().stream().filter(l -> l.backend.equals(info.id())).count();
        assertTrue(
                own <= Math.max(1, entryHosts.shareOf(info.connections(), salt)),
                "exceeds the share of connections: " + own);
    }

    private void checkForward(RoutingAction.Forward forward) {
        TrackedRequest sent = requests.get(forward.request());
        TrackedConnection line = connections.get(forward.connection());
        assertNull(sent.outcome, "forwarded after its final outcome");
        assertTrue(isAccepting(forward.backend()), "forwarded to a leaving server");
        assertTrue(line != null && line.open && line.request == null, "connection is not idle");
        assertFalse(sent.usedConnections.contains(line.id), "retried on the same connection");
        assertTrue(sent.info.key().isEmpty() || sent.claimed, "forwarded without its claim");
        boolean once = sent.info.kind() == RequestKind.NON_IDEMPOTENT;
        assertTrue(!once || sent.possibleRuns == 0, "non-idempotent request handed over twice");
        assertTrue(forward.attempt() <= 2, "too many attempts");
        assertEquals(sent.attempt + 1, forward.attempt());
        sent.attempt = forward.attempt();
        sent.possibleRuns++;
        sent.usedConnections.add(line.id);
        line.request = sent;
        firstAttempts += sent.attempt == 1 ? 1 : 0;
        retries += sent.attempt > 1 ? 1 : 0;
        assertTrue(
                retries * 100 <= firstAttempts * settings.retryPercent(),
                "exceeds the retry budget");
        long slotted =
                busyConnections().stream()
                        .filter(l -> l.backend.equals(line.backend))
                        .filter(l -> l.request.info.kind().occupiesSlot())
                        .count();
        assertTrue(slotted <= backends.get(line.backend).slots(), "exceeds the slots");
    }

    private void checkFinish(RoutingAction.Finish finish) {
        TrackedRequest sent = requests.get(finish.request());
        assertNull(sent.outcome, "second final outcome");
        sent.outcome = finish.outcome();
        if (finish.outcome() instanceof Outcome.NotRun notRun) {
            assertEquals(0, sent.possibleRuns, "may have run, but told " + notRun);
            assertTrue(
                    !notRun.reason().isRetryUseful() || notRun.retryAfterMillis() > 0,
                    "no retry-after time: " + notRun);
        } else if (finish.outcome() instanceof Outcome.Answered answered) {
            assertTrue(sent.responded || answered.stored(), "answered without a response");
        }
    }

    /** A request that is neither being claimed nor in flight needs a server to wait for. */
    private void checkNoRequestIsStranded() {
        boolean servable = backends.keySet().stream().anyMatch(this::isAccepting);
        Set<TrackedRequest> inFlight = new HashSet<>();
        busyConnections().forEach(line -> inFlight.add(line.request));
        for (TrackedRequest sent : requests.values()) {
            assertTrue(
                    sent.outcome != null
                            || sent.claimPending
                            || servable
                            || inFlight.contains(sent),
                    "given up without an outcome: " + sent.info);
        }
    }
}
