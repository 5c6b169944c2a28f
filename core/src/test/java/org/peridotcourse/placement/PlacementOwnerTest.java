package org.peridotcourse.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.peridotcourse.CustomerId;
import org.peridotcourse.Resources;
import org.peridotcourse.WorkloadId;

/** Guards single rules of placement, each in a small data centre without faults. */
class PlacementOwnerTest {
    private static final Resources SMALL = Resources.of(1_000, 1_000);
    private static final Resources HOST = Resources.of(8_000, 16_000);

    private final OwnerHarness loop = new OwnerHarness(PlacementPolicy.LEAST_INTERFERENCE);
    private final WorkloadId batch = loop.batch("c/plan", 10);

    private void start(int workers) {
        loop.customer("c", 100, null);
        loop.addWorkers(workers, HOST);
        loop.run(3_000);
    }

    /** Guards against a job that can never run and keeps failing for ever. */
    @Test
    void holdsJobThatFailsOnThreeWorkers() {
        start(6);
        loop.submit("c/bad", batch, 1, SMALL, "100,fails");
        loop.submit("c/good", batch, 4, SMALL, "2000");
        loop.run(30_000);
        assertEquals(JobState.HELD, loop.job("c/bad").progress().state());
        assertEquals(JobState.FINISHED, loop.job("c/good").progress().state());
        int starts = loop.workers.values().stream().mapToInt(worker -> worker.starts).sum();
        assertEquals(7, starts, "three starts of the bad job, four of the good one");
    }

    /** Guards against a worker that fails everything and draws all jobs to itself. */
    @Test
    void quarantinesWorkerThatFailsEverythingAndProbesIt() {
        start(3);
        FakeWorker broken = loop.workers.values().iterator().next();
        broken.failsAll = true;
        for (int i = 0; i < 12; i++) {
            loop.submit("c/j" + i, batch, 4, SMALL, "2000");
        }
        loop.run(25_000);
        assertEquals(1, loop.owner.status(loop.now).quarantined());
        for (int i = 0; i < 12; i++) {
            assertEquals(JobState.FINISHED, loop.job("c/j" + i).progress().state());
        }
        broken.failsAll = false;
        int before = broken.starts;
        loop.run(30_000);
        loop.submit("c/late", batch, 24, SMALL, "2000");
        loop.run(15_000);
        assertTrue(broken.starts > before, "the worker was never probed");
        assertEquals(0, loop.owner.status(loop.now).quarantined());
        assertEquals(JobState.FINISHED, loop.job("c/late").progress().state());
    }

    /** Guards against a job larger than any host that blocks the queue behind it. */
    @Test
    void refusesJobThatFitsNoWorkerAtOnce() {
        start(2);
        loop.submit("c/huge", batch, 1, Resources.of(9_000, 100), "1000");
        loop.submit("c/next", batch, 1, SMALL, "1000");
        loop.run(1_000);
        assertEquals(JobState.REFUSED, loop.job("c/huge").progress().state());
        assertTrue(loop.job("c/huge").progress().reason().isPresent());
        loop.run(5_000);
        assertEquals(JobState.FINISHED, loop.job("c/next").progress().state());
    }

    /** Guards against a job too large for the present gaps that stops smaller ones behind it. */
    @Test
    void waitingLargeJobDoesNotBlockSmallOnes() {
        start(1);
        loop.submit("c/base", batch, 1, SMALL, "60000");
        loop.run(1_000);
        loop.submit("c/large", batch, 1, HOST, "1000");
        loop.submit("c/small", batch, 1, SMALL, "1000");
        loop.run(6_000);
        assertEquals(JobState.FINISHED, loop.job("c/small").progress().state());
        assertEquals(JobState.ACCEPTED, loop.job("c/large").progress().state());
    }

    /** Guards against urgent work that waits behind the customer's bulk work. */
    @Test
    void urgentTasksStartFirst() {
        start(1);
        loop.submit("c/bulk", batch, 60, SMALL, "3000");
        loop.run(1_000);
        loop.submit("c/urgent", batch, 4, SMALL, "1000", true);
        loop.run(9_000);
        assertEquals(JobState.FINISHED, loop.job("c/urgent").progress().state());
        assertEquals(JobState.ACCEPTED, loop.job("c/bulk").progress().state());
    }

    /** Guards against a customer that exceeds its quota on an idle data centre. */
    @Test
    void quotaBoundsRunningTasks() {
        start(4);
        loop.customer("c", 100, Resources.of(3_000, 100_000));
        loop.run(2_000);
        loop.submit("c/many", batch, 20, SMALL, "60000");
        loop.run(5_000);
        assertEquals(3, loop.owner.status(loop.now).placed());
    }

    /** Guards against shares that do not follow the weights. */
    @Test
    void sharesFollowWeights() {
        loop.customer("d", 300, null);
        WorkloadId other = loop.batch("d/plan", 10);
        start(5);
        loop.submit("c/many", batch, 100, SMALL, "600000");
        loop.submit("d/many", other, 100, SMALL, "600000");
        loop.run(10_000);
        double first = loop.owner.weightedShare(CustomerId.of("c"));
        double second = loop.owner.weightedShare(CustomerId.of("d"));
        assertEquals(first, second, 0.025 / 100, "one task of 40 at weight 100");
        assertEquals(40, loop.owner.status(loop.now).placed());
    }

    /** Guards against a wave of cancellations that costs a write per task. */
    @Test
    void cancellationsAreGrouped() {
        start(1);
        for (int i = 0; i < 20; i++) {
            loop.submit("c/j" + i, batch, 20, SMALL, "600000");
        }
        loop.run(5_000);
        int before = loop.writes.size();
        for (int i = 0; i < 20; i++) {
            loop.cancel("c/j" + i);
        }
        loop.run(10_000);
        for (int i = 0; i < 20; i++) {
            assertEquals(JobState.CANCELLED, loop.job("c/j" + i).progress().state());
        }
        assertTrue(
                loop.writes.size() - before <= 10,
                "writes for 400 tasks: " + (loop.writes.size() - before));
        for (PlacementAction.WriteRows write : loop.writes) {
            assertTrue(write.rows() <= OwnerSettings.MAX_WRITE_ROWS, "rows " + write.rows());
        }
    }

    /** Guards against a drain that stops more work than other data centres can take. */
    @Test
    void drainIsPacedAndReturnEvictsNothing() {
        loop.dataCentres.put(OwnerHarness.OTHER, true);
        start(2);
        loop.submit("c/first", batch, 3, SMALL, "600000");
        loop.submit("c/second", batch, 3, SMALL, "600000");
        loop.run(12_000);
        int placed = loop.owner.status(loop.now).placed();
        assertTrue(placed >= 3, "placed " + placed);
        loop.freeElsewhere = Resources.of(2_500, 100_000);
        loop.dataCentres.put(OwnerHarness.HERE, false);
        loop.run(1_000);
        loop.freeElsewhere = Resources.ZERO;
        loop.run(5_000);
        List<TaskRow> moved = loop.table.tasks("b/");
        assertEquals(2, moved.size(), "two tasks of 1000 fit into 2500");
        for (TaskRow row : moved) {
            assertEquals(TaskState.QUEUED, row.state());
            assertEquals(1, row.attempt());
            assertTrue(row.checkpoint().isPresent(), "moved without its checkpoint");
        }
        assertEquals(placed - 2, loop.owner.status(loop.now).placed());
        loop.dataCentres.put(OwnerHarness.HERE, true);
        loop.run(5_000);
        assertEquals(placed - 2, loop.owner.status(loop.now).placed());
        assertEquals(0, loop.owner.status(loop.now).evictions());
    }
}
