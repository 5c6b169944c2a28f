package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
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

    private static List<String> mixedJobs(DispatchSimulation world) {
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            ids.add(
                    world.submit(
                            QUEUE,
                            step(3, 400 + 100 * i).checkpointing(i % 2 == 0).build(),
                            step(2, 300).predecessors(List.of(0)).build()));
        }
        return ids;
    }

    @Property(tries = 30, seed = "8341")
    void takeoversLoseAndRepeatNoWork(@ForAll @LongRange(min = 1, max = 100_000) long seed) {
        DispatchSimulation world = new DispatchSimulation(seed, 4, CAPACITY);
        List<String> ids = mixedJobs(world);
        for (int i = 0; i < 3; i++) {
            world.run(100 + world.random.nextInt(900));
            world.takeOver(world.now);
        }
        String[] all = ids.toArray(String[]::new);
        world.runUntilEnded(30_000, all);
        world.assertCompleted(all);
    }

    @Property(tries = 30, seed = "977")
    void ordersThatAreCarriedOutLateCauseNoDuplicateRuns(
            @ForAll @LongRange(min = 1, max = 100_000) long seed) {
        DispatchSimulation world = new DispatchSimulation(seed, 4, CAPACITY);
        world.lateOrderShare = 0.3;
        List<String> ids = mixedJobs(world);
        world.run(6_000);
        world.lateOrderShare = 0;
        String[] all = ids.toArray(String[]::new);
        world.runUntilEnded(60_000, all);
        world.assertCompleted(all);
        world.run(15_000);
    }

    /** A run was repeated after the reply to its start was lost. Reported by operators. */
    @Test
    void aStartThatWasCarriedOutWithoutAReplyIsNotRepeated() {
        DispatchSimulation world = new DispatchSimulation(5, 3, CAPACITY);
        world.unansweredOrderShare = 1;
        world.waitMillis = 1_000;
        String job = world.submit(QUEUE, step(6, 3_000).build());
        world.runUntilEnded(6_000, job);
        world.assertCompleted(job);
        assertEquals(6, world.startCount());
    }

    @Test
    void tasksOfAnUnreachableWorkerWaitUntilItsLeaseExpires() {
        DispatchSimulation world = new DispatchSimulation(5, 2, CAPACITY);
        world.workers.values().forEach(runner -> runner.clockRate = 0.98);
        String job = world.submit(QUEUE, step(12, 4_000).build());
        world.run(1_000);
        world.unreachableWorkers.add("w0");
        world.runUntilEnded(40_000, job);
        world.assertCompleted(job);
        assertTrue(world.count(Decision.Kind.WORKER_LEASES_OVER) > 0);
        world.unreachableWorkers.clear();
        world.run(3_000);
    }

    @Test
    void runsOfARestartedWorkerAreRepeatedWithoutWaitingForItsLease() {
        DispatchSimulation world = new DispatchSimulation(5, 2, CAPACITY);
        String job = world.submit(QUEUE, step(12, 2_000).build());
        world.run(500);
        world.workers.get("w0").restart(world.now);
        world.runUntilEnded(6_000, job);
        world.assertCompleted(job);
        assertEquals(1, world.count(Decision.Kind.WORKER_REBORN));
    }

    /**
     * A lease call that was meant for the incarnation before a restart extended the lease of the
     * new one, whose runs then outlasted the wait for the lease and ran beside their repetition.
     * Found by seed 1476 of {@link WaitBoundTest}.
     */
    @Test
    void aLeaseCallForAnEarlierIncarnationCausesNoDuplicateRuns() {
        DispatchSimulation world = new DispatchSimulation(5, 2, CAPACITY);
        world.submit(QUEUE, step(8, 0).lasting(true).build());
        world.run(6_000);
        FakeWorker restarted = world.workers.get("w0");
        restarted.restart(world.now);
        while (restarted.active.isEmpty()) {
            world.run(10);
        }
        world.unreachableWorkers.add("w0");
        world.run(10_000);
    }

    @Test
    void aLateStartThatReachesTheNextIncarnationCausesNoDuplicateRun() {
        DispatchSimulation world = new DispatchSimulation(3, 2, CAPACITY);
        world.lateOrderShare = 1;
        String job = world.submit(QUEUE, step(6, 1_000).build());
        world.run(200);
        world.lateOrderShare = 0;
        world.workers.get("w0").restart(world.now);
        world.workers.get("w1").restart(world.now);
        world.runUntilEnded(40_000, job);
        world.assertCompleted(job);
        world.run(15_000);
    }

    @Test
    void aNewOwnerWaitsForASilentWorkerBeforeItRepeatsInheritedWork() {
        DispatchSimulation world = new DispatchSimulation(9, 2, CAPACITY);
        String job = world.submit(QUEUE, step(12, 3_000).build());
        world.run(500);
        world.unreachableWorkers.add("w0");
        world.takeOver(world.now + 2_000);
        world.run(1_000);
        String later = world.submit(QUEUE, step(1, 200).build());
        world.runUntilEnded(4_000, later);
        world.assertCompleted(later);
        world.runUntilEnded(40_000, job);
        world.assertCompleted(job);
    }

    /**
     * The successor waited 18 s for a silent worker although the earlier owner had ended. Found by
     * fault search mix, seed 324050052448, rule LOST.
     */
    @Test
    void onceEarlierOwnersHaveEndedASilentWorkerIsWaitedForOneLeaseAtMost() {
        DispatchSimulation world = new DispatchSimulation(9, 2, CAPACITY);
        String job = world.submit(QUEUE, step(2, 0).lasting(true).build());
        world.run(500);
        world.workers.get("w0").crash();
        world.takeOver(world.now + 12_000);
        world.run(300);
        world.owner.onEarlierOwnersEnded(world.now);
        world.run(5_800);
        assertEquals(2, world.workers.get("w1").active.size(), job);
    }

    @Test
    void workContinuesDuringAStoreOutageAndSurvivesATakeover() {
        DispatchSimulation world = new DispatchSimulation(2, 4, CAPACITY);
        List<String> ids = mixedJobs(world);
        world.run(200);
        world.storeDown = true;
        world.run(2_500);
        assertTrue(world.startCount() > 12, "starts " + world.startCount());
        world.takeOver(world.now);
        world.storeDown = false;
        String[] all = ids.toArray(String[]::new);
        world.runUntilEnded(30_000, all);
        world.assertCompleted(all);
    }

    @Test
    void aWorkerThatFailsAllRunsDoesNotExhaustTheAttemptsOfJobs() {
        DispatchSimulation world = new DispatchSimulation(4, 6, CAPACITY);
        world.workers.get("w2").failAfterMillis = 20;
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            ids.add(world.submit(DispatchSimulation.queue("q", 1, 2), step(2, 300).build()));
            world.run(150);
        }
        String[] all = ids.toArray(String[]::new);
        world.runUntilEnded(20_000, all);
        world.assertCompleted(all);
        int wasted = world.workers.get("w2").startLog.size();
        assertTrue(wasted <= 6, "starts on the failing worker: " + wasted);
    }

    @Test
    void stalledTasksAreMovedToOtherWorkers() {
        DispatchSimulation world = new DispatchSimulation(6, 4, CAPACITY);
        world.workers.get("w1").runsStall = true;
        String job = world.submit(QUEUE, step(12, 800).build());
        world.runUntilEnded(8_000, job);
        world.assertCompleted(job);
    }

    /**
     * A speculative task that was done got another copy, since a copy of it was on an unreachable
     * worker. Found by fault searches trouble-2, seed 1088273369031, and hunt-4149-39, rule TWICE.
     */
    @Test
    void aDoneTaskGetsNoFurtherCopyWhileACopyIsOnAnUnreachableWorker() {
        DispatchSimulation world = new DispatchSimulation(3, 3, CAPACITY);
        world.workers.get("w0").slowdown = 20;
        String job =
                world.submit(QUEUE, step(3, 500).speculative(true).build(), step(1, 8_000).build());
        world.run(1_600);
        world.unreachableWorkers.add("w0");
        world.run(1_500);
        int starts = world.startCount();
        world.run(3_000);
        assertEquals(starts, world.startCount());
        world.runUntilEnded(10_000, job);
        world.assertCompleted(job);
    }

    @Test
    void anOwnerThatIsDeposedSendsNoOrders() {
        DispatchSimulation world = new DispatchSimulation(1, 2, CAPACITY);
        DispatchOwner old = world.owner;
        world.run(500);
        world.takeOver(world.now);
        world.run(500);
        String worker = world.workers.keySet().iterator().next();
        old.onLeaseCallFailed(worker, OrderReply.STALE_EPOCH, world.now);
        assertTrue(old.isDeposed());
        assertTrue(old.decide(world.now).isEmpty());
    }
}
