package org.peridotcourse.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.peridotcourse.CustomerId;
import org.peridotcourse.Resources;
import org.peridotcourse.WorkloadId;

/** Checks single rules of placement, each in a small data centre without faults. */
class PlacementOwnerTest {
    private static final Resources SMALL = Resources.of(1_000, 1_000);
    private static final Resources HOST = Resources.of(8_000, 16_000);

    private final OwnerHarness harness = new OwnerHarness(PlacementPolicy.LEAST_INTERFERENCE);
    private final WorkloadId batch = harness.batch("c/plan", 10);

    private void start(int workers) {
        harness.customer("c", 100, null);
        harness.addWorkers(workers, HOST);
        harness.run(3_000);
    }

    /** Guards against a job that fails on every worker and is retried without end. */
    @Test
    void holdsJobThatFailsOnThreeWorkers() {
        start(6);
        harness.submit("c/bad", batch, 1, SMALL, "100,fails");
        harness.submit("c/good", batch, 4, SMALL, "2000");
        harness.run(30_000);
        assertEquals(JobState.HELD, harness.job("c/bad").progress().state());
        assertEquals(JobState.FINISHED, harness.job("c/good").progress().state());
        int starts = harness.workers.values().stream().mapToInt(worker -> worker.starts).sum();
        assertEquals(7, starts, "three starts of the bad job, four of the good one");
    }

    /** Guards against a job that crashes worker after worker, since no attempt of it fails. */
    @Test
    void holdsJobThatCrashesItsWorkers() {
        start(6);
        harness.submit("c/good", batch, 12, SMALL, "8000");
        harness.run(2_000);
        harness.submit("c/bad", batch, 1, SMALL, "60000,crashes");
        harness.run(90_000);
        assertEquals(JobState.HELD, harness.job("c/bad").progress().state());
        assertEquals(3, harness.crashes);
        assertEquals(JobState.FINISHED, harness.job("c/good").progress().state());
    }

    /** Guards against a job that is held because it started beside one that crashes its workers. */
    @Test
    void holdsNoSoundJobBesideOneThatCrashesItsWorkers() {
        start(6);
        harness.submit("c/bad", batch, 2, SMALL, "60000,crashes");
        for (int i = 0; i < 12; i++) {
            harness.submit("c/good" + i, batch, 6, SMALL, "3000");
            harness.run(2_000);
        }
        harness.run(120_000);
        assertEquals(JobState.HELD, harness.job("c/bad").progress().state());
        assertTrue(harness.crashes <= 8, () -> harness.crashes + " crashes");
        for (int i = 0; i < 12; i++) {
            assertEquals(JobState.FINISHED, harness.job("c/good" + i).progress().state());
        }
    }

    /**
     * Guards against a worker that fails every task, is therefore always free and receives all
     * jobs.
     */
    @Test
    void quarantinesWorkerThatFailsEverythingAndProbesIt() {
        start(3);
        FakeWorker broken = harness.workers.values().iterator().next();
        broken.failsAll = true;
        for (int i = 0; i < 12; i++) {
            harness.submit("c/j" + i, batch, 4, SMALL, "2000");
        }
        harness.run(25_000);
        assertEquals(1, harness.owner.status(harness.now).quarantined());
        for (int i = 0; i < 12; i++) {
            assertEquals(JobState.FINISHED, harness.job("c/j" + i).progress().state());
        }
        broken.failsAll = false;
        int before = broken.starts;
        harness.run(30_000);
        harness.submit("c/late", batch, 24, SMALL, "2000");
        harness.run(15_000);
        assertTrue(broken.starts > before, "the worker was never probed");
        assertEquals(0, harness.owner.status(harness.now).quarantined());
        assertEquals(JobState.FINISHED, harness.job("c/late").progress().state());
    }

    /** Guards against a job larger than any worker that blocks the queue behind it. */
    @Test
    void refusesJobThatFitsNoWorkerAtOnce() {
        start(2);
        harness.submit("c/huge", batch, 1, Resources.of(9_000, 100), "1000");
        harness.submit("c/next", batch, 1, SMALL, "1000");
        harness.run(1_000);
        assertEquals(JobState.REFUSED, harness.job("c/huge").progress().state());
        assertTrue(harness.job("c/huge").progress().reason().isPresent());
        harness.run(5_000);
        assertEquals(JobState.FINISHED, harness.job("c/next").progress().state());
    }

    /** Guards against a job that currently fits no worker and delays smaller jobs behind it. */
    @Test
    void waitingLargeJobDoesNotBlockSmallOnes() {
        start(1);
        harness.submit("c/base", batch, 1, SMALL, "60000");
        harness.run(1_000);
        harness.submit("c/large", batch, 1, HOST, "1000");
        harness.submit("c/small", batch, 1, SMALL, "1000");
        harness.run(6_000);
        assertEquals(JobState.FINISHED, harness.job("c/small").progress().state());
        assertEquals(JobState.ACCEPTED, harness.job("c/large").progress().state());
    }

    /** Guards against urgent tasks that wait behind other tasks of the same customer. */
    @Test
    void urgentTasksStartFirst() {
        start(1);
        harness.submit("c/bulk", batch, 60, SMALL, "3000");
        harness.run(1_000);
        harness.submit("c/urgent", batch, 4, SMALL, "1000", true);
        harness.run(9_000);
        assertEquals(JobState.FINISHED, harness.job("c/urgent").progress().state());
        assertEquals(JobState.ACCEPTED, harness.job("c/bulk").progress().state());
    }

    /** Guards against a customer that exceeds its quota while the data centre is idle. */
    @Test
    void quotaBoundsRunningTasks() {
        start(4);
        harness.customer("c", 100, Resources.of(3_000, 100_000));
        harness.run(2_000);
        harness.submit("c/many", batch, 20, SMALL, "60000");
        harness.run(5_000);
        assertEquals(3, harness.owner.status(harness.now).placed());
    }

    /** Guards against allocations of customers that are not in proportion to their weights. */
    @Test
    void sharesFollowWeights() {
        harness.customer("d", 300, null);
        WorkloadId other = harness.batch("d/plan", 10);
        start(5);
        harness.submit("c/many", batch, 100, SMALL, "600000");
        harness.submit("d/many", other, 100, SMALL, "600000");
        harness.run(10_000);
        double first = harness.owner.weightedShare(CustomerId.of("c"));
        double second = harness.owner.weightedShare(CustomerId.of("d"));
        assertEquals(first, second, 0.025 / 100, "one task of 40 at weight 100");
        assertEquals(40, harness.owner.status(harness.now).placed());
    }

    /** Guards against many cancellations that cost one write per task. */
    @Test
    void cancellationsAreGrouped() {
        start(1);
        for (int i = 0; i < 20; i++) {
            harness.submit("c/j" + i, batch, 20, SMALL, "600000");
        }
        harness.run(5_000);
        int before = harness.writes.size();
        for (int i = 0; i < 20; i++) {
            harness.cancel("c/j" + i);
        }
        harness.run(10_000);
        for (int i = 0; i < 20; i++) {
            assertEquals(JobState.CANCELLED, harness.job("c/j" + i).progress().state());
        }
        assertTrue(
                harness.writes.size() - before <= 10,
                "writes for 400 tasks: " + (harness.writes.size() - before));
        for (PlacementAction.WriteRows write : harness.writes) {
            assertTrue(write.rows() <= OwnerSettings.MAX_WRITE_ROWS, "rows " + write.rows());
        }
    }

    /**
     * Guards against an evacuation that stops more tasks than other data centres can take, and
     * against evictions when the data centre returns.
     */
    @Test
    void evacuationIsLimitedByFreeCapacityAndReturnEvictsNothing() {
        harness.dataCentres.put(OwnerHarness.OTHER, true);
        start(2);
        harness.submit("c/first", batch, 3, SMALL, "600000");
        harness.submit("c/second", batch, 3, SMALL, "600000");
        harness.run(12_000);
        int placed = harness.owner.status(harness.now).placed();
        assertTrue(placed >= 3, "placed " + placed);
        harness.freeElsewhere = Resources.of(2_500, 100_000);
        harness.dataCentres.put(OwnerHarness.HERE, false);
        harness.run(1_000);
        harness.freeElsewhere = Resources.ZERO;
        harness.run(5_000);
        List<TaskRow> handedOver = harness.table.tasks("b/");
        assertEquals(2, handedOver.size(), "two tasks of 1000 fit into 2500");
        for (TaskRow row : handedOver) {
            assertEquals(TaskState.QUEUED, row.state());
            assertEquals(1, row.attempt());
            assertTrue(row.checkpoint().isPresent(), "handed over without its checkpoint");
        }
        assertEquals(placed - 2, harness.owner.status(harness.now).placed());
        harness.dataCentres.put(OwnerHarness.HERE, true);
        harness.run(5_000);
        assertEquals(placed - 2, harness.owner.status(harness.now).placed());
        assertEquals(0, harness.owner.status(harness.now).evictions());
    }
}
