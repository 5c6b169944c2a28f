package org.peridotcourse.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.peridotcourse.Resources;
import org.peridotcourse.TaskId;
import org.peridotcourse.WorkloadId;

/** Checks the handover of waiting tasks to data centres with free capacity. */
class RebalancingTest {
    private static final Resources SIZE = Resources.of(1_000, 1_000);
    private static final Resources WORKER = Resources.of(2_000, 16_000);
    private static final Resources FREE_CAPACITY = Resources.of(3_500, 16_000);

    private final OwnerHarness harness = new OwnerHarness(PlacementPolicy.LEAST_INTERFERENCE);
    private final WorkloadId batch = harness.batch("c/w", 10);

    @BeforeEach
    void start() {
        harness.customer("c", 100, null);
        harness.dataCentres.put(OwnerHarness.OTHER, true);
        harness.addWorkers(1, WORKER);
        harness.run(3_000);
    }

    private int handedOver() {
        return harness.table.tasks("b/").size();
    }

    /**
     * Guards against tasks that wait although another data centre has free capacity, and against
     * handing over more tasks than that capacity.
     */
    @Test
    void handsOverWaitingTasksUpToThePublishedCapacity() {
        harness.submit("c/j", batch, 8, SIZE, "600000");
        harness.run(5_000);
        assertEquals(0, handedOver(), "nothing is free elsewhere");
        harness.freeElsewhere = FREE_CAPACITY;
        while (handedOver() == 0 && harness.now < 20_000) {
            harness.run(50);
        }
        harness.freeElsewhere = Resources.of(500, 16_000);
        harness.run(10_000);
        assertEquals(3, handedOver());
        assertEquals(3, harness.queuedHere());
    }

    /**
     * Guards against tasks of a customer at its quota that are handed over and then wait for the
     * quota in every data centre in turn.
     */
    @Test
    void keepsTasksOfCustomerAtItsQuota() {
        harness.customer("c", 100, Resources.of(1_000, 100_000, 100));
        harness.run(2_000);
        harness.submit("c/j", batch, 4, SIZE, "600000");
        harness.freeElsewhere = FREE_CAPACITY;
        harness.run(10_000);
        assertEquals(0, handedOver());
        assertEquals(3, harness.queuedHere());
    }

    /**
     * Guards against tasks that are handed back and forth because they fit the published sum of
     * free capacity in each data centre, but no single worker.
     */
    @Test
    void doesNotHandTasksBackAtOnce() {
        harness.submit("c/base", batch, 2, SIZE, "600000");
        harness.submit("c/j", batch, 0, SIZE, "600000");
        harness.run(4_000);
        TaskRow receivedRow =
                new TaskRow(
                        OwnerHarness.HERE,
                        TaskId.of("c/j/0"),
                        TaskState.QUEUED,
                        0,
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        1,
                        0);
        long commit =
                harness.table.write(
                        new PlacementAction.WriteRows(
                                "other", List.of(), List.of(receivedRow), List.of(), List.of()));
        assertTrue(commit > 0);
        harness.owner.handle(
                harness.now,
                new PlacementEvent.TaskRowsSeen(
                        OwnerHarness.HERE, harness.table.tasks("a/c/j/"), false, commit));
        harness.freeElsewhere = FREE_CAPACITY;
        harness.run(30_000);
        assertEquals(0, handedOver(), "handed back at once");
        assertEquals(1, harness.queuedHere());
        harness.run(40_000);
        assertEquals(1, handedOver(), "kept for ever");
    }

    /** Guards against handing tasks to a data centre whose owner has stopped. */
    @Test
    void handsNothingOverToADataCentreWithoutOwner() {
        harness.freeElsewhere = FREE_CAPACITY;
        harness.run(2_000);
        harness.peerStopped = true;
        harness.run(11_000);
        harness.submit("c/j", batch, 4, SIZE, "600000");
        harness.run(10_000);
        assertEquals(0, handedOver());
    }
}
