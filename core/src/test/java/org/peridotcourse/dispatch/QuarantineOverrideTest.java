package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.peridotcourse.Resources;

/** Guards against quarantines that keep tasks waiting although there is free capacity. */
class QuarantineOverrideTest {
    private static final Resources CAPACITY = Resources.of(8_000, 64_000);
    private static final QueueRules QUEUE = DispatchSimulation.queue("q", 1, 3);
    private static final String RARE = "rare";

    private final DispatchSimulation simulation = new DispatchSimulation(1, 6, CAPACITY);
    private final FakeWorker labelled = simulation.workers.get("w0");

    QuarantineOverrideTest() {
        labelled.labels = List.of("a", RARE);
        simulation.refreshWorkerList();
        simulation.run(100);
    }

    private static StepSpec.Builder rareStep(int count, long millis) {
        return DispatchOwnerTest.step(count, 1_000, millis).requiredLabel(Optional.of(RARE));
    }

    /**
     * Submits jobs that always fail, to the only worker that may run them, until it is quarantined.
     */
    private void quarantineByFailingJobs() {
        labelled.failingTasks = task -> task.job().compareTo("0000000000000004") <= 0;
        for (int i = 0; i < 4; i++) {
            simulation.submit(QUEUE, rareStep(1, 500).build());
        }
        while (simulation.count(Decision.Kind.WORKER_QUARANTINED) < 3) {
            simulation.run(50);
        }
    }

    @Test
    void aTaskForALabelledWorkerDoesNotWaitForAQuarantineCausedByFailingJobs() {
        quarantineByFailingJobs();
        String job = simulation.submit(QUEUE, rareStep(1, 200).build());
        simulation.runUntilEnded(2_500, job);
        simulation.assertCompleted(job);
    }

    @Test
    void aLastingTaskDoesNotWaitForAQuarantineCausedByFailingJobs() {
        quarantineByFailingJobs();
        String job = simulation.submit(QUEUE, rareStep(2, 0).lasting(true).build());
        simulation.run(2_500);
        assertTrue(simulation.hasRuns(job));
    }

    @Test
    void aQuarantinedWorkerIsNotUsedWhileTheOthersAreBusy() {
        labelled.failAfterMillis = 20;
        simulation.submit(QUEUE, rareStep(1, 200).build());
        simulation.submit(QUEUE, rareStep(1, 200).build());
        while (simulation.count(Decision.Kind.WORKER_QUARANTINED) == 0) {
            simulation.run(10);
        }
        simulation.submit(QUEUE, DispatchOwnerTest.step(40, 1_000, 20_000).build());
        simulation.run(100);
        int starts = labelled.startLog.size();
        String waiting = simulation.submit(QUEUE, DispatchOwnerTest.step(1, 1_000, 200).build());
        simulation.run(2_500);
        assertEquals(starts, labelled.startLog.size());
        assertFalse(simulation.state(waiting).isFinal());
    }
}
