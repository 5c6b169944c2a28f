package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.peridotcourse.Resources;

/**
 * Guards against a successor that relies on the report of one worker although an earlier owner, or
 * a call to an earlier incarnation of the worker, has left more behind.
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
     * A call of the earlier owner to an earlier incarnation gave the new one the longest lease, so
     * that its runs outlasted the wait for the lease.
     */
    @Test
    void aLeaseCallOfTheEarlierOwnerForAnEarlierIncarnationCausesNoDuplicateRuns() {
        DispatchSimulation world = new DispatchSimulation(5, 2, CAPACITY);
        world.submit(QUEUE, step(8, 0).lasting(true).build());
        world.run(6_000);
        FakeWorker restarted = world.workers.get("w0");
        restarted.restart(world.now);
        world.run(10);
        world.takeOver(world.now);
        while (restarted.active.isEmpty()) {
            world.run(10);
        }
        world.unreachableWorkers.add("w0");
        world.run(10_000);
    }

    /**
     * The earlier owner had counted the failure and not stored it, so that the successor started
     * the task once more than its queue allows.
     */
    @Test
    void anAdoptedTaskStaysWithinMaxAttemptsWhileASilentWorkerHoldsAFailure() {
        DispatchSimulation world = new DispatchSimulation(3, 4, CAPACITY);
        QueueRules twoAttempts = DispatchSimulation.queue("q", 1, 2);
        world.setQueues(twoAttempts);
        world.run(500);
        world.storeDown = true;
        String job = world.submit(twoAttempts, step(1, 6_000).build());
        world.run(500);
        FakeWorker first = runnerOf(world, job);
        first.failAfterMillis = 20;
        while (world.startCount() < 2) {
            world.run(10);
        }
        world.run(50);
        FakeWorker second = runnerOf(world, job);
        assertNotSame(first, second);
        world.unreachableWorkers.add(first.id);
        world.takeOver(world.now + 8_000);
        world.storeDown = false;
        world.run(500);
        second.failAfterMillis = 20;
        world.run(1_000);
        world.unreachableWorkers.remove(first.id);
        world.run(3_000);
        assertTrue(world.startCount() <= 2, "starts " + world.startCount() + " of 2 attempts");
    }

    private static FakeWorker runnerOf(DispatchSimulation world, String job) {
        return world.workers.values().stream()
                .filter(
                        runner ->
                                runner.active.keySet().stream()
                                        .anyMatch(key -> key.task().job().equals(job)))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void aLostStartIsRepeatedWithinThreeSeconds() {
        for (int offset = 0; offset < 1_000; offset += 200) {
            DispatchSimulation world = new DispatchSimulation(3, 3, CAPACITY);
            world.waitMillis = 1_000;
            world.run(500 + offset);
            world.lateOrderShare = 1;
            world.submit(QUEUE, step(1, 30_000).build());
            world.run(20);
            world.lateOrderShare = 0;
            long startedAt = world.now;
            while (world.count(Decision.Kind.RUN_ORDERED) < 2) {
                world.run(10);
            }
            long took = world.now - startedAt;
            assertTrue(took < MAX_REPEAT_MILLIS, "repeated after " + took);
        }
    }
}
