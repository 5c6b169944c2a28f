package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.peridotcourse.Resources;

/**
 * Guards against tasks that are started again although they are done, because a worker has more
 * ends than one report lists: while the store is down, ends are not acknowledged.
 */
class ManyEndsTest {
    private static final int TASKS = 1_200;
    private static final QueueRules QUEUE = DispatchSimulation.queue("q", 1, 3);

    private final DispatchSimulation simulation =
            new DispatchSimulation(7, 1, Resources.of(16_000, 64_000));

    private String submitShortTasks() {
        StepSpec step = StepSpec.builder(TASKS, Resources.of(100, 16)).estimateMillis(100).build();
        return simulation.submit(QUEUE, step);
    }

    @Test
    void noTaskIsStartedAgainWhoseEndIsNotListedYet() {
        String job = submitShortTasks();
        simulation.storeDown = true;
        simulation.run(4_500);
        simulation.storeDown = false;
        simulation.runUntilEnded(20_000, job);
        simulation.assertCompleted(job);
        assertEquals(TASKS, simulation.startCount());
    }

    /** A new owner took a worker with more ends than it listed for one that had reported. */
    @Test
    void noTaskIsStartedAgainByANewOwnerThatHasNotSeenAllEnds() {
        String job = submitShortTasks();
        simulation.storeDown = true;
        simulation.run(4_500);
        int starts = simulation.startCount();
        simulation.takeOver(simulation.now);
        simulation.run(300);
        assertEquals(starts, simulation.startCount());
        simulation.storeDown = false;
        simulation.runUntilEnded(20_000, job);
        simulation.assertCompleted(job);
        assertEquals(TASKS, simulation.startCount());
    }
}
