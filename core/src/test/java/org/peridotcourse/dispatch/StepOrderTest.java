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

    /**
     * Small and large jobs are submitted at once, with 1.5 times the work that the workers can do.
     */
    @Test
    void inABurstSmallJobsEndBeforeLargeOnesAndLargeOnesDoNotStarve() {
        DispatchSimulation simulation = new DispatchSimulation(1, 2, CAPACITY);
        List<String> large = new ArrayList<>();
        List<String> small = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            large.add(simulation.submit(QUEUE, step(32, 1_000)));
            small.add(simulation.submit(QUEUE, step(2, 1_000)));
        }
        simulation.runUntilEnded(30_000, large.toArray(String[]::new));
        simulation.assertCompleted(large.toArray(String[]::new));
        simulation.assertCompleted(small.toArray(String[]::new));
        long lastSmall = small.stream().mapToLong(simulation.endedAt::get).max().orElseThrow();
        long firstLarge = large.stream().mapToLong(simulation.endedAt::get).min().orElseThrow();
        assertTrue(lastSmall < firstLarge, lastSmall + " is not before " + firstLarge);
    }

    @Test
    void aQueueOfAHigherPriorityComesFirst() {
        DispatchSimulation simulation = new DispatchSimulation(1, 1, CAPACITY);
        QueueRules urgent = DispatchSimulation.queue("urgent", 0, 3);
        simulation.setQueues(QUEUE, urgent);
        simulation.submit(QUEUE, step(40, 1_000));
        simulation.run(200);
        String urgentJob = simulation.submit(urgent, step(4, 300));
        simulation.runUntilEnded(3_000, urgentJob);
        simulation.assertCompleted(urgentJob);
        assertTrue(
                simulation.endedAt.get(urgentJob) < 1_200 + 1_800,
                "" + simulation.endedAt.get(urgentJob));
    }

    @Test
    void aJobThatCannotMeetItsObjectiveYieldsToOneThatCan() {
        DispatchSimulation simulation = new DispatchSimulation(1, 1, CAPACITY);
        String lateJob = simulation.submit(QUEUE, step(64, 1_000));
        simulation.run(3_500);
        String newJob = simulation.submit(QUEUE, step(8, 500));
        simulation.runUntilEnded(20_000, lateJob, newJob);
        simulation.assertCompleted(lateJob, newJob);
        assertTrue(simulation.endedAt.get(newJob) < simulation.endedAt.get(lateJob));
    }
}
