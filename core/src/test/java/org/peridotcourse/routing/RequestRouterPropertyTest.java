package org.peridotcourse.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.peridotcourse.BackendId;

/**
 * Guards against broken guarantees (P5 to P8, P12) under arbitrary orders of events. The harness
 * checks every action.
 */
class RequestRouterPropertyTest {
    private static final int EVENT_KINDS = 16;
    private static final List<ClaimResult> CLAIM_RESULTS = List.of(ClaimResult.values());

    @Property(tries = 6000, seed = "20261204", shrinking = ShrinkingMode.BOUNDED)
    void guaranteesHoldForAnyEvents(
            @ForAll @IntRange(min = 1, max = 4) int servers,
            @ForAll @Size(min = 10, max = 40) List<@IntRange(max = 1 << 20) Integer> events) {
        run(RoutingPolicy.LOAD_AWARE, servers, events);
    }

    @Property(tries = 1500, seed = "20261205", shrinking = ShrinkingMode.BOUNDED)
    void handOversAreSafeWithTheRandomPolicyToo(
            @ForAll @IntRange(min = 1, max = 4) int servers,
            @ForAll @Size(min = 10, max = 40) List<@IntRange(max = 1 << 20) Integer> events) {
        run(RoutingPolicy.RANDOM, servers, events);
    }

    private static void run(RoutingPolicy policy, int servers, List<Integer> events) {
        // A budget of half makes retries common in short sequences. The plain policy has no limits,
        // so the harness gets bounds that it cannot reach.
        boolean plain = policy == RoutingPolicy.RANDOM;
        RoutingSettings settings =
                new RoutingSettings(policy, 2, plain ? 100_000 : 50, 1000, true, 0);
        int slots = plain ? 1000 : 2;
        RouterHarness harness = new RouterHarness(settings, servers, slots, plain ? 8000 : 8);
        for (int event : events) {
            applyEvent(harness, event % EVENT_KINDS, event / EVENT_KINDS, plain);
        }
        List<RouterHarness.TrackedConnection> open = harness.busyConnections();
        harness.tick(60_000);
        for (RouterHarness.TrackedRequest sent : harness.requests.values()) {
            assertNotNull(sent.outcome);
        }
        assertTrue(
                harness.busyConnections().isEmpty(),
                "connections of ended requests stay open: " + open);
        assertEquals(0, harness.router.queuedCount());
        for (BackendStatus status : harness.router.backendStatus()) {
            assertEquals(0, status.inFlight() + status.watches(), "leaked slot: " + status);
        }
    }

    private static void applyEvent(RouterHarness harness, int event, int value, boolean plain) {
        switch (event) {
            case 0, 1, 2, 3 -> {
                RequestKind kind = RequestKind.values()[value % 3];
                harness.send(kind, value / 3 % 4 == 0, 10 + value / 12 % 2000);
            }
            case 4, 5 -> applyToOne(harness, value, line -> !line.open, harness::connect);
            case 6 -> applyToOne(harness, value, line -> !line.open, harness::connectFailed);
            case 7, 8 ->
                    applyToOne(
                            harness,
                            value,
                            line -> line.request != null,
                            line -> respond(harness, line));
            case 9 ->
                    applyToOne(
                            harness,
                            value,
                            line -> line.request != null,
                            line -> harness.respond(line, BackendResponse.notRun(value % 100)));
            case 10 ->
                    applyToOne(
                            harness,
                            value,
                            line -> line.request != null,
                            line -> harness.failAttempt(line, value % 2 == 0));
            case 11 -> completeOneClaim(harness, value);
            case 12 -> harness.tick(value % 10 == 0 ? value % 2000 : value % 400);
            case 13 -> changeOneBackend(harness, value);
            case 14 -> changeEntryHostsOrCloseIdle(harness, value, plain);
            default -> callerGoneOrLateResponse(harness, value);
        }
    }

    private static void applyToOne(
            RouterHarness harness,
            int value,
            Predicate<RouterHarness.TrackedConnection> test,
            java.util.function.Consumer<RouterHarness.TrackedConnection> use) {
        List<RouterHarness.TrackedConnection> fit =
                harness.connections.values().stream().filter(test).toList();
        if (!fit.isEmpty()) {
            use.accept(fit.get(value % fit.size()));
        }
    }

    private static void respond(RouterHarness harness, RouterHarness.TrackedConnection line) {
        boolean leaving = harness.requests.size() % 7 == 0;
        boolean reusable = harness.requests.size() % 5 != 0;
        harness.respond(line, new BackendResponse(200, false, 0, leaving, reusable));
    }

    private static void completeOneClaim(RouterHarness harness, int value) {
        List<RouterHarness.TrackedRequest> claiming =
                harness.requests.values().stream()
                        .filter(sent -> sent.claimPending && sent.outcome == null)
                        .toList();
        if (!claiming.isEmpty()) {
            // Half of the results are grants, so that keyed requests get further.
            ClaimResult result = CLAIM_RESULTS.get(Math.max(0, value % 12 - 6));
            harness.completeClaim(claiming.get(value % claiming.size()), result);
        }
    }

    private static void changeOneBackend(RouterHarness harness, int value) {
        List<BackendId> ids = new ArrayList<>(harness.backends.keySet());
        BackendState state = BackendState.values()[value / 8 % 5 % 3];
        harness.updateState(ids.get(value % ids.size()), state);
    }

    private static void changeEntryHostsOrCloseIdle(
            RouterHarness harness, int value, boolean plain) {
        if (value % 3 == 0 && !plain) {
            harness.updateEntryHosts(new EntryHosts(1 + value / 3 % 4, value / 12 % 4));
        } else {
            applyToOne(
                    harness, value, line -> line.open && line.request == null, harness::closeIdle);
        }
    }

    /** Callers leave, and replies to attempts that are over arrive. */
    private static void callerGoneOrLateResponse(RouterHarness harness, int value) {
        List<RouterHarness.TrackedRequest> all = new ArrayList<>(harness.requests.values());
        if (all.isEmpty()) {
            return;
        }
        RouterHarness.TrackedRequest sent = all.get(value % all.size());
        if (value % 2 == 0) {
            harness.apply(harness.router.onCallerGone(harness.nowMillis, sent.info.id()));
        } else if (sent.attempt > 1 || sent.outcome != null) {
            int attempt = sent.outcome != null ? sent.attempt : 1;
            harness.apply(
                    harness.router.onResponse(
                            harness.nowMillis, sent.info.id(), attempt, BackendResponse.of(200)));
        }
    }
}
