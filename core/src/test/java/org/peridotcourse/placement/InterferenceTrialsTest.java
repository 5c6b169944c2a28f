package org.peridotcourse.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.peridotcourse.Resources;
import org.peridotcourse.WorkloadId;

/**
 * Checks how many batch tasks start beside a service before reports show whether they interfere.
 */
class InterferenceTrialsTest {
    private static final Resources SIZE = Resources.of(1_000, 2_000);
    private static final int TASKS = 5;

    /**
     * Guards against many tasks that start beside a service before the first report about the pair.
     */
    @Test
    void startsOneTaskUntilThePairIsCleared() {
        OwnerHarness harness = harness(true);
        submit(harness, false);
        harness.run(2_000);
        assertEquals(1, running(harness), "tasks before a report");
        harness.run(10_000);
        assertEquals(TASKS, running(harness), "tasks after clean reports");
    }

    /** Guards against batch tasks that wait for reports from a service that sends none. */
    @Test
    void startsAllBesideAServiceThatReportsNoLatency() {
        OwnerHarness harness = harness(false);
        submit(harness, false);
        harness.run(2_000);
        assertEquals(TASKS, running(harness));
    }

    /** Guards against urgent tasks that miss their start within 7 s because of a trial. */
    @Test
    void startsUrgentWorkWithoutATrial() {
        OwnerHarness harness = harness(true);
        submit(harness, true);
        harness.run(2_000);
        assertEquals(TASKS, running(harness));
    }

    private static OwnerHarness harness(boolean reports) {
        OwnerHarness harness = new OwnerHarness(PlacementPolicy.LEAST_INTERFERENCE);
        harness.addWorkers(1, Resources.of(16_000, 60_000));
        harness.customer("c", 100, null);
        harness.batch("c/plan", 10);
        WorkloadId service = harness.service("s/desk", 1, SIZE);
        List<WorkerReport.ServiceReport> latency =
                reports ? List.of(new WorkerReport.ServiceReport(service, 10)) : List.of();
        harness.workers.values().forEach(worker -> worker.latency = attempts -> latency);
        harness.run(10_000);
        return harness;
    }

    private static void submit(OwnerHarness harness, boolean urgent) {
        harness.submit("c/j", WorkloadId.of("c/plan"), TASKS, SIZE, "600000", urgent);
    }

    private static long running(OwnerHarness harness) {
        return harness.workers.values().stream()
                .flatMap(worker -> worker.running(harness.now).stream())
                .filter(attempt -> !attempt.start.latencyCritical())
                .count();
    }
}
