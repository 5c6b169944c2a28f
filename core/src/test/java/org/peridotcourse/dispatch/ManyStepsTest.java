package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.peridotcourse.Resources;

/**
 * Guards against decisions whose time is the square of the number of steps of a job: the loop that
 * makes them also answers callers and renews the ownership.
 */
class ManyStepsTest {
    private static final int STEPS = 4_000;
    private static final long SECOND_MILLIS = 1_000;

    /** The critical path of the whole job was computed for each waiting step in each round. */
    @Test
    void anOwnerDecidesOnAJobOfManyIndependentStepsInTime() {
        DispatchSimulation simulation = new DispatchSimulation(1, 4, Resources.of(8_000, 64_000));
        simulation.run(200);
        StepSpec[] steps = new StepSpec[STEPS];
        for (int i = 0; i < STEPS; i++) {
            steps[i] = DispatchOwnerTest.step(1, 1_000, 200).build();
        }
        simulation.submit(DispatchSimulation.queue("q", 1, 3), steps);
        long before = simulation.ownerCpuNanos;
        simulation.run(SECOND_MILLIS);
        long usedMillis = (simulation.ownerCpuNanos - before) / 1_000_000;
        assertTrue(
                usedMillis < SECOND_MILLIS,
                () -> usedMillis + " ms of processor for a second of decisions");
    }
}
