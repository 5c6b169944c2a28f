package org.peridotcourse.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.peridotcourse.Resources;
import org.peridotcourse.WorkloadId;

/** Checks which batch work starts beside a service before reports about the pair. */
class InterferenceTrialsTest {
    private static final Resources SIZE = Resources.of(1_000, 2_000);
    private static final int TASKS = 5;

    /** Guards against a whole wave beside a service before the first report about it. */
    @Test
    void startsOneTaskUntilThePairIsCleared() {
        OwnerHarness loop = loop(true);
        submit(loop, false);
        loop.run(2_000);
        assertEquals(1, running(loop), "tasks before a report");
        loop.run(10_000);
        assertEquals(TASKS, running(loop), "tasks after clean reports");
    }

    /** Guards against batch work that waits for reports that never come. */
    @Test
    void startsAllBesideAServiceThatReportsNoLatency() {
        OwnerHarness loop = loop(false);
        submit(loop, false);
        loop.run(2_000);
        assertEquals(TASKS, running(loop));
    }

    /** Guards against urgent work that misses its 7 s because of a trial. */
    @Test
    void startsUrgentWorkWithoutATrial() {
        OwnerHarness loop = loop(true);
        submit(loop, true);
        loop.run(2_000);
        assertEquals(TASKS, running(loop));
    }

    private static OwnerHarness loop(boolean reports) {
        OwnerHarness loop = new OwnerHarness(PlacementPolicy.LEAST_INTERFERENCE);
        loop.addWorkers(1, Resources.of(16_000, 60_000));
        loop.customer("c", 100, null);
        loop.batch("c/plan", 10);
        WorkloadId service = loop.service("s/desk", 1, SIZE);
        List<WorkerReport.ServiceReport> latency =
                reports ? List.of(new WorkerReport.ServiceReport(service, 10)) : List.of();
        loop.workers.values().forEach(worker -> worker.latency = attempts -> latency);
        loop.run(10_000);
        return loop;
    }

    private static void submit(OwnerHarness loop, boolean urgent) {
        loop.submit("c/j", WorkloadId.of("c/plan"), TASKS, SIZE, "600000", urgent);
    }

    private static long running(OwnerHarness loop) {
        return loop.workers.values().stream()
                .flatMap(worker -> worker.running(loop.now).stream())
                .filter(attempt -> !attempt.start.latencyCritical())
                .count();
    }
}
