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
    final Map<String, Sent> requests = new LinkedHashMap<>();
    final Map<Long, Line> lines = new LinkedHashMap<>();
    final Map<BackendId, BackendInfo> backends = new LinkedHashMap<>();
    final Set<BackendId> saidLeaving = new HashSet<>();
    final RoutingSettings settings;
    EntryHosts hosts = new EntryHosts(1, 0);
    long now = 1_000;
    final List<String> released = new ArrayList<>();
    int firsts;
    int retries;

    /** A request and what became of it. */
    static final class Sent {
        final RequestInfo info;
        final List<Long> lines = new ArrayList<>();
        int attempt;
        int uncertain;
        boolean claiming;
        boolean claimed;
        boolean replied;
        Outcome outcome;

        Sent(RequestInfo info) {
            this.info = info;
        }
    }

    /** A connection. */
    static final class Line {
        final long id;
        final BackendId backend;
        boolean open;
        Sent sent;

        Line(long id, BackendId backend) {
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
                now, List.of(new CustomerInfo(CUSTOMER, 100, 1000, 100_000, Set.of())));
        apply(router.updateBackends(now, backends.values()));
    }

    Sent offer(RequestKind kind, boolean keyed, long deadline) {
        String id = "r" + requests.size();
        Optional<RequestKey> key = keyed ? Optional.of(RequestKey.of("k-" + id)) : Optional.empty();
        RequestInfo info = new RequestInfo(id, CUSTOMER, SERVICE, kind, key, now + deadline);
        Sent sent = new Sent(info);
        requests.put(id, sent);
        apply(router.offer(now, info));
        return sent;
    }

    void tick(long millis) {
        now += millis;
        apply(router.onTick(now));
        for (Sent sent : requests.values()) {
            assertTrue(
                    sent.outcome != null || sent.info.deadlineMillis() > now,
                    "no outcome by the deadline: " + sent.info);
        }
    }

    void connected(Line line) {
        line.open = true;
        apply(router.onConnected(now, line.id));
    }

    void connectAll() {
        while (lines.values().stream().anyMatch(line -> !line.open)) {
            connected(lines.values().stream().filter(line -> !line.open).findFirst().get());
        }
    }

    void connectFailed(Line line) {
        lines.remove(line.id);
        apply(router.onConnectFailed(now, line.id));
    }

    void closed(Line line) {
        lines.remove(line.id);
        apply(router.onConnectionClosed(now, line.id));
    }

    void reply(Line line, Reply reply) {
        Sent sent = line.sent;
        line.sent = null;
        if (!reply.reusable()) {
            lines.remove(line.id);
        }
        if (reply.notRun()) {
            sent.uncertain--;
        } else {
            sent.replied = true;
        }
        if (reply.leaving()) {
            saidLeaving.add(line.backend);
        }
        apply(router.onReply(now, sent.info.id(), sent.attempt, reply));
    }

    void fail(Line line, boolean handedOver) {
        Sent sent = line.sent;
        lines.remove(line.id);
        sent.uncertain -= handedOver ? 0 : 1;
        apply(
                router.onAttemptFailed(
                        now,
                        sent.info.id(),
                        sent.attempt,
                        AttemptFailure.CONNECTION_LOST,
                        handedOver));
    }

    void claim(Sent sent, ClaimResult result) {
        sent.claiming = result == ClaimResult.UNSETTLED;
        sent.claimed = result == ClaimResult.CLAIMED;
        apply(router.onClaim(now, sent.info.id(), result));
    }

    void state(BackendId id, BackendState state) {
        backends.put(id, backends.get(id).withState(state));
        // Each update lists all servers; the list's own word that one leaves replaces its mark.
        saidLeaving.removeIf(marked -> backends.get(marked).state() != BackendState.LIVE);
        apply(router.updateBackends(now, backends.values()));
    }

    void hosts(EntryHosts changed) {
        hosts = changed;
        apply(router.updateEntryHosts(now, changed));
    }

    boolean isAccepting(BackendId id) {
        return backends.get(id).state() == BackendState.LIVE && !saidLeaving.contains(id);
    }

    List<Line> busy() {
        return lines.values().stream().filter(line -> line.sent != null).toList();
    }

    void apply(List<RoutingAction> actions) {
        for (RoutingAction action : actions) {
            if (action instanceof RoutingAction.Connect connect) {
                checkConnect(connect);
            } else if (action instanceof RoutingAction.Forward forward) {
                checkForward(forward);
            } else if (action instanceof RoutingAction.CloseConnection close) {
                assertNotNull(lines.remove(close.connection()), "closed twice: " + close);
            } else if (action instanceof RoutingAction.Finish finish) {
                checkFinish(finish);
            } else if (action instanceof RoutingAction.ClaimKey claim) {
                requests.get(claim.request()).claiming = true;
            } else if (action instanceof RoutingAction.ReleaseKey release) {
                Sent sent = requests.get(release.request());
                assertEquals(0, sent.uncertain, "released a key that may be in use");
                sent.claimed = false;
                released.add(release.request());
            } else if (action instanceof RoutingAction.StoreAnswer store) {
                assertTrue(requests.get(store.request()).replied, "stored without a response");
            }
        }
        checkNobodyIsForgotten();
    }

    private void checkConnect(RoutingAction.Connect connect) {
        assertTrue(isAccepting(connect.backend()), "connects to a leaving server");
        assertFalse(lines.containsKey(connect.connection()), "connection number used twice");
        lines.put(connect.connection(), new Line(connect.connection(), connect.backend()));
        BackendInfo info = backends.get(connect.backend());
        int salt = Math.floorMod(info.id().hashCode(), 1 << 16);
        long own = lines.values().stream().filter(l -> l.backend.equals(info.id())).count();
        assertTrue(
                own <= Math.max(1, hosts.partOf(info.connections(), salt)),
                "exceeds the share of connections: " + own);
    }

    private void checkForward(RoutingAction.Forward forward) {
        Sent sent = requests.get(forward.request());
        Line line = lines.get(forward.connection());
        assertNull(sent.outcome, "forwarded after its final outcome");
        assertTrue(isAccepting(forward.backend()), "forwarded to a leaving server");
        assertTrue(line != null && line.open && line.sent == null, "connection is not idle");
        assertFalse(sent.lines.contains(line.id), "retried on the same connection");
        assertTrue(sent.info.key().isEmpty() || sent.claimed, "forwarded without its claim");
        boolean once = sent.info.kind() == RequestKind.NON_IDEMPOTENT;
        assertTrue(!once || sent.uncertain == 0, "non-idempotent request handed over twice");
        assertTrue(forward.attempt() <= 2, "too many attempts");
        assertEquals(sent.attempt + 1, forward.attempt());
        sent.attempt = forward.attempt();
        sent.uncertain++;
        sent.lines.add(line.id);
        line.sent = sent;
        firsts += sent.attempt == 1 ? 1 : 0;
        retries += sent.attempt > 1 ? 1 : 0;
        assertTrue(retries * 100 <= firsts * settings.retryPercent(), "exceeds the retry budget");
        long slotted =
                busy().stream()
                        .filter(l -> l.backend.equals(line.backend))
                        .filter(l -> l.sent.info.kind().occupiesSlot())
                        .count();
        assertTrue(slotted <= backends.get(line.backend).slots(), "exceeds the slots");
    }

    private void checkFinish(RoutingAction.Finish finish) {
        Sent sent = requests.get(finish.request());
        assertNull(sent.outcome, "second final outcome");
        sent.outcome = finish.outcome();
        if (finish.outcome() instanceof Outcome.NotRun notRun) {
            assertEquals(0, sent.uncertain, "may have run, but told " + notRun);
            assertTrue(
                    !notRun.reason().isRetryUseful() || notRun.retryAfterMillis() > 0,
                    "no retry-after time: " + notRun);
        } else if (finish.outcome() instanceof Outcome.Answered answered) {
            assertTrue(sent.replied || answered.stored(), "answered without a response");
        }
    }

    /** A request that is neither being claimed nor in flight needs a server to wait for. */
    private void checkNobodyIsForgotten() {
        boolean servable = backends.keySet().stream().anyMatch(this::isAccepting);
        Set<Sent> inFlight = new HashSet<>();
        busy().forEach(line -> inFlight.add(line.sent));
        for (Sent sent : requests.values()) {
            assertTrue(
                    sent.outcome != null || sent.claiming || servable || inFlight.contains(sent),
                    "given up without an outcome: " + sent.info);
        }
    }
}
