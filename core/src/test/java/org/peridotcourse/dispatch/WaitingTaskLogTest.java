package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.peridotcourse.Resources;

/**
 * Guards against waits whose reason is not logged, and against a log that grows with the number of
 * waiting tasks.
 */
class WaitingTaskLogTest {
    private static final Resources CAPACITY = Resources.of(8_000, 64_000);
    private static final QueueRules QUEUE = DispatchSimulation.queue("q", 1, 3);

    private final DispatchSimulation simulation = new DispatchSimulation(1, 4, CAPACITY);

    private List<Decision> loggedWaits() {
        return simulation.decisions.stream()
                .filter(decision -> decision.kind() == Decision.Kind.TASK_WAITS)
                .toList();
    }

    @Test
    void theLogOfAWaitingTaskCountsWorkersByBlocker() {
        simulation.workers.get("w0").labels = List.of("rare");
        simulation.workers.get("w1").draining = true;
        simulation.workers.get("w2").crash();
        simulation.refreshWorkerList();
        simulation.run(2_000);
        Optional<String> rare = Optional.of("rare");
        simulation.submit(
                QUEUE, DispatchOwnerTest.step(1, 8_000, 9_000).requiredLabel(rare).build());
        simulation.run(100);
        simulation.submit(QUEUE, DispatchOwnerTest.step(1, 1_000, 200).requiredLabel(rare).build());
        simulation.run(3_000);
        assertEquals(1, loggedWaits().size());
        String detail = loggedWaits().get(0).detail();
        assertTrue(detail.contains("workers=4"), detail);
        assertTrue(detail.endsWith("not-counted=1 draining=1 label=1 no-room=1"), detail);
    }

    @Test
    void hundredsOfWaitingJobsAreLoggedAtMostTwiceASecond() {
        for (int i = 0; i < 300; i++) {
            simulation.submit(QUEUE, DispatchOwnerTest.step(4, 1_000, 4_000).build());
        }
        simulation.run(10_000);
        int count = loggedWaits().size();
        assertTrue(count >= 8 && count <= 20, "log records " + count);
    }
}
