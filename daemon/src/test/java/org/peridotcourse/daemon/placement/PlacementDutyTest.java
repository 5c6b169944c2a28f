package org.peridotcourse.daemon.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.peridotcourse.daemon.control.FakeTable;

/** Runs complete placement duties against a table in memory and a worker on loopback. */
class PlacementDutyTest {
    private final PlacementFixture fixture = new PlacementFixture();

    PlacementDutyTest() throws IOException {}

    @AfterEach
    void close() throws IOException {
        fixture.close();
    }

    private PlacementFixture.DaemonNode startReachableNode(String name) {
        PlacementFixture.DaemonNode node = fixture.new DaemonNode(name);
        fixture.await("a reachable worker", () -> node.duty.status().usable() == 1);
        return node;
    }

    private void finishJob(String job) {
        fixture.worker.finishesTasks = true;
        fixture.await(job + " ends", () -> fixture.state(job).equals("finished"));
    }

    /** Guards against a job that is not placed, run and finished from its row alone. */
    @Test
    void jobRunsToCompletion() {
        startReachableNode("d1");
        fixture.submit("c/j", 3);
        fixture.await("three starts", () -> fixture.worker.startCounts().size() == 3);
        finishJob("c/j");
        assertEquals(Map.of("c/j/0", 1, "c/j/1", 1, "c/j/2", 1), fixture.worker.startCounts());
    }

    /**
     * Guards against a worker that stays unused after it was unreachable for a time, or whose tasks
     * start twice.
     */
    @Test
    void reusesWorkerAfterItWasUnreachable() {
        PlacementFixture.DaemonNode node = startReachableNode("d1");
        fixture.submit("c/j", 1);
        fixture.await("a start", () -> fixture.worker.startCounts().size() == 1);
        fixture.worker.dropsCalls = true;
        node.advanceClock(5_000);
        fixture.await("an unreachable worker", () -> node.duty.status().usable() == 0);
        fixture.worker.dropsCalls = false;
        fixture.await("a reachable worker", () -> node.duty.status().usable() == 1);
        finishJob("c/j");
        assertEquals(Map.of("c/j/0", 1), fixture.worker.startCounts());
    }

    /** Guards against a task that starts twice or never after the answer to a write was lost. */
    @Test
    void resolvesWriteWhoseAnswerWasLost() {
        startReachableNode("d1");
        fixture.table.faultTable = "tasks";
        for (int i = 0; i < 3; i++) {
            fixture.table.writeFaults.add(FakeTable.Fault.LOSE_RESPONSE);
        }
        fixture.submit("c/j", 1);
        fixture.await("a start", () -> fixture.worker.startCounts().size() == 1);
        finishJob("c/j");
        assertTrue(fixture.table.writeFaults.isEmpty());
        assertEquals(Map.of("c/j/0", 1), fixture.worker.startCounts());
    }

    /**
     * Guards against starts without a lease, and against task leases that expire without renewal.
     */
    @Test
    void renewsButStartsNothingWhileTableServiceIsUnavailable() {
        PlacementFixture.DaemonNode node = startReachableNode("d1");
        fixture.submit("c/j", 1);
        fixture.await("a start", () -> fixture.worker.startCounts().size() == 1);
        fixture.table.unavailable = true;
        node.advanceClock(10_000);
        fixture.submit("c/late", 1);
        int renewalsBefore = fixture.worker.renewalCount();
        fixture.await("a renewal", () -> fixture.worker.renewalCount() > renewalsBefore);
        assertEquals(0, node.duty.status().epoch());
        assertEquals(1, fixture.worker.startCounts().size());
        fixture.table.unavailable = false;
        fixture.await("a late start", () -> fixture.worker.startCounts().size() == 2);
        finishJob("c/j");
        finishJob("c/late");
        assertEquals(Map.of("c/j/0", 1, "c/late/0", 1), fixture.worker.startCounts());
    }

    /** Guards against a successor that waits for the expiry of a lease that was released. */
    @Test
    void successorTakesLeaseAtOnceAfterCleanClose() {
        PlacementFixture.DaemonNode first = startReachableNode("d1");
        PlacementFixture.DaemonNode second = fixture.new DaemonNode("d2");
        fixture.submit("c/j", 1);
        fixture.await("a start", () -> fixture.worker.startCounts().size() == 1);
        first.duty.close();
        long closedMillis = second.now();
        fixture.await("a successor", () -> second.duty.status().epoch() == 2);
        assertTrue(
                second.now() - closedMillis < 5_000,
                "the successor waited for the expiry of the released lease");
        finishJob("c/j");
        assertEquals(Map.of("c/j/0", 1), fixture.worker.startCounts());
    }

    /**
     * Guards against an owner that was paused past its lease and still controls workers that
     * already follow its successor.
     */
    @Test
    void lateCommandsOfPausedOwnerAreRefused() {
        PlacementFixture.DaemonNode first = startReachableNode("d1");
        PlacementFixture.DaemonNode second = fixture.new DaemonNode("d2");
        fixture.submit("c/j", 1);
        fixture.await("a start", () -> fixture.worker.startCounts().size() == 1);
        first.freezeClock();
        first.tableUnreachable = true;
        fixture.runFor(500);
        second.advanceClock(11_000);
        fixture.await("a successor at the worker", () -> fixture.worker.epoch() == 2);
        first.resumeClock(4_000);
        fixture.await("a refusal", () -> fixture.worker.staleRequests() > 0);
        fixture.await("the paused owner to lose its lease", () -> first.duty.status().epoch() == 0);
        fixture.submit("c/new", 1);
        fixture.await("a start by the successor", () -> fixture.worker.startCounts().size() == 2);
        finishJob("c/new");
        finishJob("c/j");
        assertEquals(Map.of("c/j/0", 1, "c/new/0", 1), fixture.worker.startCounts());
    }

    /** Guards against starts after an operator sets {@code out}, before the edit is accepted. */
    @Test
    void startsNothingOnceTheDataCentreRowIsOut() {
        startReachableNode("d1");
        fixture.table.put("datacentres", "a", "{'region':'r','state':'out'}");
        fixture.runFor(4_000);
        fixture.submit("c/j", 1);
        fixture.runFor(2_000);
        assertEquals(Map.of(), fixture.worker.startCounts());
        fixture.table.put("datacentres", "a", "{'region':'r','state':'in'}");
        fixture.await("a start", () -> fixture.worker.startCounts().size() == 1);
    }

    /** Guards against an exception that ends a thread, whether the lease is then kept or lost. */
    @Test
    void survivesUnexpectedFailures() {
        PlacementFixture.DaemonNode node = startReachableNode("d1");
        node.failuresLeft.set(20);
        fixture.await("all failures", () -> node.failuresLeft.get() == 0);
        fixture.submit("c/j", 1);
        fixture.await("a start", () -> fixture.worker.startCounts().size() == 1);
        finishJob("c/j");
        assertEquals(1, node.duty.status().epoch());
    }
}
