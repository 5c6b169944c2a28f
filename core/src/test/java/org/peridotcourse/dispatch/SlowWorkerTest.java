package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.peridotcourse.Resources;

/** Guards against stopping runs on a slow worker while no other worker can take them. */
class SlowWorkerTest {
    private static final Resources CAPACITY = Resources.of(8_000, 64_000);
    private static final QueueRules QUEUE = DispatchSimulation.queue("q", 1, 3);
    private static final String RARE = "rare";
    private static final long RUN_MILLIS = 1_600;

    private final DispatchSimulation simulation = new DispatchSimulation(1, 6, CAPACITY);
    private final FakeWorker slow = simulation.workers.get("w0");

    SlowWorkerTest() {
        slow.labels = List.of("a", RARE);
        simulation.workers.get("w1").labels = List.of("a", RARE);
        slow.slowdown = 4;
        simulation.refreshWorkerList();
        simulation.run(100);
    }

    @Test
    void aRunIsNotStoppedAsSlowWhileTheOtherWorkersAreAtTheirLimit() {
        StepSpec step =
                DispatchOwnerTest.step(12, 1_000, RUN_MILLIS)
                        .requiredLabel(Optional.of(RARE))
                        .maxPerWorker(1)
                        .build();
        String warmUp =
                simulation.submit(QUEUE, DispatchOwnerTest.step(96, 1_000, RUN_MILLIS).build());
        simulation.runUntilEnded(30_000, warmUp);
        String job = simulation.submit(QUEUE, step);
        simulation.runUntilEnded(60_000, job);
        simulation.assertCompleted(job);
        assertEquals(List.of(), tasksRestartedOnSlowWorker(job));
    }

    /** Returns the tasks of a job that were started on the slow worker more than once. */
    private List<String> tasksRestartedOnSlowWorker(String job) {
        Set<String> seen = new HashSet<>();
        return simulation.decisions.stream()
                .filter(decision -> decision.kind() == Decision.Kind.RUN_ORDERED)
                .filter(
                        decision ->
                                decision.worker().equals(slow.id)
                                        && decision.subject().startsWith(job))
                .map(decision -> decision.subject().substring(0, decision.subject().indexOf('#')))
                .filter(task -> !seen.add(task))
                .collect(Collectors.toList());
    }
}
