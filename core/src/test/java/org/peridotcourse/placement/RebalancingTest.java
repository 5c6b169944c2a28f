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

/** Guards the handover of waiting tasks to data centres with free capacity. */
class RebalancingTest {
    private static final Resources SIZE = Resources.of(1_000, 1_000);
    private static final Resources WORKER = Resources.of(2_000, 16_000);
    private static final Resources ROOM = Resources.of(3_500, 16_000);

    private final OwnerHarness loop = new OwnerHarness(PlacementPolicy.LEAST_INTERFERENCE);
    private final WorkloadId batch = loop.batch("c/w", 10);

    @BeforeEach
    void start() {
        loop.customer("c", 100, null);
        loop.dataCentres.put(OwnerHarness.OTHER, true);
        loop.addWorkers(1, WORKER);
        loop.run(3_000);
    }

    private int moved() {
        return loop.table.tasks("b/").size();
    }

    /** Guards against waiting beside an idle data centre, and against flooding it. */
    @Test
    void movesWaitingTasksUpToThePublishedRoom() {
        loop.submit("c/j", batch, 8, SIZE, "600000");
        loop.run(5_000);
        assertEquals(0, moved(), "nothing is free elsewhere");
        loop.freeElsewhere = ROOM;
        while (moved() == 0 && loop.now < 20_000) {
            loop.run(50);
        }
        loop.freeElsewhere = Resources.of(500, 16_000);
        loop.run(10_000);
        assertEquals(3, moved());
        assertEquals(3, loop.queuedHere());
    }

    /** Guards against tasks that wait for the quota in every data centre in turn. */
    @Test
    void keepsTasksOfCustomerAtItsQuota() {
        loop.customer("c", 100, Resources.of(1_000, 100_000, 100));
        loop.run(2_000);
        loop.submit("c/j", batch, 4, SIZE, "600000");
        loop.freeElsewhere = ROOM;
        loop.run(10_000);
        assertEquals(0, moved());
        assertEquals(3, loop.queuedHere());
    }

    /**
     * Guards against tasks that fit the sum of the gaps in each data centre, but no single worker,
     * and go back and forth.
     */
    @Test
    void doesNotHandTasksBackAtOnce() {
        loop.submit("c/base", batch, 2, SIZE, "600000");
        loop.submit("c/j", batch, 0, SIZE, "600000");
        loop.run(4_000);
        TaskRow handedIn =
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
                loop.table.write(
                        new PlacementAction.WriteRows(
                                "other", List.of(), List.of(handedIn), List.of(), List.of()));
        assertTrue(commit > 0);
        loop.owner.handle(
                loop.now,
                new PlacementEvent.TaskRowsSeen(
                        OwnerHarness.HERE, loop.table.tasks("a/c/j/"), false, commit));
        loop.freeElsewhere = ROOM;
        loop.run(30_000);
        assertEquals(0, moved(), "handed back at once");
        assertEquals(1, loop.queuedHere());
        loop.run(40_000);
        assertEquals(1, moved(), "kept for ever");
    }

    /** Guards against handing tasks to a data centre whose owner has stopped. */
    @Test
    void movesNothingToAnUnattendedDataCentre() {
        loop.freeElsewhere = ROOM;
        loop.run(2_000);
        loop.peerStopped = true;
        loop.run(11_000);
        loop.submit("c/j", batch, 4, SIZE, "600000");
        loop.run(10_000);
        assertEquals(0, moved());
    }
}
