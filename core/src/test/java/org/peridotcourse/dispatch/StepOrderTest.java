package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.peridotcourse.Resources;

/** Guards the order in which steps get workers under overload. */
class StepOrderTest {
    private static final Resources CAPACITY = Resources.of(8_000, 64_000);
    private static final QueueRules QUEUE = DispatchSimulation.queue("q", 1, 3);

    private static StepSpec step(int count, long millis) {
        return DispatchOwnerTest.step(count, 1_000, millis).build();
    }

    /** A burst of small and large jobs is submitted at once: half again as much as can be done. */
    @Test
    void inABurstSmallJobsEndBeforeLargeOnesAndLargeOnesDoNotStarve() {
        DispatchSimulation world = new DispatchSimulation(1, 2, CAPACITY);
        List<String> large = new ArrayList<>();
        List<String> small = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            large.add(world.submit(QUEUE, step(32, 1_000)));
            small.add(world.submit(QUEUE, step(2, 1_000)));
        }
        world.runUntilEnded(30_000, large.toArray(String[]::new));
        world.assertCompleted(large.toArray(String[]::new));
        world.assertCompleted(small.toArray(String[]::new));
        long lastSmall = small.stream().mapToLong(world.endedAt::get).max().orElseThrow();
        long firstLarge = large.stream().mapToLong(world.endedAt::get).min().orElseThrow();
        assertTrue(lastSmall < firstLarge, lastSmall + " is not before " + firstLarge);
    }

    @Test
    void aQueueOfAHigherPriorityComesFirst() {
        DispatchSimulation world = new DispatchSimulation(1, 1, CAPACITY);
        QueueRules urgent = DispatchSimulation.queue("urgent", 0, 3);
        world.setQueues(QUEUE, urgent);
        world.submit(QUEUE, step(40, 1_000));
        world.run(200);
        String urgentJob = world.submit(urgent, step(4, 300));
        world.runUntilEnded(3_000, urgentJob);
        world.assertCompleted(urgentJob);
        assertTrue(world.endedAt.get(urgentJob) < 1_200 + 1_800, "" + world.endedAt.get(urgentJob));
    }

    @Test
    void aJobThatCannotMeetItsObjectiveYieldsToOneThatCan() {
        DispatchSimulation world = new DispatchSimulation(1, 1, CAPACITY);
        String lateJob = world.submit(QUEUE, step(64, 1_000));
        world.run(3_500);
        String newJob = world.submit(QUEUE, step(8, 500));
        world.runUntilEnded(20_000, lateJob, newJob);
        world.assertCompleted(lateJob, newJob);
        assertTrue(world.endedAt.get(newJob) < world.endedAt.get(lateJob));
    }
}
