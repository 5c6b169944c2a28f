package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.peridotcourse.Resources;

/**
 * Guards the processor time that an owner of a large fleet uses during a burst of jobs.
 *
 * <p>The load has the pattern of scenario rutas-flipper-large: 258 workers, twenty wide serving
 * jobs, a steady stream of small urgent jobs, and a burst of wide two-step filling jobs of many
 * images that queue for capacity. In that scenario, the owner computed the costs of all workers for
 * each task of each waiting step after each report. It could not keep up, and the list of waiting
 * jobs that it published was seconds old.
 */
class LargeFleetLoadTest {
    private static final int WORKERS = 258;
    private static final Resources CAPACITY = Resources.of(16_000, 64_000, 0);
    private static final QueueRules URGENT_QUEUE = DispatchSimulation.queue("parts", 0, 4);
    private static final QueueRules FILLING_QUEUE = DispatchSimulation.queue("plans", 1, 4);
    private static final QueueRules SERVING_QUEUE = DispatchSimulation.queue("watch", 0, 2);
    private static final int TICKS_PER_SECOND = 10;
    private static final int BURST_START_SECOND = 4;
    private static final int BURST_END_SECOND = 9;
    private static final int SECONDS = 14;

    /** Hosts of this size get 75% of two cores, and need half of that for messages. */
    private static final double MAX_CORES = 0.75;

    private final DispatchSimulation simulation = new DispatchSimulation(7, WORKERS, CAPACITY);
    private final Random random = new Random(11);
    private final List<String> urgent = new ArrayList<>();
    private final Map<String, Long> submittedAt = new HashMap<>();

    private double tail(TaskRef task, StepSpec serving, Map<String, Double> fillShares, long now) {
        double headroom = 1 + 0.4 * Math.sin(2 * Math.PI * now / 10_000.0 + task.job().hashCode());
        for (Map.Entry<String, Double> use : fillShares.entrySet()) {
            int pairHash = (serving.image().orElse("") + use.getKey()).hashCode() & 0xff;
            headroom -= (pairHash < 80 ? 4.0 : 0.3) * use.getValue();
        }
        return Math.round(7 / Math.max(0.03, headroom));
    }

    private static StepSpec.Builder step(int count, int milliCores, long millis) {
        return StepSpec.builder(count, Resources.of(milliCores, 800, 0)).estimateMillis(millis);
    }

    private StepSpec.Builder filling() {
        return step(27, 1_800, 2_700).filling(true).image(Optional.of("f" + random.nextInt(12)));
    }

    private void submit(QueueRules queue, StepSpec... steps) {
        String id = simulation.submit(queue, steps);
        submittedAt.put(id, simulation.now);
        if (queue == URGENT_QUEUE) {
            urgent.add(id);
        }
    }

    private void submitServingJobs() {
        for (int i = 0; i < 20; i++) {
            submit(
                    SERVING_QUEUE,
                    step(24, 3_200, 0)
                            .lasting(true)
                            .latencyTargetMillis(18)
                            .maxPerWorker(i % 2)
                            .image(Optional.of("s" + i % 16))
                            .build());
        }
        simulation.run(3_000);
    }

    private void simulateSecond(boolean burst) {
        for (int tick = 0; tick < TICKS_PER_SECOND; tick++) {
            if (random.nextDouble() < 0.82) {
                submit(URGENT_QUEUE, step(8, 3_000, 800).build());
            }
            for (int i = 0; i < (burst ? 2 : 1); i++) {
                if (random.nextDouble() < 0.66) {
                    submit(
                            FILLING_QUEUE,
                            filling().build(),
                            filling().predecessors(List.of(0)).build());
                }
            }
            simulation.run(1_000 / TICKS_PER_SECOND);
        }
    }

    @Test
    void decisionsDuringABurstOfWideJobsFitOneHost() {
        simulation.tailRule = this::tail;
        simulation.setQueues(URGENT_QUEUE, FILLING_QUEUE, SERVING_QUEUE);
        submitServingJobs();
        simulation.ownerCpuNanos = 0;
        long startedAt = simulation.now;
        for (int second = 0; second < SECONDS; second++) {
            simulateSecond(second >= BURST_START_SECOND && second < BURST_END_SECOND);
        }
        double cores = simulation.ownerCpuNanos / 1e6 / (simulation.now - startedAt);
        assertTrue(cores < MAX_CORES, "cores used by decisions: " + cores);
        simulation.run(2_000);
        long objective =
                URGENT_QUEUE.objectiveMillis(new JobSpec("", List.of(urgentStep()), Schedule.ONCE));
        long late =
                urgent.stream()
                        .filter(id -> simulation.now - submittedAt.get(id) > objective)
                        .filter(id -> durationMillis(id) > objective)
                        .count();
        assertTrue(10 * late <= urgent.size(), late + " of " + urgent.size() + " are late");
    }

    private long durationMillis(String id) {
        return simulation.endedAt.getOrDefault(id, Long.MAX_VALUE) - submittedAt.get(id);
    }

    private static StepSpec urgentStep() {
        return step(8, 3_000, 800).build();
    }
}
