package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.peridotcourse.Resources;

/** Guards against speculative copies that are started because of inaccurate estimates. */
class DurationPredictorTest {
    private static final Resources CAPACITY = Resources.of(64_000, 640_000);
    private static final QueueRules QUEUE = DispatchSimulation.queue("q", 1, 3);

    /** Tasks take twenty times as long as estimated, so that every run seems slow. */
    @Test
    void inaccurateEstimatesStartNoCopies() {
        DispatchSimulation simulation = new DispatchSimulation(1, 4, CAPACITY);
        simulation.runMillis = step -> 20 * step.estimateMillis();
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            ids.add(
                    simulation.submit(
                            QUEUE, DispatchOwnerTest.step(4, 1_000, 60).speculative(true).build()));
        }
        simulation.runUntilEnded(10_000, ids.toArray(String[]::new));
        simulation.assertCompleted(ids.toArray(String[]::new));
        assertEquals(40, simulation.startCount());
    }

    @Test
    void aRunMuchSlowerThanOthersOfItsStepGetsACopy() {
        DispatchSimulation simulation = new DispatchSimulation(1, 4, CAPACITY);
        simulation.workers.get("w0").slowdown = 30;
        String id =
                simulation.submit(
                        QUEUE, DispatchOwnerTest.step(8, 1_000, 500).speculative(true).build());
        simulation.runUntilEnded(6_000, id);
        simulation.assertCompleted(id);
        assertTrue(simulation.startCount() > 8, "starts " + simulation.startCount());
    }
}
