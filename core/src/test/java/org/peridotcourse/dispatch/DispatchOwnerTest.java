package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.peridotcourse.Resources;

/**
 * Guards the lifecycle of jobs on healthy workers: order of steps, attempts, cancellation, labels,
 * gangs, lasting, filling and timed tasks.
 */
class DispatchOwnerTest {
    private static final Resources CAPACITY = Resources.of(8_000, 64_000);
    private static final QueueRules QUEUE = DispatchSimulation.queue("q", 1, 3);

    private final DispatchSimulation simulation = new DispatchSimulation(1, 4, CAPACITY);

    static StepSpec.Builder step(int count, long milliCores, long millis) {
        return StepSpec.builder(count, Resources.of(milliCores, 1_000)).estimateMillis(millis);
    }

    @Test
    void stepsRunInOrderAndTheJobCompletes() {
        String job =
                simulation.submit(
                        QUEUE,
                        step(4, 1_000, 500).build(),
                        step(6, 1_000, 300).predecessors(List.of(0)).build());
        simulation.runUntilEnded(5_000, job);
        simulation.assertCompleted(job);
        assertEquals(10, simulation.startCount());
        assertTrue(
                simulation.endedAt.get(job) < 1_000 + 1_400,
                "ended at " + simulation.endedAt.get(job));
    }

    @Test
    void aTaskThatAlwaysFailsFailsItsJobAfterMaxAttempts() {
        simulation.workers.values().forEach(worker -> worker.failAfterMillis = 50);
        String job = simulation.submit(QUEUE, step(1, 1_000, 500).build());
        simulation.runUntilEnded(20_000, job);
        assertEquals(JobState.FAILED, simulation.state(job));
        assertEquals(3, simulation.startCount());
    }

    @Test
    void aCancelledJobStopsAndStartsNothingMore() {
        String job = simulation.submit(QUEUE, step(40, 1_000, 5_000).build());
        simulation.run(500);
        simulation.cancel(job);
        int starts = simulation.startCount();
        simulation.run(1_000);
        assertEquals(JobState.CANCELLED, simulation.state(job));
        assertEquals(starts, simulation.startCount());
        simulation.workers.values().forEach(worker -> assertTrue(worker.active.isEmpty()));
    }

    /**
     * A job ran although it was cancelled: jobs and cancellations are read by separate feeds of the
     * store, and the cancellation came first. Found by fault search treadline hunt-57df-7, rule
     * UNASKED.
     */
    @Test
    void aCancellationThatIsReadBeforeItsJobIsApplied() {
        simulation.owner.onCancel("0000000000000001", simulation.now);
        String job = simulation.submit(QUEUE, step(4, 1_000, 500).build());
        simulation.run(1_000);
        assertEquals(JobState.CANCELLED, simulation.state(job));
        assertEquals(0, simulation.startCount());
    }

    /**
     * A worker that was quarantined while it ran a lasting task never got a task again, since the
     * probe waited until the worker had no runs. Observed in scenarios treadline-grown scale-1 and
     * scale-2.
     */
    @Test
    void aWorkerThatRunsLastingTasksIsProbedAfterItsQuarantine() {
        DispatchSimulation single = new DispatchSimulation(1, 1, CAPACITY);
        FakeWorker worker = single.workers.get("w0");
        single.submit(QUEUE, step(1, 1_000, 0).lasting(true).build());
        single.run(1_000);
        worker.runsStall = true;
        String stalled = single.submit(QUEUE, step(2, 1_000, 500).build());
        single.run(4_000);
        assertTrue(single.count(Decision.Kind.WORKER_QUARANTINED) > 0);
        single.cancel(stalled);
        worker.runsStall = false;
        single.run(4_000);
        String first = single.submit(QUEUE, step(1, 1_000, 0).lasting(true).build());
        String second = single.submit(QUEUE, step(1, 1_000, 0).lasting(true).build());
        single.run(6_000);
        assertTrue(single.hasRuns(first), "the probe runs");
        assertTrue(single.hasRuns(second), "the second job runs after the probe succeeded");
    }

    @Test
    void noMoreThanMaxPerWorkerTasksOfAStepShareAWorker() {
        String job = simulation.submit(QUEUE, step(6, 500, 1_000).maxPerWorker(1).build());
        for (int i = 0; i < 50; i++) {
            simulation.run(50);
            simulation.workers.values().forEach(worker -> assertTrue(worker.active.size() <= 1));
        }
        simulation.runUntilEnded(5_000, job);
        simulation.assertCompleted(job);
    }

    @Test
    void gangMembersStartTogetherOrNotAtAll() {
        String small = simulation.submit(QUEUE, step(24, 1_000, 800).build());
        simulation.run(100);
        String gang = simulation.submit(QUEUE, step(12, 1_000, 500).gang(true).build());
        simulation.run(300);
        assertFalse(simulation.hasRuns(gang), "there was capacity for a part of the gang only");
        simulation.runUntilEnded(5_000, small, gang);
        simulation.assertCompleted(small, gang);
    }

    @Test
    void aLastingTaskIsRestartedAfterItFails() {
        String job = simulation.submit(QUEUE, step(2, 1_000, 0).lasting(true).build());
        simulation.run(500);
        simulation.workers.values().forEach(worker -> worker.failAfterMillis = 600);
        simulation.run(3_000);
        simulation.workers.values().forEach(worker -> worker.failAfterMillis = 0);
        simulation.run(1_000);
        assertEquals(JobState.RUNNING, simulation.state(job));
        assertTrue(simulation.startCount() > 4, "starts " + simulation.startCount());
        assertTrue(simulation.hasRuns(job));
    }

    @Test
    void aTaskWithARequiredLabelWaitsForAWorkerWithThatLabel() {
        String job =
                simulation.submit(
                        QUEUE, step(1, 1_000, 100).requiredLabel(Optional.of("gpu-kind")).build());
        simulation.run(2_000);
        assertEquals(JobState.QUEUED, simulation.state(job));
        assertEquals(1, simulation.owner.pendingJobsByQueue().get("q"));
    }

    @Test
    void occurrencesOfARepeatedJobStartOnSchedule() {
        JobSpec spec =
                new JobSpec(
                        "p",
                        List.of(step(1, 1_000, 200).build()),
                        new Schedule(
                                3,
                                DispatchSimulation.WALL_CLOCK_OFFSET_MILLIS
                                        + simulation.now
                                        + 1_000,
                                700));
        StoredJob storedJob =
                new StoredJob(
                        "timed",
                        Optional.empty(),
                        QUEUE,
                        spec,
                        DispatchSimulation.WALL_CLOCK_OFFSET_MILLIS + simulation.now,
                        JobRecord.NEW);
        simulation.jobs.put("timed", storedJob);
        simulation.stored.put("timed", JobRecord.NEW);
        simulation.owner.onJob(
                storedJob,
                false,
                simulation.now,
                DispatchSimulation.WALL_CLOCK_OFFSET_MILLIS + simulation.now);
        simulation.run(900);
        assertEquals(0, simulation.startCount());
        simulation.run(600);
        assertEquals(1, simulation.startCount());
        simulation.runUntilEnded(5_000, "timed");
        simulation.assertCompleted("timed");
        assertEquals(3, simulation.startCount());
    }

    @Test
    void nothingStartsInAnEvacuatedDataCentre() {
        simulation.owner.onEvacuated(java.util.Set.of("xela"));
        String job = simulation.submit(QUEUE, step(1, 1_000, 100).build());
        simulation.run(2_000);
        assertEquals(0, simulation.startCount());
        simulation.owner.onEvacuated(java.util.Set.of());
        simulation.runUntilEnded(2_000, job);
        simulation.assertCompleted(job);
    }

    @Test
    void tasksLeaveADrainingWorkerAndNothingStartsThere() {
        StepSpec spec = step(4, 6_000, 3_000).checkpointing(true).build();
        String job = simulation.submit(QUEUE, spec);
        simulation.run(500);
        FakeWorker leaving = simulation.workers.get("w0");
        leaving.draining = true;
        int before = leaving.startLog.size();
        simulation.owner.onWorkerListed(leaving.info(), simulation.now);
        simulation.runUntilEnded(12_000, job);
        simulation.assertCompleted(job);
        assertEquals(before, leaving.startLog.size());
    }

    /**
     * Because of learned interference, filling tasks were never placed on any worker, so their job
     * never ran. Found by fault search hunt-2ab0-7, rule LOST.
     */
    @Test
    void aFillingJobWithoutRunsGetsAWorkerDespiteLearnedInterference() {
        DispatchSimulation simulation = new DispatchSimulation(4, 2, CAPACITY);
        StepSpec serving =
                step(4, 1_000, 0)
                        .maxPerWorker(2)
                        .lasting(true)
                        .latencyTargetMillis(10)
                        .image(Optional.of("serving"))
                        .build();
        simulation.submit(QUEUE, serving);
        simulation.run(500);
        simulation.tailRule = (task, spec, fillShares, at) -> fillShares.isEmpty() ? 5 : 200;
        String first = simulation.submit(QUEUE, filling());
        simulation.run(12_000);
        String second = simulation.submit(QUEUE, filling());
        simulation.run(3_000);
        assertTrue(simulation.hasRuns(second) || simulation.state(second).isFinal(), first);
    }

    private static StepSpec filling() {
        return step(2, 1_000, 1_500).filling(true).image(Optional.of("filling")).build();
    }
}
