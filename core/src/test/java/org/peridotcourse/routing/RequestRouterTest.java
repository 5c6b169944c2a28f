package org.peridotcourse.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.peridotcourse.BackendId;

/**
 * Guards against wrong reactions of the router to single faults. The harness also checks the
 * guarantees on every action.
 */
class RequestRouterTest {
    private static RouterHarness harness(int servers) {
        return new RouterHarness(RoutingSettings.defaults(), servers, 8, 64);
    }

    private static RouterHarness.TrackedRequest send(RouterHarness harness, RequestKind kind) {
        RouterHarness.TrackedRequest request = harness.send(kind, false, 2_000);
        harness.connectAll();
        return request;
    }

    private static RouterHarness.TrackedConnection connectionOf(
            RouterHarness harness, RouterHarness.TrackedRequest request) {
        return harness.busyConnections().stream()
                .filter(connection -> connection.request == request)
                .findFirst()
                .orElseThrow();
    }

    /**
     * Completes requests with a latency of 10 ms, which fills the retry budget and the latency
     * estimates.
     */
    private static void warmUp(RouterHarness harness, int requests) {
        for (int i = 0; i < requests; i++) {
            RouterHarness.TrackedRequest request = send(harness, RequestKind.IDEMPOTENT);
            harness.tick(10);
            harness.respond(connectionOf(harness, request), BackendResponse.of(200));
        }
    }

    private static NotRunReason refusalReason(RouterHarness.TrackedRequest request) {
        return assertInstanceOf(Outcome.NotRun.class, request.outcome).reason();
    }

    @Test
    void silentConnectionOfARepeatableRequestIsReplacedLongBeforeTheDeadline() {
        RouterHarness harness = harness(2);
        warmUp(harness, 30);
        RouterHarness.TrackedRequest request = send(harness, RequestKind.IDEMPOTENT);
        RouterHarness.TrackedConnection silentConnection = connectionOf(harness, request);
        harness.tick(200);
        assertTrue(
                harness.connections.containsKey(silentConnection.id),
                "suspected before the minimum of 250 ms");
        harness.tick(60);
        harness.connectAll();
        assertTrue(
                !harness.connections.containsKey(silentConnection.id),
                "silent connection was not closed");
        harness.respond(connectionOf(harness, request), BackendResponse.of(200));
        assertInstanceOf(Outcome.Answered.class, request.outcome);
    }

    @Test
    void silentConnectionOfANonIdempotentRequestWaitsForTheResponseAndIsNotReused() {
        RouterHarness harness = harness(1);
        warmUp(harness, 30);
        RouterHarness.TrackedRequest request = send(harness, RequestKind.NON_IDEMPOTENT);
        RouterHarness.TrackedConnection silentConnection = connectionOf(harness, request);
        harness.tick(300);
        assertNull(request.outcome);
        harness.respond(silentConnection, BackendResponse.of(200));
        assertInstanceOf(Outcome.Answered.class, request.outcome);
        assertTrue(
                !harness.connections.containsKey(silentConnection.id),
                "suspected connection is reused");
    }

    /** Guards against a request that crashes server after server, since it is retried on each. */
    @Test
    void requestThatCrashesItsServersReachesAtMostTwo() {
        for (RequestKind kind : List.of(RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT)) {
            RouterHarness harness = harness(6);
            warmUp(harness, 60);
            RouterHarness.TrackedRequest request = send(harness, kind);
            int crashes = 0;
            while (request.outcome == null && crashes < 6) {
                harness.failAttempt(connectionOf(harness, request), true);
                crashes++;
                harness.tick(10);
                harness.connectAll();
            }
            assertEquals(kind == RequestKind.IDEMPOTENT ? 2 : 1, crashes);
            assertInstanceOf(Outcome.Unknown.class, request.outcome);
        }
    }

    @Test
    void failingServerIsEjectedProbedAndUsedAgain() {
        RouterHarness harness = harness(2);
        warmUp(harness, 60);
        BackendId failing = BackendId.of("b0");
        int failures = 0;
        for (int i = 0; i < 200 && ejected(harness).isEmpty(); i++) {
            RouterHarness.TrackedRequest request = send(harness, RequestKind.NON_IDEMPOTENT);
            RouterHarness.TrackedConnection connection = connectionOf(harness, request);
            if (connection.backend.equals(failing)) {
                harness.failAttempt(connection, true);
                failures++;
            } else {
                harness.tick(10);
                harness.respond(connection, BackendResponse.of(200));
            }
        }
        assertEquals(Set.of(failing), ejected(harness));
        assertEquals(3, failures);
        harness.tick(1_001);
        for (int i = 0; i < 5 && !ejected(harness).isEmpty(); i++) {
            warmUp(harness, 1);
        }
        assertEquals(Set.of(), ejected(harness));
    }

    private static Set<BackendId> ejected(RouterHarness harness) {
        return Set.copyOf(
                harness.router.backendStatus().stream()
                        .filter(status -> !status.healthy())
                        .map(BackendStatus::id)
                        .toList());
    }

    @Test
    void atMostHalfOfTheServersAreEjected() {
        RouterHarness harness = harness(4);
        for (int i = 0; i < 40; i++) {
            harness.send(RequestKind.NON_IDEMPOTENT, false, 2_000);
            harness.connectAll();
            harness.busyConnections().forEach(connection -> harness.failAttempt(connection, true));
        }
        assertEquals(2, ejected(harness).size());
    }

    @Test
    void nearestServersAreUsedUntilTheyAreFull() {
        // b0 and b1 are in the own data centre, b2 is in another region across the billed link.
        // Each has 2 slots.
        RouterHarness harness = new RouterHarness(RoutingSettings.defaults(), 3, 2, 64);
        for (int i = 0; i < 4; i++) {
            send(harness, RequestKind.IDEMPOTENT);
        }
        BackendId remote = BackendId.of("b2");
        assertTrue(
                harness.busyConnections().stream()
                        .noneMatch(connection -> connection.backend.equals(remote)));
        assertEquals(remote, connectionOf(harness, send(harness, RequestKind.IDEMPOTENT)).backend);
    }

    @Test
    void unreachableServersRefuseAtOnce() {
        RouterHarness harness = harness(2);
        RouterHarness.TrackedRequest request = harness.send(RequestKind.IDEMPOTENT, false, 60_000);
        for (int i = 0; i < 50 && request.outcome == null; i++) {
            harness.connectFailed(harness.connections.values().iterator().next());
        }
        assertEquals(NotRunReason.CONNECT_FAILED, refusalReason(request));
    }

    @Test
    void overloadIsRefusedAtOnce() {
        RouterHarness harness = new RouterHarness(RoutingSettings.defaults(), 1, 1, 8);
        warmUp(harness, 20);
        RouterHarness.TrackedRequest last = null;
        for (int i = 0; i < 20; i++) {
            last = harness.send(RequestKind.IDEMPOTENT, false, 100);
        }
        assertEquals(NotRunReason.OVERLOAD, refusalReason(last));
    }

    @Test
    void requestThatWaitedTooLongIsRefusedInsteadOfForwarded() {
        RouterHarness harness = new RouterHarness(RoutingSettings.defaults(), 1, 1, 8);
        warmUp(harness, 20);
        RouterHarness.TrackedRequest first = send(harness, RequestKind.IDEMPOTENT);
        RouterHarness.TrackedRequest waiting = harness.send(RequestKind.IDEMPOTENT, false, 30);
        harness.tick(22);
        assertNull(waiting.outcome);
        harness.respond(connectionOf(harness, first), BackendResponse.of(200));
        assertEquals(NotRunReason.OVERLOAD, refusalReason(waiting));
    }

    @Test
    void oneSlowSampleDoesNotExcludeAServer() {
        // Without decay of the estimate, an idle server with the higher estimate is never measured
        // again.
        RouterHarness harness = harness(2);
        warmUp(harness, 10);
        RouterHarness.TrackedConnection slowConnection =
                connectionOf(harness, send(harness, RequestKind.IDEMPOTENT));
        warmUp(harness, 1);
        harness.tick(190);
        harness.respond(slowConnection, BackendResponse.of(200));
        int used = 0;
        for (int i = 0; i < 600; i++) {
            RouterHarness.TrackedConnection connection =
                    connectionOf(harness, send(harness, RequestKind.IDEMPOTENT));
            used += connection.backend.equals(slowConnection.backend) ? 1 : 0;
            harness.tick(10);
            harness.respond(connection, BackendResponse.of(200));
        }
        assertTrue(used >= 100, "used " + used + " times in 600");
    }

    @Test
    void refusingServerIsPausedForItsRetryAfterTime() {
        RouterHarness harness = harness(2);
        warmUp(harness, 30);
        RouterHarness.TrackedConnection refusingConnection =
                connectionOf(harness, send(harness, RequestKind.NON_IDEMPOTENT));
        harness.respond(refusingConnection, BackendResponse.notRun(50));
        for (int i = 0; i < 4; i++) {
            BackendId used = connectionOf(harness, send(harness, RequestKind.IDEMPOTENT)).backend;
            assertTrue(
                    !used.equals(refusingConnection.backend), "used during its retry-after time");
        }
    }

    @Test
    void rateLimitOfTheCustomerIsDividedAmongTheEntryHosts() {
        RouterHarness harness = harness(2);
        harness.updateEntryHosts(new EntryHosts(4, 1));
        harness.router.updateCustomers(
                harness.nowMillis,
                List.of(new CustomerInfo(RouterHarness.CUSTOMER, 1, 1000, 40, Set.of())));
        for (int i = 0; i < 10; i++) {
            assertNull(harness.send(RequestKind.IDEMPOTENT, false, 2_000).outcome);
        }
        RouterHarness.TrackedRequest refused = harness.send(RequestKind.IDEMPOTENT, false, 2_000);
        assertEquals(new Outcome.NotRun(NotRunReason.CUSTOMER_RATE, 100), refused.outcome);
        harness.tick(100);
        assertNull(harness.send(RequestKind.IDEMPOTENT, false, 2_000).outcome);
    }

    @Test
    void slotsAndConnectionsOfAllEntryHostsAddUpToThoseOfTheServer() {
        for (int count = 1; count <= 12; count++) {
            int sum = 0;
            for (int index = 0; index < count; index++) {
                sum += new EntryHosts(count, index).shareOf(8, 12345);
            }
            assertEquals(8, sum, count + " hosts");
        }
    }

    @Test
    void watchesLeaveConnectionsForRequests() {
        RouterHarness harness = new RouterHarness(RoutingSettings.defaults(), 1, 2, 8);
        for (int i = 0; i < 10; i++) {
            harness.send(RequestKind.WATCH, false, 20_000);
            harness.connectAll();
        }
        assertEquals(4, harness.busyConnections().size());
        assertEquals(
                1, connectionOf(harness, send(harness, RequestKind.IDEMPOTENT)).request.attempt);
    }

    @Test
    void claimOfARequestThatDidNotRunIsReleasedAndOthersAreKept() {
        RouterHarness harness = harness(1);
        for (ClaimResult result : List.of(ClaimResult.UNSETTLED, ClaimResult.CLAIMED)) {
            RouterHarness.TrackedRequest refused =
                    harness.send(RequestKind.NON_IDEMPOTENT, true, 50);
            harness.completeClaim(refused, result);
            harness.tick(50);
            assertInstanceOf(Outcome.NotRun.class, refused.outcome);
        }
        RouterHarness.TrackedRequest done = harness.send(RequestKind.NON_IDEMPOTENT, true, 50);
        harness.completeClaim(done, ClaimResult.DONE);
        assertEquals(new Outcome.Answered(true), done.outcome);
        RouterHarness.TrackedRequest running = harness.send(RequestKind.NON_IDEMPOTENT, true, 50);
        harness.completeClaim(running, ClaimResult.IN_PROGRESS);
        assertEquals(new Outcome.Unknown(UnknownReason.KEY_IN_PROGRESS), running.outcome);
        RouterHarness.TrackedRequest down = harness.send(RequestKind.NON_IDEMPOTENT, true, 50);
        harness.completeClaim(down, ClaimResult.STORE_UNAVAILABLE);
        assertEquals(NotRunReason.STORE_UNAVAILABLE, refusalReason(down));
        assertEquals(List.of("r0", "r1"), harness.releasedRequests);
    }
}
