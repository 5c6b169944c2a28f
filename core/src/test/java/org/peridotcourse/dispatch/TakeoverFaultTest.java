package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.peridotcourse.Resources;

/**
 * Guards against a successor that relies on the report of one worker although there are effects
 * that the report does not show, of an earlier owner or of a call to an earlier incarnation of the
 * worker.
 */
class TakeoverFaultTest {
    private static final Resources CAPACITY = Resources.of(8_000, 64_000);
    private static final QueueRules QUEUE = DispatchSimulation.queue("q", 1, 3);

    /** A job without runs for this long counts as lost. */
    private static final long MAX_REPEAT_MILLIS = 3_000;

    private static StepSpec.Builder step(int count, long millis) {
        return DispatchOwnerTest.step(count, 1_000, millis);
    }

    /**
     * A call of the earlier owner that was computed for an earlier incarnation granted the new one
     * the longest lease, so that its runs outlasted the wait for the lease.
     */
    @Test
    void aLeaseCallOfTheEarlierOwnerForAnEarlierIncarnationCausesNoDuplicateRuns() {
        DispatchSimulation simulation = new DispatchSimulation(5, 2, CAPACITY);
        simulation.submit(QUEUE, step(8, 0).lasting(true).build());
        simulation.run(6_000);
        FakeWorker restarted = simulation.workers.get("w0");
        restarted.restart(simulation.now);
        simulation.run(10);
        simulation.takeOver(simulation.now);
        while (restarted.active.isEmpty()) {
            simulation.run(10);
        }
        simulation.unreachableWorkers.add("w0");
        simulation.run(10_000);
    }

    /**
     * The earlier owner had counted the failure and not stored it, so that the successor started
     * the task once more than its queue allows.
     */
    @Test
    void anAdoptedTaskStaysWithinMaxAttemptsWhileASilentWorkerHoldsAFailure() {
        DispatchSimulation simulation = new DispatchSimulation(3, 4, CAPACITY);
        QueueRules twoAttempts = DispatchSimulation.queue("q", 1, 2);
        simulation.setQueues(twoAttempts);
        simulation.run(500);
        simulation.storeDown = true;
        String job = simulation.submit(twoAttempts, step(1, 6_000).build());
        simulation.run(500);
        FakeWorker first = workerOf(simulation, job);
        first.failAfterMillis = 20;
        while (simulation.startCount() < 2) {
            simulation.run(10);
        }
        simulation.run(50);
        FakeWorker second = workerOf(simulation, job);
        assertNotSame(first, second);
        simulation.unreachableWorkers.add(first.id);
        simulation.takeOver(simulation.now + 8_000);
        simulation.storeDown = false;
        simulation.run(500);
        second.failAfterMillis = 20;
        simulation.run(1_000);
        simulation.unreachableWorkers.remove(first.id);
        simulation.run(3_000);
        assertTrue(
                simulation.startCount() <= 2,
                "starts " + simulation.startCount() + " of 2 attempts");
    }

    private static FakeWorker workerOf(DispatchSimulation simulation, String job) {
        return simulation.workers.values().stream()
                .filter(
                        worker ->
                                worker.active.keySet().stream()
                                        .anyMatch(key -> key.task().job().equals(job)))
                .findFirst()
                .orElseThrow();
    }

    /**
     * Orders that left a queue of the earlier owner, or the network, after the takeover would start
     * tasks twice if their epoch and the absolute end of their lease did not bind them. One worker
     * is cut off from the successor for a while, so that it has not seen the new epoch.
     */
    @Test
    void ordersOfAnEarlierOwnerThatAreCarriedOutAfterTheTakeoverCauseNoDuplicateRuns() {
        for (long seed = 1; seed <= 60; seed++) {
            DispatchSimulation simulation = new DispatchSimulation(seed, 4, CAPACITY);
            simulation.submit(QUEUE, step(4, 0).lasting(true).build());
            simulation.lateOrderShare = 0.4;
            String[] jobs = new String[5];
            for (int i = 0; i < jobs.length; i++) {
                jobs[i] = simulation.submit(QUEUE, step(3, 600).build(), step(2, 900).build());
                simulation.run(100);
            }
            simulation.unreachableWorkers.add("w" + seed % 4);
            simulation.takeOver(simulation.now + 600);
            simulation.lateOrderShare = 0;
            simulation.run(3_000);
            simulation.unreachableWorkers.clear();
            simulation.runUntilEnded(40_000, jobs);
            simulation.assertCompleted(jobs);
            simulation.run(15_000);
        }
    }

    @Test
    void aLostStartIsRepeatedWithinThreeSeconds() {
        for (int offset = 0; offset < 1_000; offset += 200) {
            DispatchSimulation simulation = new DispatchSimulation(3, 3, CAPACITY);
            simulation.waitMillis = 1_000;
            simulation.run(500 + offset);
            simulation.lateOrderShare = 1;
            simulation.submit(QUEUE, step(1, 30_000).build());
            simulation.run(20);
            simulation.lateOrderShare = 0;
            long startedAt = simulation.now;
            while (simulation.count(Decision.Kind.RUN_ORDERED) < 2) {
                simulation.run(10);
            }
            long took = simulation.now - startedAt;
            assertTrue(took < MAX_REPEAT_MILLIS, "repeated after " + took);
        }
    }
}
