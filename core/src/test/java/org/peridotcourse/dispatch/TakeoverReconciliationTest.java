package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
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

    private final DispatchSimulation simulation = new DispatchSimulation(3, 4, CAPACITY);

    private static StepSpec.Builder step(int count, long millis) {
        return DispatchOwnerTest.step(count, 1_000, millis);
    }

    /** Crashes the owner together with a worker that runs none of the tasks under test. */
    private void crashOwnerAndWorker(String worker) {
        simulation.workers.get(worker).crash();
        simulation.takeOver(simulation.now + OWNERSHIP_MILLIS);
        simulation.run(500);
    }

    private FakeWorker workerOf(String job) {
        return simulation.workers.values().stream()
                .filter(
                        worker ->
                                worker.active.keySet().stream()
                                        .anyMatch(key -> key.task().job().equals(job)))
                .findFirst()
                .orElseThrow();
    }

    private String otherThan(FakeWorker worker) {
        return simulation.workers.keySet().stream()
                .filter(id -> !id.equals(worker.id))
                .findFirst()
                .orElseThrow();
    }

    /**
     * Lasting tasks that were moved off draining workers waited 10 s for the silent worker before
     * they were started again. This reproduces an incident.
     */
    @Test
    void anAdoptedLastingTaskIsMovedAlthoughAnotherWorkerIsSilent() {
        String job = simulation.submit(QUEUE, step(1, 0).lasting(true).build());
        simulation.run(500);
        FakeWorker holder = workerOf(job);
        crashOwnerAndWorker(otherThan(holder));
        holder.draining = true;
        simulation.refreshWorkerList();
        simulation.run(1_500);
        assertTrue(simulation.hasRuns(job));
        assertTrue(workerOf(job) != holder);
    }

    @Test
    void aStepAfterAdoptedTasksStartsAlthoughAnotherWorkerIsSilent() {
        String job =
                simulation.submit(
                        QUEUE,
                        step(1, 1_500).build(),
                        step(2, 200).predecessors(List.of(0)).build(),
                        step(2, 200).predecessors(List.of(1)).build());
        simulation.run(500);
        crashOwnerAndWorker(otherThan(workerOf(job)));
        simulation.runUntilEnded(2_500, job);
        simulation.assertCompleted(job);
    }

    @Test
    void aTaskThatNoWorkerReportsWaitsForTheSilentWorker() {
        String job = simulation.submit(QUEUE, step(2, 6_000).build());
        simulation.run(500);
        String silent = workerOf(job).id;
        simulation.unreachableWorkers.add(silent);
        int starts = simulation.startCount();
        simulation.takeOver(simulation.now + OWNERSHIP_MILLIS);
        simulation.run(3_000);
        assertEquals(starts, simulation.startCount());
    }

    /**
     * The earlier owner processed the failure, restarted the task and crashed before storing that.
     */
    @Test
    void aTaskOfWhichOnlyAnEndIsReportedWaitsForTheSilentWorker() {
        simulation.storeDown = true;
        String job = simulation.submit(QUEUE, step(1, 6_000).build());
        simulation.run(500);
        FakeWorker first = workerOf(job);
        first.failAfterMillis = 20;
        while (simulation.startCount() < 2) {
            simulation.run(10);
        }
        simulation.run(50);
        FakeWorker second = workerOf(job);
        assertTrue(first != second);
        simulation.unreachableWorkers.add(second.id);
        simulation.takeOver(simulation.now + OWNERSHIP_MILLIS);
        simulation.storeDown = false;
        first.failAfterMillis = 0;
        simulation.run(3_000);
        assertEquals(2, simulation.startCount());
    }

    /**
     * The earlier owner processed the end of the first step and started the next without storing.
     */
    @Test
    void aStepAfterAnUnstoredEndWaitsForTheSilentWorker() {
        simulation.storeDown = true;
        String job =
                simulation.submit(
                        QUEUE,
                        step(1, 300).build(),
                        step(1, 6_000).predecessors(List.of(0)).build());
        while (simulation.startCount() < 2) {
            simulation.run(10);
        }
        simulation.run(50);
        simulation.unreachableWorkers.add(workerOf(job).id);
        simulation.takeOver(simulation.now + OWNERSHIP_MILLIS);
        simulation.storeDown = false;
        simulation.run(3_000);
        assertEquals(2, simulation.startCount());
    }

    @Test
    void anAdoptedSpeculativeTaskWaitsForItsCopyOnTheSilentWorker() {
        String job = simulation.submit(QUEUE, step(1, 20_000).speculative(true).build());
        simulation.run(500);
        FakeWorker silent = workerOf(job);
        simulation.unreachableWorkers.add(silent.id);
        while (simulation.startCount() < 2) {
            simulation.run(50);
        }
        simulation.takeOver(simulation.now + OWNERSHIP_MILLIS);
        simulation.run(300);
        simulation.workers.values().stream()
                .filter(worker -> worker != silent)
                .forEach(worker -> worker.failAfterMillis = 20);
        simulation.run(1_000);
        assertEquals(2, simulation.startCount());
        assertEquals(
                1,
                simulation.workers.values().stream()
                        .mapToInt(worker -> worker.active.size())
                        .sum());
    }

    /**
     * Each host in turn hung in its first decisions after a takeover, since it visited the
     * predecessors of a step by every path: 2 to the power of the number of steps.
     */
    @Test
    void manyStepsThatComeAfterAllEarlierOnesAreDecidedInTimeAfterATakeover() {
        StepSpec[] steps = new StepSpec[200];
        for (int i = 0; i < steps.length; i++) {
            List<Integer> earlier = IntStream.range(0, i).boxed().toList();
            steps[i] = step(1, 20).predecessors(earlier).build();
        }
        String job = simulation.submit(QUEUE, steps);
        String silent = otherThan(workerOf(runUntilStarted(job)));
        simulation.run(3_000);
        assertTimeoutPreemptively(
                Duration.ofSeconds(20),
                () -> {
                    crashOwnerAndWorker(silent);
                    simulation.runUntilEnded(60_000, job);
                });
        simulation.assertCompleted(job);
    }

    private String runUntilStarted(String job) {
        while (!simulation.hasRuns(job)) {
            simulation.run(10);
        }
        return job;
    }
}
