package org.peridotcourse.daemon.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.peridotcourse.daemon.control.FakeTable;

/** Drives whole duties against a table in memory and a worker on loopback. */
class PlacementDutyTest {
    private final PlacementFixture world = new PlacementFixture();

    PlacementDutyTest() throws IOException {}

    @AfterEach
    void close() throws IOException {
        world.close();
    }

    private PlacementFixture.Node ready(String name) {
        PlacementFixture.Node node = world.new Node(name);
        world.await("a reachable worker", () -> node.duty.status().reachable() == 1);
        return node;
    }

    private void finished(String job) {
        world.worker.finishes = true;
        world.await(job + " ends", () -> world.state(job).equals("finished"));
    }

    /** Guards against a broken way from the job row over the worker to the end of the job. */
    @Test
    void runsJobToItsEnd() {
        ready("d1");
        world.submit("c/j", 3);
        world.await("three starts", () -> world.worker.starts().size() == 3);
        finished("c/j");
        assertEquals(Map.of("c/j/0", 1, "c/j/1", 1, "c/j/2", 1), world.worker.starts());
    }

    /** Guards against a worker that is given up for ever, or whose tasks start twice. */
    @Test
    void usesWorkerAgainThatWasSilent() {
        PlacementFixture.Node node = ready("d1");
        world.submit("c/j", 1);
        world.await("a start", () -> world.worker.starts().size() == 1);
        world.worker.silent = true;
        node.jump(5_000);
        world.await("an unreachable worker", () -> node.duty.status().reachable() == 0);
        world.worker.silent = false;
        world.await("a reachable worker", () -> node.duty.status().reachable() == 1);
        finished("c/j");
        assertEquals(Map.of("c/j/0", 1), world.worker.starts());
    }

    /** Guards against a second start, or none, after the answer of a row's write was lost. */
    @Test
    void settlesWriteWhoseAnswerWasLost() {
        ready("d1");
        world.table.faultTable = "tasks";
        for (int i = 0; i < 3; i++) {
            world.table.writeFaults.add(FakeTable.Fault.LOSE_RESPONSE);
        }
        world.submit("c/j", 1);
        world.await("a start", () -> world.worker.starts().size() == 1);
        finished("c/j");
        assertTrue(world.table.writeFaults.isEmpty());
        assertEquals(Map.of("c/j/0", 1), world.worker.starts());
    }

    /** Guards against starts without a lease, and against leases of tasks that lapse meanwhile. */
    @Test
    void renewsButStartsNothingWhileTheStoreIsAway() {
        PlacementFixture.Node node = ready("d1");
        world.submit("c/j", 1);
        world.await("a start", () -> world.worker.starts().size() == 1);
        world.table.unavailable = true;
        node.jump(10_000);
        world.submit("c/late", 1);
        int before = world.worker.renewals();
        world.await("a renewal", () -> world.worker.renewals() > before);
        assertEquals(0, node.duty.status().epoch());
        assertEquals(1, world.worker.starts().size());
        world.table.unavailable = false;
        world.await("a late start", () -> world.worker.starts().size() == 2);
        finished("c/j");
        finished("c/late");
        assertEquals(Map.of("c/j/0", 1, "c/late/0", 1), world.worker.starts());
    }

    /** Guards against a successor that waits although the lease was given back. */
    @Test
    void successorTakesOverAtOnceAfterCleanClose() {
        PlacementFixture.Node first = ready("d1");
        PlacementFixture.Node second = world.new Node("d2");
        world.submit("c/j", 1);
        world.await("a start", () -> world.worker.starts().size() == 1);
        first.duty.close();
        long closed = second.now();
        world.await("a successor", () -> second.duty.status().epoch() == 2);
        assertTrue(second.now() - closed < 5_000, "the lease was waited for");
        finished("c/j");
        assertEquals(Map.of("c/j/0", 1), world.worker.starts());
    }

    /** Guards against an owner that goes on after its successor has reached the workers. */
    @Test
    void lateCommandsOfFrozenOwnerAreRefused() {
        PlacementFixture.Node first = ready("d1");
        PlacementFixture.Node second = world.new Node("d2");
        world.submit("c/j", 1);
        world.await("a start", () -> world.worker.starts().size() == 1);
        first.freeze();
        first.cut = true;
        world.pass(500);
        second.jump(11_000);
        world.await("a successor at the worker", () -> world.worker.epoch() == 2);
        first.thaw(4_000);
        world.await("a refusal", () -> world.worker.stale() > 0);
        world.await("an owner that stands down", () -> first.duty.status().epoch() == 0);
        world.submit("c/new", 1);
        world.await("a start by the successor", () -> world.worker.starts().size() == 2);
        finished("c/new");
        finished("c/j");
        assertEquals(Map.of("c/j/0", 1, "c/new/0", 1), world.worker.starts());
    }

    /** Guards against starts between an operator's edit and its acceptance. */
    @Test
    void startsNothingOnceTheOwnRowSaysOut() {
        ready("d1");
        world.table.put("datacentres", "a", "{'region':'r','state':'out'}");
        world.pass(4_000);
        world.submit("c/j", 1);
        world.pass(2_000);
        assertEquals(Map.of(), world.worker.starts());
        world.table.put("datacentres", "a", "{'region':'r','state':'in'}");
        world.await("a start", () -> world.worker.starts().size() == 1);
    }

    /** Guards against a thread that ends silently and keeps the lease or loses it. */
    @Test
    void survivesUnexpectedFailures() {
        PlacementFixture.Node node = ready("d1");
        node.broken.set(20);
        world.await("all failures", () -> node.broken.get() == 0);
        world.submit("c/j", 1);
        world.await("a start", () -> world.worker.starts().size() == 1);
        finished("c/j");
        assertEquals(1, node.duty.status().epoch());
    }
}
