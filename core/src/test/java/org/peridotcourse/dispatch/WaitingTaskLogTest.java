package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.peridotcourse.Resources;

/**
 * Guards against waits that the log does not explain, and against a log that grows with the number
 * of waiting tasks.
 */
class WaitingTaskLogTest {
    private static final Resources CAPACITY = Resources.of(8_000, 64_000);
    private static final QueueRules QUEUE = DispatchSimulation.queue("q", 1, 3);

    private final DispatchSimulation world = new DispatchSimulation(1, 4, CAPACITY);

    private List<Decision> reports() {
        return world.decisions.stream()
                .filter(decision -> decision.kind() == Decision.Kind.TASK_WAITS)
                .toList();
    }

    @Test
    void theReportOfAWaitingTaskCountsWorkersByBlocker() {
        world.workers.get("w0").labels = List.of("rare");
        world.workers.get("w1").draining = true;
        world.workers.get("w2").crash();
        world.refreshWorkerList();
        world.run(2_000);
        Optional<String> rare = Optional.of("rare");
        world.submit(QUEUE, DispatchOwnerTest.step(1, 8_000, 9_000).requiredLabel(rare).build());
        world.run(100);
        world.submit(QUEUE, DispatchOwnerTest.step(1, 1_000, 200).requiredLabel(rare).build());
        world.run(3_000);
        assertEquals(1, reports().size());
        String detail = reports().get(0).detail();
        assertTrue(detail.contains("workers=4"), detail);
        assertTrue(detail.endsWith("not-counted=1 draining=1 label=1 no-room=1"), detail);
    }

    @Test
    void hundredsOfWaitingJobsAreReportedAtMostTwiceASecond() {
        for (int i = 0; i < 300; i++) {
            world.submit(QUEUE, DispatchOwnerTest.step(4, 1_000, 4_000).build());
        }
        world.run(10_000);
        int count = reports().size();
        assertTrue(count >= 8 && count <= 20, "reports " + count);
    }
}
