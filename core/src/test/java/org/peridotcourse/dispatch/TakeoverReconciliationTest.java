package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.peridotcourse.Resources;

/**
 * Guards inherited tasks after a takeover: while a worker is silent they must not run twice, and
 * they must not wait for that worker if it cannot run them.
 */
class TakeoverReconciliationTest {
    private static final Resources CAPACITY = Resources.of(8_000, 64_000);
    private static final QueueRules QUEUE = DispatchSimulation.queue("q", 1, 3);

    /** Time for which the earlier owner may still send orders. */
    private static final long OWNERSHIP_MILLIS = 8_000;

    private final DispatchSimulation world = new DispatchSimulation(3, 4, CAPACITY);

    private static StepSpec.Builder step(int count, long millis) {
        return DispatchOwnerTest.step(count, 1_000, millis);
    }

    /** Crashes the owner together with a worker that runs none of the tasks under test. */
    private void crashOwnerAndWorker(String worker) {
        world.workers.get(worker).crash();
        world.takeOver(world.now + OWNERSHIP_MILLIS);
        world.run(500);
    }

    private FakeWorker runnerOf(String job) {
        return world.workers.values().stream()
                .filter(
                        runner ->
                                runner.active.keySet().stream()
                                        .anyMatch(key -> key.task().job().equals(job)))
                .findFirst()
                .orElseThrow();
    }

    private String otherThan(FakeWorker runner) {
        return world.workers.keySet().stream()
                .filter(id -> !id.equals(runner.id))
                .findFirst()
                .orElseThrow();
    }

    /**
     * Lasting tasks that were moved off draining workers waited 10 s for the silent worker before
     * they were started again. This is the pattern of an incident.
     */
    @Test
    void anAdoptedLastingTaskIsMovedAlthoughAnotherWorkerIsSilent() {
        String job = world.submit(QUEUE, step(1, 0).lasting(true).build());
        world.run(500);
        FakeWorker holder = runnerOf(job);
        crashOwnerAndWorker(otherThan(holder));
        holder.draining = true;
        world.refreshWorkerList();
        world.run(1_500);
        assertTrue(world.hasRuns(job));
        assertTrue(runnerOf(job) != holder);
    }

    @Test
    void aStepAfterAdoptedTasksStartsAlthoughAnotherWorkerIsSilent() {
        String job =
                world.submit(
                        QUEUE,
                        step(1, 1_500).build(),
                        step(2, 200).predecessors(List.of(0)).build(),
                        step(2, 200).predecessors(List.of(1)).build());
        world.run(500);
        crashOwnerAndWorker(otherThan(runnerOf(job)));
        world.runUntilEnded(2_500, job);
        world.assertCompleted(job);
    }

    @Test
    void aTaskThatNoWorkerReportsWaitsForTheSilentWorker() {
        String job = world.submit(QUEUE, step(2, 6_000).build());
        world.run(500);
        String silent = runnerOf(job).id;
        world.unreachableWorkers.add(silent);
        int starts = world.startCount();
        world.takeOver(world.now + OWNERSHIP_MILLIS);
        world.run(3_000);
        assertEquals(starts, world.startCount());
    }

    /**
     * The earlier owner processed the failure, restarted the task and crashed before storing that.
     */
    @Test
    void aTaskOfWhichOnlyAnEndIsReportedWaitsForTheSilentWorker() {
        world.storeDown = true;
        String job = world.submit(QUEUE, step(1, 6_000).build());
        world.run(500);
        FakeWorker first = runnerOf(job);
        first.failAfterMillis = 20;
        while (world.startCount() < 2) {
            world.run(10);
        }
        world.run(50);
        FakeWorker second = runnerOf(job);
        assertTrue(first != second);
        world.unreachableWorkers.add(second.id);
        world.takeOver(world.now + OWNERSHIP_MILLIS);
        world.storeDown = false;
        first.failAfterMillis = 0;
        world.run(3_000);
        assertEquals(2, world.startCount());
    }

    /**
     * The earlier owner processed the end of the first step and started the next without storing.
     */
    @Test
    void aStepAfterAnUnstoredEndWaitsForTheSilentWorker() {
        world.storeDown = true;
        String job =
                world.submit(
                        QUEUE,
                        step(1, 300).build(),
                        step(1, 6_000).predecessors(List.of(0)).build());
        while (world.startCount() < 2) {
            world.run(10);
        }
        world.run(50);
        world.unreachableWorkers.add(runnerOf(job).id);
        world.takeOver(world.now + OWNERSHIP_MILLIS);
        world.storeDown = false;
        world.run(3_000);
        assertEquals(2, world.startCount());
    }

    @Test
    void anAdoptedSpeculativeTaskWaitsForItsCopyOnTheSilentWorker() {
        String job = world.submit(QUEUE, step(1, 20_000).speculative(true).build());
        world.run(500);
        FakeWorker silent = runnerOf(job);
        world.unreachableWorkers.add(silent.id);
        while (world.startCount() < 2) {
            world.run(50);
        }
        world.takeOver(world.now + OWNERSHIP_MILLIS);
        world.run(300);
        world.workers.values().stream()
                .filter(runner -> runner != silent)
                .forEach(runner -> runner.failAfterMillis = 20);
        world.run(1_000);
        assertEquals(2, world.startCount());
        assertEquals(
                1, world.workers.values().stream().mapToInt(runner -> runner.active.size()).sum());
    }
}
