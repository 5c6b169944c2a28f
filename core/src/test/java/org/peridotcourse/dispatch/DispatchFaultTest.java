package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.peridotcourse.Resources;

/**
 * Guards against work that runs twice or is lost when owners, workers, replies or the store fail.
 * {@link DispatchSimulation} checks the invariants after each tick.
 */
class DispatchFaultTest {
    private static final Resources CAPACITY = Resources.of(8_000, 64_000);
    private static final QueueRules QUEUE = DispatchSimulation.queue("q", 1, 3);

    private static StepSpec.Builder step(int count, long millis) {
        return DispatchOwnerTest.step(count, 1_000, millis);
    }

    private static List<String> mixedJobs(DispatchSimulation simulation) {
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            ids.add(
                    simulation.submit(
                            QUEUE,
                            step(3, 400 + 100 * i).checkpointing(i % 2 == 0).build(),
                            step(2, 300).predecessors(List.of(0)).build()));
        }
        return ids;
    }

    @Property(tries = 30, seed = "8341")
    void takeoversLoseAndRepeatNoWork(@ForAll @LongRange(min = 1, max = 100_000) long seed) {
        DispatchSimulation simulation = new DispatchSimulation(seed, 4, CAPACITY);
        List<String> ids = mixedJobs(simulation);
        for (int i = 0; i < 3; i++) {
            simulation.run(100 + simulation.random.nextInt(900));
            simulation.takeOver(simulation.now);
        }
        String[] all = ids.toArray(String[]::new);
        simulation.runUntilEnded(30_000, all);
        simulation.assertCompleted(all);
    }

    @Property(tries = 30, seed = "977")
    void ordersThatAreCarriedOutLateCauseNoDuplicateRuns(
            @ForAll @LongRange(min = 1, max = 100_000) long seed) {
        DispatchSimulation simulation = new DispatchSimulation(seed, 4, CAPACITY);
        simulation.lateOrderShare = 0.3;
        List<String> ids = mixedJobs(simulation);
        simulation.run(6_000);
        simulation.lateOrderShare = 0;
        String[] all = ids.toArray(String[]::new);
        simulation.runUntilEnded(60_000, all);
        simulation.assertCompleted(all);
        simulation.run(15_000);
    }

    /** A run was repeated after the reply to its start was lost. Reported by operators. */
    @Test
    void aStartThatWasCarriedOutWithoutAReplyIsNotRepeated() {
        DispatchSimulation simulation = new DispatchSimulation(5, 3, CAPACITY);
        simulation.unansweredOrderShare = 1;
        simulation.waitMillis = 1_000;
        String job = simulation.submit(QUEUE, step(6, 3_000).build());
        simulation.runUntilEnded(6_000, job);
        simulation.assertCompleted(job);
        assertEquals(6, simulation.startCount());
    }

    @Test
    void tasksOfAnUnreachableWorkerWaitUntilItsLeaseExpires() {
        DispatchSimulation simulation = new DispatchSimulation(5, 2, CAPACITY);
        simulation.workers.values().forEach(worker -> worker.clockRate = 0.98);
        String job = simulation.submit(QUEUE, step(12, 4_000).build());
        simulation.run(1_000);
        simulation.unreachableWorkers.add("w0");
        simulation.runUntilEnded(40_000, job);
        simulation.assertCompleted(job);
        assertTrue(simulation.count(Decision.Kind.WORKER_LEASES_OVER) > 0);
        simulation.unreachableWorkers.clear();
        simulation.run(3_000);
    }

    @Test
    void runsOfARestartedWorkerAreRepeatedWithoutWaitingForItsLease() {
        DispatchSimulation simulation = new DispatchSimulation(5, 2, CAPACITY);
        String job = simulation.submit(QUEUE, step(12, 2_000).build());
        simulation.run(500);
        simulation.workers.get("w0").restart(simulation.now);
        simulation.runUntilEnded(6_000, job);
        simulation.assertCompleted(job);
        assertEquals(1, simulation.count(Decision.Kind.WORKER_REBORN));
    }

    /**
     * A lease call that was computed for the incarnation before a restart extended the lease of the
     * new one. Its runs then outlasted the wait for the lease, and their tasks ran twice at a time.
     * Found by seed 1476 of {@link WaitBoundTest}.
     */
    @Test
    void aLeaseCallForAnEarlierIncarnationCausesNoDuplicateRuns() {
        DispatchSimulation simulation = new DispatchSimulation(5, 2, CAPACITY);
        simulation.submit(QUEUE, step(8, 0).lasting(true).build());
        simulation.run(6_000);
        FakeWorker restarted = simulation.workers.get("w0");
        restarted.restart(simulation.now);
        while (restarted.active.isEmpty()) {
            simulation.run(10);
        }
        simulation.unreachableWorkers.add("w0");
        simulation.run(10_000);
    }

    /**
     * A lease call for the incarnation before, carried out seconds after the first report of the
     * new one, gave it the longest lease, which the owner counted from that report only.
     */
    @Test
    void aLeaseCallForAnEarlierIncarnationThatIsCarriedOutLateCausesNoDuplicateRuns() {
        DispatchSimulation simulation = new DispatchSimulation(5, 2, CAPACITY);
        simulation.submit(QUEUE, step(8, 0).lasting(true).build());
        simulation.run(10_000);
        FakeWorker restarted = simulation.workers.get("w0");
        LeaseCall late = simulation.owner.leaseCall("w0", 0, simulation.now).orElseThrow();
        restarted.restart(simulation.now);
        simulation.run(3_000);
        assertFalse(restarted.active.isEmpty());
        restarted.onLeaseCall(late, simulation.now);
        simulation.run(simulation.waitMillis + 50);
        simulation.unreachableWorkers.add("w0");
        simulation.run(10_000);
    }

    @Test
    void aLateStartThatReachesTheNextIncarnationCausesNoDuplicateRun() {
        DispatchSimulation simulation = new DispatchSimulation(3, 2, CAPACITY);
        simulation.lateOrderShare = 1;
        String job = simulation.submit(QUEUE, step(6, 1_000).build());
        simulation.run(200);
        simulation.lateOrderShare = 0;
        simulation.workers.get("w0").restart(simulation.now);
        simulation.workers.get("w1").restart(simulation.now);
        simulation.runUntilEnded(40_000, job);
        simulation.assertCompleted(job);
        simulation.run(15_000);
    }

    @Test
    void aNewOwnerWaitsForASilentWorkerBeforeItRepeatsInheritedWork() {
        DispatchSimulation simulation = new DispatchSimulation(9, 2, CAPACITY);
        String job = simulation.submit(QUEUE, step(12, 3_000).build());
        simulation.run(500);
        simulation.unreachableWorkers.add("w0");
        simulation.takeOver(simulation.now + 2_000);
        simulation.run(1_000);
        String later = simulation.submit(QUEUE, step(1, 200).build());
        simulation.runUntilEnded(4_000, later);
        simulation.assertCompleted(later);
        simulation.runUntilEnded(40_000, job);
        simulation.assertCompleted(job);
    }

    /**
     * The successor waited 18 s for a silent worker although the earlier owner had ended. Found by
     * fault search mix, seed 324050052448, rule LOST.
     */
    @Test
    void onceEarlierOwnersHaveEndedASilentWorkerIsWaitedForOneLeaseAtMost() {
        DispatchSimulation simulation = new DispatchSimulation(9, 2, CAPACITY);
        String job = simulation.submit(QUEUE, step(2, 0).lasting(true).build());
        simulation.run(500);
        simulation.workers.get("w0").crash();
        simulation.takeOver(simulation.now + 12_000);
        simulation.run(300);
        simulation.owner.onEarlierOwnersEnded(simulation.now);
        simulation.run(5_800);
        assertEquals(2, simulation.workers.get("w1").active.size(), job);
    }

    @Test
    void workContinuesDuringAStoreOutageAndSurvivesATakeover() {
        DispatchSimulation simulation = new DispatchSimulation(2, 4, CAPACITY);
        List<String> ids = mixedJobs(simulation);
        simulation.run(200);
        simulation.storeDown = true;
        simulation.run(2_500);
        assertTrue(simulation.startCount() > 12, "starts " + simulation.startCount());
        simulation.takeOver(simulation.now);
        simulation.storeDown = false;
        String[] all = ids.toArray(String[]::new);
        simulation.runUntilEnded(30_000, all);
        simulation.assertCompleted(all);
    }

    @Test
    void aWorkerThatFailsAllRunsDoesNotExhaustTheAttemptsOfJobs() {
        DispatchSimulation simulation = new DispatchSimulation(4, 6, CAPACITY);
        simulation.workers.get("w2").failAfterMillis = 20;
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            ids.add(simulation.submit(DispatchSimulation.queue("q", 1, 2), step(2, 300).build()));
            simulation.run(150);
        }
        String[] all = ids.toArray(String[]::new);
        simulation.runUntilEnded(20_000, all);
        simulation.assertCompleted(all);
        int wasted = simulation.workers.get("w2").startLog.size();
        assertTrue(wasted <= 6, "starts on the failing worker: " + wasted);
    }

    @Test
    void stalledTasksAreMovedToOtherWorkers() {
        DispatchSimulation simulation = new DispatchSimulation(6, 4, CAPACITY);
        simulation.workers.get("w1").runsStall = true;
        String job = simulation.submit(QUEUE, step(12, 800).build());
        simulation.runUntilEnded(8_000, job);
        simulation.assertCompleted(job);
    }

    /**
     * A speculative task that was already done got another copy, because one of its copies was on
     * an unreachable worker. Found by fault searches trouble-2, seed 1088273369031, and
     * hunt-4149-39, rule TWICE.
     */
    @Test
    void aDoneTaskGetsNoFurtherCopyWhileACopyIsOnAnUnreachableWorker() {
        DispatchSimulation simulation = new DispatchSimulation(3, 3, CAPACITY);
        simulation.workers.get("w0").slowdown = 20;
        String job =
                simulation.submit(
                        QUEUE, step(3, 500).speculative(true).build(), step(1, 8_000).build());
        simulation.run(1_600);
        simulation.unreachableWorkers.add("w0");
        simulation.run(1_500);
        int starts = simulation.startCount();
        simulation.run(3_000);
        assertEquals(starts, simulation.startCount());
        simulation.runUntilEnded(10_000, job);
        simulation.assertCompleted(job);
    }

    @Test
    void anOwnerThatIsDeposedSendsNoOrders() {
        DispatchSimulation simulation = new DispatchSimulation(1, 2, CAPACITY);
        DispatchOwner old = simulation.owner;
        simulation.run(500);
        simulation.takeOver(simulation.now);
        simulation.run(500);
        String worker = simulation.workers.keySet().iterator().next();
        old.onLeaseCallFailed(worker, OrderReply.STALE_EPOCH, simulation.now);
        assertTrue(old.isDeposed());
        assertTrue(old.decide(simulation.now).isEmpty());
    }
}
