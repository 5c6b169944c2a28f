package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.peridotcourse.Resources;

/**
 * Guards against starts beyond the capacity of a worker that accepts every start, after its
 * capacity has shrunk. {@link DispatchSimulation} checks it at each start.
 */
class ChangingCapacityTest {
    private static final Resources FULL = Resources.of(16_000, 64_000);
    private static final Resources SHRUNK = Resources.of(5_000, 64_000);
    private static final Resources NONE = Resources.of(0, 0);
    private static final QueueRules QUEUE = DispatchSimulation.queue("q", 1, 3);
    private static final QueueRules URGENT = DispatchSimulation.queue("urgent", 0, 3);

    private static void setCapacity(DispatchSimulation simulation, Resources capacity) {
        simulation.workers.values().forEach(worker -> worker.capacity = capacity);
        simulation.refreshWorkerList();
    }

    private static StepSpec.Builder step(int count, long millis) {
        return DispatchOwnerTest.step(count, 1_000, millis);
    }

    /**
     * A worker whose capacity had shrunk below what ran there got more starts, also of urgent tasks
     * for which others are stopped, of gangs, and by a successor. Rule LIMIT of the users.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void aShrunkWorkerIsNotOverloadedAndIsUsedAgainAfterItGrew(long seed) {
        DispatchSimulation simulation = new DispatchSimulation(seed, 4, FULL);
        simulation.setQueues(QUEUE, URGENT);
        simulation.workers.values().forEach(worker -> worker.guardsCapacity = false);
        String lasting = simulation.submit(QUEUE, step(24, 0).lasting(true).build());
        String first = simulation.submit(QUEUE, step(80, 1_500).build());
        simulation.run(1_000);
        setCapacity(simulation, seed % 2 == 0 ? SHRUNK : NONE);
        String urgent = simulation.submit(URGENT, step(10, 700).build());
        String gang = simulation.submit(URGENT, step(6, 700).gang(true).build());
        simulation.run(2_000);
        if (seed > 3) {
            simulation.takeOver(simulation.now);
        }
        simulation.run(6_000);
        setCapacity(simulation, FULL);
        simulation.runUntilEnded(30_000, first, urgent, gang);
        simulation.assertCompleted(first, urgent, gang);
        assertEquals(JobState.RUNNING, simulation.state(lasting));
        int runs = simulation.workers.values().stream().mapToInt(w -> w.active.size()).sum();
        assertTrue(runs >= 24, () -> runs + " of 24 lasting tasks run");
    }

    /** A start that waited to be recorded was sent although the worker had shrunk meanwhile. */
    @Test
    void aRecordedStartIsNotSentToAWorkerThatHasShrunk() {
        DispatchSimulation simulation = new DispatchSimulation(1, 1, FULL);
        simulation.workers.values().forEach(worker -> worker.guardsCapacity = false);
        String job = simulation.submit(QUEUE, step(1, 700).build());
        TaskRef task = new TaskRef(job, 0, 0, 0);
        simulation.crashingTasks = task::equals;
        while (simulation.count(Decision.Kind.START_RECORDED) == 0) {
            // The next start waits for the store, which is too slow to record it.
            simulation.storeDown = simulation.crashes.containsKey(task);
            simulation.run(10);
        }
        setCapacity(simulation, NONE);
        simulation.run(4_000);
        assertEquals(1, simulation.crashes.get(task));
        setCapacity(simulation, FULL);
        simulation.storeDown = false;
        simulation.runUntilEnded(30_000, job);
        assertEquals(JobState.FAILED, simulation.state(job));
    }
}
