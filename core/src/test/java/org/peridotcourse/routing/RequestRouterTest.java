package org.peridotcourse.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.peridotcourse.BackendId;

/** Guards against wrong reactions to single faults; the harness also checks the guarantees. */
class RequestRouterTest {
    private static RouterHarness harness(int servers) {
        return new RouterHarness(RoutingSettings.defaults(), servers, 8, 64);
    }

    private static RouterHarness.Sent send(RouterHarness harness, RequestKind kind) {
        RouterHarness.Sent sent = harness.offer(kind, false, 2_000);
        harness.connectAll();
        return sent;
    }

    private static RouterHarness.Line lineOf(RouterHarness harness, RouterHarness.Sent sent) {
        return harness.busy().stream().filter(line -> line.sent == sent).findFirst().orElseThrow();
    }

    /** Earns retries and a usual latency of 10 ms on the servers. */
    private static void warmUp(RouterHarness harness, int requests) {
        for (int i = 0; i < requests; i++) {
            RouterHarness.Sent sent = send(harness, RequestKind.IDEMPOTENT);
            harness.tick(10);
            harness.reply(lineOf(harness, sent), Reply.of(200));
        }
    }

    private static NotRunReason refusal(RouterHarness.Sent sent) {
        return assertInstanceOf(Outcome.NotRun.class, sent.outcome).reason();
    }

    @Test
    void silentConnectionOfARepeatableRequestIsReplacedLongBeforeTheDeadline() {
        RouterHarness harness = harness(2);
        warmUp(harness, 30);
        RouterHarness.Sent sent = send(harness, RequestKind.IDEMPOTENT);
        RouterHarness.Line silent = lineOf(harness, sent);
        harness.tick(200);
        assertTrue(harness.lines.containsKey(silent.id), "suspected below the floor of 250 ms");
        harness.tick(60);
        harness.connectAll();
        assertTrue(!harness.lines.containsKey(silent.id), "silent connection stays");
        harness.reply(lineOf(harness, sent), Reply.of(200));
        assertInstanceOf(Outcome.Answered.class, sent.outcome);
    }

    @Test
    void silentConnectionOfANonIdempotentRequestWaitsForTheResponseAndIsNotReused() {
        RouterHarness harness = harness(1);
        warmUp(harness, 30);
        RouterHarness.Sent sent = send(harness, RequestKind.NON_IDEMPOTENT);
        RouterHarness.Line silent = lineOf(harness, sent);
        harness.tick(300);
        assertNull(sent.outcome);
        harness.reply(silent, Reply.of(200));
        assertInstanceOf(Outcome.Answered.class, sent.outcome);
        assertTrue(!harness.lines.containsKey(silent.id), "suspected connection is reused");
    }

    @Test
    void failingServerIsEjectedProbedAndUsedAgain() {
        RouterHarness harness = harness(2);
        warmUp(harness, 60);
        BackendId bad = BackendId.of("b0");
        int failures = 0;
        for (int i = 0; i < 200 && ejected(harness).isEmpty(); i++) {
            RouterHarness.Sent sent = send(harness, RequestKind.NON_IDEMPOTENT);
            RouterHarness.Line line = lineOf(harness, sent);
            if (line.backend.equals(bad)) {
                harness.fail(line, true);
                failures++;
            } else {
                harness.tick(10);
                harness.reply(line, Reply.of(200));
            }
        }
        assertEquals(Set.of(bad), ejected(harness));
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
            harness.offer(RequestKind.NON_IDEMPOTENT, false, 2_000);
            harness.connectAll();
            harness.busy().forEach(line -> harness.fail(line, true));
        }
        assertEquals(2, ejected(harness).size());
    }

    @Test
    void nearestServersAreUsedUntilTheyAreFull() {
        // b0 and b1 are in the own data centre, b2 is across the billed link; 2 slots each.
        RouterHarness harness = new RouterHarness(RoutingSettings.defaults(), 3, 2, 64);
        for (int i = 0; i < 4; i++) {
            send(harness, RequestKind.IDEMPOTENT);
        }
        BackendId far = BackendId.of("b2");
        assertTrue(harness.busy().stream().noneMatch(line -> line.backend.equals(far)));
        assertEquals(far, lineOf(harness, send(harness, RequestKind.IDEMPOTENT)).backend);
    }

    @Test
    void unreachableServersRefuseAtOnce() {
        RouterHarness harness = harness(2);
        RouterHarness.Sent sent = harness.offer(RequestKind.IDEMPOTENT, false, 60_000);
        for (int i = 0; i < 50 && sent.outcome == null; i++) {
            harness.connectFailed(harness.lines.values().iterator().next());
        }
        assertEquals(NotRunReason.CONNECT_FAILED, refusal(sent));
    }

    @Test
    void overloadIsRefusedAtOnceWithATimeThatGrowsWithTheQueue() {
        RouterHarness harness = new RouterHarness(RoutingSettings.defaults(), 1, 1, 8);
        warmUp(harness, 20);
        RouterHarness.Sent last = null;
        for (int i = 0; i < 20; i++) {
            last = harness.offer(RequestKind.IDEMPOTENT, false, 100);
        }
        assertEquals(NotRunReason.OVERLOAD, refusal(last));
    }

    @Test
    void requestThatWaitedTooLongIsRefusedInsteadOfForwarded() {
        RouterHarness harness = new RouterHarness(RoutingSettings.defaults(), 1, 1, 8);
        warmUp(harness, 20);
        RouterHarness.Sent first = send(harness, RequestKind.IDEMPOTENT);
        RouterHarness.Sent waiting = harness.offer(RequestKind.IDEMPOTENT, false, 30);
        harness.tick(22);
        assertNull(waiting.outcome);
        harness.reply(lineOf(harness, first), Reply.of(200));
        assertEquals(NotRunReason.OVERLOAD, refusal(waiting));
    }

    @Test
    void oneSlowSampleDoesNotStarveAServer() {
        // Without ageing, an idle server with the higher estimate is never measured again.
        RouterHarness harness = harness(2);
        warmUp(harness, 10);
        RouterHarness.Line slow = lineOf(harness, send(harness, RequestKind.IDEMPOTENT));
        warmUp(harness, 1);
        harness.tick(190);
        harness.reply(slow, Reply.of(200));
        int used = 0;
        for (int i = 0; i < 600; i++) {
            RouterHarness.Line line = lineOf(harness, send(harness, RequestKind.IDEMPOTENT));
            used += line.backend.equals(slow.backend) ? 1 : 0;
            harness.tick(10);
            harness.reply(line, Reply.of(200));
        }
        assertTrue(used >= 100, "used " + used + " times in 600");
    }

    @Test
    void refusingServerIsLeftAloneForAWhile() {
        RouterHarness harness = harness(2);
        warmUp(harness, 30);
        RouterHarness.Line refusing = lineOf(harness, send(harness, RequestKind.NON_IDEMPOTENT));
        harness.reply(refusing, Reply.notRun(50));
        for (int i = 0; i < 4; i++) {
            BackendId used = lineOf(harness, send(harness, RequestKind.IDEMPOTENT)).backend;
            assertTrue(!used.equals(refusing.backend), "used during its retry-after time");
        }
    }

    @Test
    void rateLimitOfTheCustomerIsDividedAmongTheEntryHosts() {
        RouterHarness harness = harness(2);
        harness.hosts(new EntryHosts(4, 1));
        harness.router.updateCustomers(
                harness.now,
                List.of(new CustomerInfo(RouterHarness.CUSTOMER, 1, 1000, 40, Set.of())));
        for (int i = 0; i < 10; i++) {
            assertNull(harness.offer(RequestKind.IDEMPOTENT, false, 2_000).outcome);
        }
        RouterHarness.Sent refused = harness.offer(RequestKind.IDEMPOTENT, false, 2_000);
        assertEquals(new Outcome.NotRun(NotRunReason.CUSTOMER_RATE, 100), refused.outcome);
        harness.tick(100);
        assertNull(harness.offer(RequestKind.IDEMPOTENT, false, 2_000).outcome);
    }

    @Test
    void slotsAndConnectionsOfAllEntryHostsAddUpToThoseOfTheServer() {
        for (int count = 1; count <= 12; count++) {
            int sum = 0;
            for (int index = 0; index < count; index++) {
                sum += new EntryHosts(count, index).partOf(8, 12345);
            }
            assertEquals(8, sum, count + " hosts");
        }
    }

    @Test
    void watchesLeaveConnectionsForRequests() {
        RouterHarness harness = new RouterHarness(RoutingSettings.defaults(), 1, 2, 8);
        for (int i = 0; i < 10; i++) {
            harness.offer(RequestKind.WATCH, false, 20_000);
            harness.connectAll();
        }
        assertEquals(4, harness.busy().size());
        assertEquals(1, lineOf(harness, send(harness, RequestKind.IDEMPOTENT)).sent.attempt);
    }

    @Test
    void claimOfARequestThatDidNotRunIsReleasedAndOthersAreKept() {
        RouterHarness harness = harness(1);
        for (ClaimResult result : List.of(ClaimResult.UNSETTLED, ClaimResult.CLAIMED)) {
            RouterHarness.Sent refused = harness.offer(RequestKind.NON_IDEMPOTENT, true, 50);
            harness.claim(refused, result);
            harness.tick(50);
            assertInstanceOf(Outcome.NotRun.class, refused.outcome);
        }
        RouterHarness.Sent done = harness.offer(RequestKind.NON_IDEMPOTENT, true, 50);
        harness.claim(done, ClaimResult.DONE);
        assertEquals(new Outcome.Answered(true), done.outcome);
        RouterHarness.Sent running = harness.offer(RequestKind.NON_IDEMPOTENT, true, 50);
        harness.claim(running, ClaimResult.IN_PROGRESS);
        assertEquals(new Outcome.Unknown(UnknownReason.KEY_IN_PROGRESS), running.outcome);
        RouterHarness.Sent down = harness.offer(RequestKind.NON_IDEMPOTENT, true, 50);
        harness.claim(down, ClaimResult.STORE_UNAVAILABLE);
        assertEquals(NotRunReason.STORE_UNAVAILABLE, refusal(down));
        assertEquals(List.of("r0", "r1"), harness.released);
    }
}
