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

    private final DispatchSimulation world = new DispatchSimulation(1, 4, CAPACITY);

    static StepSpec.Builder step(int count, long milliCores, long millis) {
        return StepSpec.builder(count, Resources.of(milliCores, 1_000)).estimateMillis(millis);
    }

    @Test
    void stepsRunInOrderAndTheJobCompletes() {
        String job =
                world.submit(
                        QUEUE,
                        step(4, 1_000, 500).build(),
                        step(6, 1_000, 300).predecessors(List.of(0)).build());
        world.runUntilEnded(5_000, job);
        world.assertCompleted(job);
        assertEquals(10, world.startCount());
        assertTrue(world.endedAt.get(job) < 1_000 + 1_400, "ended at " + world.endedAt.get(job));
    }

    @Test
    void aTaskThatAlwaysFailsFailsItsJobAfterMaxAttempts() {
        world.workers.values().forEach(runner -> runner.failAfterMillis = 50);
        String job = world.submit(QUEUE, step(1, 1_000, 500).build());
        world.runUntilEnded(20_000, job);
        assertEquals(JobState.FAILED, world.state(job));
        assertEquals(3, world.startCount());
    }

    @Test
    void aCancelledJobStopsAndStartsNothingMore() {
        String job = world.submit(QUEUE, step(40, 1_000, 5_000).build());
        world.run(500);
        world.cancel(job);
        int starts = world.startCount();
        world.run(1_000);
        assertEquals(JobState.CANCELLED, world.state(job));
        assertEquals(starts, world.startCount());
        world.workers.values().forEach(runner -> assertTrue(runner.active.isEmpty()));
    }

    /**
     * A job ran although it was cancelled: jobs and cancellations are read by separate feeds of the
     * store, and the cancellation came first. Found by fault search treadline hunt-57df-7, rule
     * UNASKED.
     */
    @Test
    void aCancellationThatIsReadBeforeItsJobIsApplied() {
        world.owner.onCancel("0000000000000001", world.now);
        String job = world.submit(QUEUE, step(4, 1_000, 500).build());
        world.run(1_000);
        assertEquals(JobState.CANCELLED, world.state(job));
        assertEquals(0, world.startCount());
    }

    /**
     * A worker that was quarantined while it ran a lasting task never got a task again, since the
     * probe waited until the worker had no runs. Observed in scenarios treadline-grown scale-1 and
     * scale-2.
     */
    @Test
    void aWorkerThatRunsLastingTasksIsProbedAfterItsQuarantine() {
        DispatchSimulation single = new DispatchSimulation(1, 1, CAPACITY);
        FakeWorker runner = single.workers.get("w0");
        single.submit(QUEUE, step(1, 1_000, 0).lasting(true).build());
        single.run(1_000);
        runner.runsStall = true;
        String stalled = single.submit(QUEUE, step(2, 1_000, 500).build());
        single.run(4_000);
        assertTrue(single.count(Decision.Kind.WORKER_QUARANTINED) > 0);
        single.cancel(stalled);
        runner.runsStall = false;
        single.run(4_000);
        String first = single.submit(QUEUE, step(1, 1_000, 0).lasting(true).build());
        String second = single.submit(QUEUE, step(1, 1_000, 0).lasting(true).build());
        single.run(6_000);
        assertTrue(single.hasRuns(first), "the probe runs");
        assertTrue(single.hasRuns(second), "the second job runs after the probe succeeded");
    }

    @Test
    void noMoreThanMaxPerWorkerTasksOfAStepShareAWorker() {
        String job = world.submit(QUEUE, step(6, 500, 1_000).maxPerWorker(1).build());
        for (int i = 0; i < 50; i++) {
            world.run(50);
            world.workers.values().forEach(runner -> assertTrue(runner.active.size() <= 1));
        }
        world.runUntilEnded(5_000, job);
        world.assertCompleted(job);
    }

    @Test
    void gangMembersStartTogetherOrNotAtAll() {
        String small = world.submit(QUEUE, step(24, 1_000, 800).build());
        world.run(100);
        String gang = world.submit(QUEUE, step(12, 1_000, 500).gang(true).build());
        world.run(300);
        assertFalse(world.hasRuns(gang), "there was capacity for a part of the gang only");
        world.runUntilEnded(5_000, small, gang);
        world.assertCompleted(small, gang);
    }

    @Test
    void aLastingTaskIsRestartedAfterItFails() {
        String job = world.submit(QUEUE, step(2, 1_000, 0).lasting(true).build());
        world.run(500);
        world.workers.values().forEach(runner -> runner.failAfterMillis = 600);
        world.run(3_000);
        world.workers.values().forEach(runner -> runner.failAfterMillis = 0);
        world.run(1_000);
        assertEquals(JobState.RUNNING, world.state(job));
        assertTrue(world.startCount() > 4, "starts " + world.startCount());
        assertTrue(world.hasRuns(job));
    }

    @Test
    void aTaskWithARequiredLabelWaitsForAWorkerWithThatLabel() {
        String job =
                world.submit(
                        QUEUE, step(1, 1_000, 100).requiredLabel(Optional.of("gpu-kind")).build());
        world.run(2_000);
        assertEquals(JobState.QUEUED, world.state(job));
        assertEquals(1, world.owner.pendingJobsByQueue().get("q"));
    }

    @Test
    void occurrencesOfARepeatedJobStartOnSchedule() {
        JobSpec spec =
                new JobSpec(
                        "p",
                        List.of(step(1, 1_000, 200).build()),
                        new Schedule(
                                3,
                                DispatchSimulation.WALL_CLOCK_OFFSET_MILLIS + world.now + 1_000,
                                700));
        StoredJob entry =
                new StoredJob(
                        "timed",
                        Optional.empty(),
                        QUEUE,
                        spec,
                        DispatchSimulation.WALL_CLOCK_OFFSET_MILLIS + world.now,
                        JobRecord.NEW);
        world.jobs.put("timed", entry);
        world.stored.put("timed", JobRecord.NEW);
        world.owner.onJob(
                entry, false, world.now, DispatchSimulation.WALL_CLOCK_OFFSET_MILLIS + world.now);
        world.run(900);
        assertEquals(0, world.startCount());
        world.run(600);
        assertEquals(1, world.startCount());
        world.runUntilEnded(5_000, "timed");
        world.assertCompleted("timed");
        assertEquals(3, world.startCount());
    }

    @Test
    void nothingStartsInAnEvacuatedDataCentre() {
        world.owner.onEvacuated(java.util.Set.of("xela"));
        String job = world.submit(QUEUE, step(1, 1_000, 100).build());
        world.run(2_000);
        assertEquals(0, world.startCount());
        world.owner.onEvacuated(java.util.Set.of());
        world.runUntilEnded(2_000, job);
        world.assertCompleted(job);
    }

    @Test
    void tasksLeaveADrainingWorkerAndNothingStartsThere() {
        StepSpec spec = step(4, 6_000, 3_000).checkpointing(true).build();
        String job = world.submit(QUEUE, spec);
        world.run(500);
        FakeWorker leaving = world.workers.get("w0");
        leaving.draining = true;
        int before = leaving.startLog.size();
        world.owner.onWorkerListed(leaving.info(), world.now);
        world.runUntilEnded(12_000, job);
        world.assertCompleted(job);
        assertEquals(before, leaving.startLog.size());
    }

    /**
     * Learned interference kept filling tasks off all workers for ever, so that their job never
     * ran. Found by fault search hunt-2ab0-7, rule LOST.
     */
    @Test
    void aFillingJobWithoutRunsGetsAWorkerDespiteLearnedInterference() {
        DispatchSimulation world = new DispatchSimulation(4, 2, CAPACITY);
        StepSpec serving =
                step(4, 1_000, 0)
                        .maxPerWorker(2)
                        .lasting(true)
                        .latencyTargetMillis(10)
                        .image(Optional.of("serving"))
                        .build();
        world.submit(QUEUE, serving);
        world.run(500);
        world.tailRule = (task, spec, uses, at) -> uses.isEmpty() ? 5 : 200;
        String first = world.submit(QUEUE, filling());
        world.run(12_000);
        String second = world.submit(QUEUE, filling());
        world.run(3_000);
        assertTrue(world.hasRuns(second) || world.state(second).isFinal(), first);
    }

    private static StepSpec filling() {
        return step(2, 1_000, 1_500).filling(true).image(Optional.of("filling")).build();
    }
}
