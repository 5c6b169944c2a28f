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
 * Guards against violations of the documented guarantees P5 to P8 and P12 under arbitrary sequences
 * of events, such as one outcome per request by its deadline, no second hand-over of a
 * non-idempotent request that may have run, no request to a leaving server, and no excess of slots,
 * connections or retries. The harness checks every action.
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
        // A retry budget of 50% makes retries common in short sequences. The random policy has no
        // limits, so its harness gets bounds that it cannot reach.
        boolean isRandom = policy == RoutingPolicy.RANDOM;
        RoutingSettings settings =
                new RoutingSettings(policy, 2, isRandom ? 100_000 : 50, 1000, true, 0);
        int slots = isRandom ? 1000 : 2;
        RouterHarness harness = new RouterHarness(settings, servers, slots, isRandom ? 8000 : 8);
        for (int event : events) {
            applyEvent(harness, event % EVENT_KINDS, event / EVENT_KINDS, isRandom);
        }
        List<RouterHarness.TrackedConnection> open = harness.busyConnections();
        harness.tick(60_000);
        for (RouterHarness.TrackedRequest request : harness.requests.values()) {
            assertNotNull(request.outcome);
        }
        assertTrue(
                harness.busyConnections().isEmpty(),
                "connections of finished requests stay open: " + open);
        assertEquals(0, harness.router.queuedCount());
        for (BackendStatus status : harness.router.backendStatus()) {
            assertEquals(0, status.inFlight() + status.watches(), "leaked slot: " + status);
        }
    }

    private static void applyEvent(RouterHarness harness, int event, int value, boolean isRandom) {
        switch (event) {
            case 0, 1, 2, 3 -> {
                RequestKind kind = RequestKind.values()[value % 3];
                harness.send(kind, value / 3 % 4 == 0, 10 + value / 12 % 2000);
            }
            case 4, 5 ->
                    applyToOne(harness, value, connection -> !connection.open, harness::connect);
            case 6 ->
                    applyToOne(
                            harness, value, connection -> !connection.open, harness::connectFailed);
            case 7, 8 ->
                    applyToOne(
                            harness,
                            value,
                            connection -> connection.request != null,
                            connection -> respond(harness, connection));
            case 9 ->
                    applyToOne(
                            harness,
                            value,
                            connection -> connection.request != null,
                            connection ->
                                    harness.respond(
                                            connection, BackendResponse.notRun(value % 100)));
            case 10 ->
                    applyToOne(
                            harness,
                            value,
                            connection -> connection.request != null,
                            connection -> harness.failAttempt(connection, value % 2 == 0));
            case 11 -> completeOneClaim(harness, value);
            case 12 -> harness.tick(value % 10 == 0 ? value % 2000 : value % 400);
            case 13 -> changeOneBackend(harness, value);
            case 14 -> changeEntryHostsOrCloseIdle(harness, value, isRandom);
            default -> callerGoneOrLateResponse(harness, value);
        }
    }

    private static void applyToOne(
            RouterHarness harness,
            int value,
            Predicate<RouterHarness.TrackedConnection> condition,
            java.util.function.Consumer<RouterHarness.TrackedConnection> operation) {
        List<RouterHarness.TrackedConnection> matching =
                harness.connections.values().stream().filter(condition).toList();
        if (!matching.isEmpty()) {
            operation.accept(matching.get(value % matching.size()));
        }
    }

    private static void respond(RouterHarness harness, RouterHarness.TrackedConnection connection) {
        boolean leaving = harness.requests.size() % 7 == 0;
        boolean reusable = harness.requests.size() % 5 != 0;
        harness.respond(connection, new BackendResponse(200, false, 0, leaving, reusable));
    }

    private static void completeOneClaim(RouterHarness harness, int value) {
        List<RouterHarness.TrackedRequest> claiming =
                harness.requests.values().stream()
                        .filter(request -> request.claimPending && request.outcome == null)
                        .toList();
        if (!claiming.isEmpty()) {
            // More than half of the results are CLAIMED, so that requests with keys proceed to
            // later phases.
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
            RouterHarness harness, int value, boolean isRandom) {
        if (value % 3 == 0 && !isRandom) {
            harness.updateEntryHosts(new EntryHosts(1 + value / 3 % 4, value / 12 % 4));
        } else {
            applyToOne(
                    harness,
                    value,
                    connection -> connection.open && connection.request == null,
                    harness::closeIdle);
        }
    }

    /** Closes the connection of a caller, or delivers a response to an attempt that is over. */
    private static void callerGoneOrLateResponse(RouterHarness harness, int value) {
        List<RouterHarness.TrackedRequest> all = new ArrayList<>(harness.requests.values());
        if (all.isEmpty()) {
            return;
        }
        RouterHarness.TrackedRequest request = all.get(value % all.size());
        if (value % 2 == 0) {
            harness.apply(harness.router.onCallerGone(harness.nowMillis, request.info.id()));
        } else if (request.attempt > 1 || request.outcome != null) {
            int attempt = request.outcome != null ? request.attempt : 1;
            harness.apply(
                    harness.router.onResponse(
                            harness.nowMillis,
                            request.info.id(),
                            attempt,
                            BackendResponse.of(200)));
        }
    }
}
