package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.peridotcourse.Resources;

/**
 * Searches for serving tasks that stay over their latency target because of filling tasks that work
 * on beside them, while orders are lost and owners change. It judges by what the workers run.
 */
class HarmSearchTest {
    private static final Resources CAPACITY = Resources.of(16_000, 64_000, 0);
    private static final QueueRules QUEUE = DispatchSimulation.queue("q", 1, 3);
    private static final long TARGET_MILLIS = 18;
    private static final double MEAN_TAIL_MILLIS = 7.3;
    private static final double PERIOD_MILLIS = 10_000;
    private static final List<String> SERVING = List.of("A", "B", "C");
    private static final List<String> FILLING = List.of("u", "v", "w", "x", "y", "z");
    private static final int SEEDS = 200;
    private static final long RUN_MILLIS = 20_000;

    /** Longest time over the target beside working filling tasks, as the users require. */
    private static final long MAX_HARM_MILLIS = 4_000;

    /** Ticks of the half second over which workers measure tail latencies. */
    private static final int SAMPLES_PER_REPORT = 50;

    /** One drawn day. */
    private static final class Search {
        final Random random;
        final DispatchSimulation simulation;
        final double amplitude;
        final double lostShare;
        final Map<String, Double> coefficients = new HashMap<>();
        final Map<TaskRef, Long> harmedSince = new HashMap<>();
        final Map<TaskRef, Deque<Double>> recentTails = new HashMap<>();
        long longestHarmMillis;

        Search(int seed) {
            random = new Random(seed);
            simulation = new DispatchSimulation(seed, 3 + random.nextInt(4), CAPACITY);
            amplitude = 0.2 + 0.25 * random.nextDouble();
            lostShare = random.nextInt(4) == 0 ? 0 : 0.85 * random.nextDouble();
            for (String serving : SERVING) {
                for (String filling : FILLING) {
                    boolean strong = random.nextInt(3) == 0;
                    coefficients.put(
                            serving + "/" + filling, strong ? 2 + 6 * random.nextDouble() : 0.3);
                }
            }
            simulation.tailRule = this::tail;
        }

        private double headroom(TaskRef task, StepSpec serving, Map<String, Double> fillShares) {
            double phase = task.job().hashCode();
            double angle = 2 * Math.PI * simulation.now / PERIOD_MILLIS + phase;
            double headroom = 1 + amplitude * Math.sin(angle);
            for (Map.Entry<String, Double> use : fillShares.entrySet()) {
                String pair = serving.image().orElse("") + "/" + use.getKey();
                headroom -= coefficients.get(pair) * use.getValue();
            }
            return headroom;
        }

        private double tail(
                TaskRef task, StepSpec serving, Map<String, Double> fillShares, long now) {
            double alone = tailOf(headroom(task, serving, Map.of()));
            double tail = tailOf(headroom(task, serving, fillShares));
            if (tail > TARGET_MILLIS && alone <= TARGET_MILLIS) {
                long since = harmedSince.computeIfAbsent(task, absent -> now);
                longestHarmMillis = Math.max(longestHarmMillis, now - since);
            } else {
                harmedSince.remove(task);
            }
            return Math.round(reported(task, tail));
        }

        /** Returns the mean of the last half second, which workers report. */
        private double reported(TaskRef task, double tail) {
            Deque<Double> recent = recentTails.computeIfAbsent(task, key -> new ArrayDeque<>());
            recent.addLast(tail);
            if (recent.size() > SAMPLES_PER_REPORT) {
                recent.removeFirst();
            }
            return recent.stream().mapToDouble(Double::doubleValue).average().orElse(tail);
        }

        private static double tailOf(double headroom) {
            return MEAN_TAIL_MILLIS / Math.max(0.03, headroom);
        }

        void run() {
            for (int i = 0; i < 3; i++) {
                simulation.submit(
                        QUEUE,
                        step(2 + random.nextInt(5), 3_000, 0)
                                .lasting(true)
                                .latencyTargetMillis(TARGET_MILLIS)
                                .image(Optional.of(SERVING.get(i)))
                                .build());
            }
            simulation.run(1_000 + random.nextInt(2_000));
            if (random.nextInt(3) == 0) {
                simulation.process = new OwnerProcessModel(25 * random.nextDouble());
            }
            long takeoverAt = random.nextInt(2) * (4_000L + random.nextInt(10_000));
            long end = simulation.now + RUN_MILLIS;
            boolean orderly = true;
            while (simulation.now < end) {
                if (random.nextInt(2) == 0) {
                    submitFilling();
                }
                // Orders are lost in bursts, as those of a process that is busy for seconds.
                orderly = random.nextInt(3) == 0 ? !orderly : orderly;
                double share = orderly ? 0 : lostShare;
                simulation.isLost =
                        order -> !(order instanceof Order.Start) && random.nextDouble() < share;
                if (takeoverAt > 0 && simulation.now >= takeoverAt) {
                    takeoverAt = 0;
                    simulation.takeOver(simulation.now);
                }
                simulation.run(500);
            }
        }

        private void submitFilling() {
            String image = FILLING.get(random.nextInt(FILLING.size()));
            simulation.submit(
                    QUEUE,
                    step(2 + random.nextInt(12), 1_000 + random.nextInt(2_000), millis())
                            .filling(true)
                            .image(Optional.of(image))
                            .build());
        }

        private long millis() {
            return 1_500 + random.nextInt(4_000);
        }

        private static StepSpec.Builder step(int count, int milliCores, long millis) {
            return StepSpec.builder(count, Resources.of(milliCores, 500, 0)).estimateMillis(millis);
        }
    }

    /**
     * Before lost paces were ordered again at once, a serving task was harmed for 4,340 ms on the
     * day of seed 197.
     */
    @Test
    void fillingTasksDoNotHoldServingTasksOverTheirTargets() {
        List<String> harmed = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            Search search = new Search(seed);
            search.run();
            if (search.longestHarmMillis >= MAX_HARM_MILLIS) {
                harmed.add("seed " + seed + " for " + search.longestHarmMillis + " ms");
            }
        }
        assertEquals(List.of(), harmed);
    }
}
