package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.peridotcourse.Resources;

/**
 * Owners whose process needs milliseconds for each call: it has just started on a small host, and
 * takes over the jobs of an earlier owner.
 */
class SlowOwnerTest {
    private static final int WORKERS = 33;
    private static final int LASTING_JOBS = 40;
    private static final int TASKS_PER_LASTING_JOB = 6;
    private static final int SEEDS = 40;

    /** Time after a cancellation within which no task of the job may run any more. */
    private static final long CANCEL_MILLIS = 3_200;

    private static final QueueRules URGENT = DispatchSimulation.queue("urgent", 0, 3);
    private static final QueueRules NORMAL = DispatchSimulation.queue("normal", 1, 3);
    private static final QueueRules LASTING = DispatchSimulation.queue("lasting", 2, 3);

    /**
     * Guards against tasks of a cancelled job that run on for seconds because the starts of other
     * tasks take up the new owner's time for orders.
     */
    @Test
    void tasksOfCancelledJobsAreStoppedInTimeAfterATakeover() {
        List<String> late = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            late.addAll(lateStops(seed));
        }
        assertEquals(List.of(), late);
    }

    private static List<String> lateStops(int seed) {
        Random random = new Random(seed);
        DispatchSimulation simulation = simulationBeforeTakeover(seed, random);
        List<String> lasting = lastingJobs(simulation);
        simulation.process = new OwnerProcessModel(1 + 8 * random.nextDouble());
        Map<String, Long> cancelledAt = new HashMap<>();
        simulation.takeOver(simulation.now);
        List<String> late = new ArrayList<>();
        long end = simulation.now + 8_000;
        while (simulation.now < end) {
            if (random.nextInt(10) < 4) {
                submitShortJob(simulation, random);
            }
            if (cancelledAt.size() < 10 && random.nextInt(10) < 3) {
                String job = lasting.get(random.nextInt(lasting.size()));
                if (cancelledAt.putIfAbsent(job, simulation.now) == null) {
                    simulation.cancel(job);
                }
            }
            simulation.run(50);
            addLate(seed, simulation, cancelledAt, late);
        }
        return late;
    }

    /** Records each cancelled job that has been running for too long, once. */
    private static void addLate(
            int seed,
            DispatchSimulation simulation,
            Map<String, Long> cancelledAt,
            List<String> late) {
        cancelledAt.replaceAll(
                (job, at) -> {
                    boolean isLate = simulation.now - at > CANCEL_MILLIS && simulation.hasRuns(job);
                    if (isLate) {
                        late.add("seed " + seed + " " + job + " cancelled at " + at);
                    }
                    return isLate ? Long.MAX_VALUE : at;
                });
    }

    private static DispatchSimulation simulationBeforeTakeover(int seed, Random random) {
        DispatchSimulation simulation =
                new DispatchSimulation(seed, WORKERS, Resources.of(16_000, 62_500, 0));
        simulation.setQueues(URGENT, NORMAL, LASTING);
        for (int i = 0; i < LASTING_JOBS; i++) {
            StepSpec step =
                    StepSpec.builder(TASKS_PER_LASTING_JOB, Resources.of(1_500, 256, 0))
                            .lasting(true)
                            .build();
            simulation.submit(LASTING, step);
        }
        simulation.run(3_000);
        for (int i = 0; i < 30; i++) {
            submitShortJob(simulation, random);
            simulation.run(100);
        }
        return simulation;
    }

    private static List<String> lastingJobs(DispatchSimulation simulation) {
        return simulation.jobs.values().stream()
                .filter(job -> job.queueRules().name().equals(LASTING.name()))
                .map(StoredJob::id)
                .toList();
    }

    private static void submitShortJob(DispatchSimulation simulation, Random random) {
        boolean urgent = random.nextBoolean();
        int tasks = urgent ? 2 + random.nextInt(8) : 8 + random.nextInt(12);
        long millis = urgent ? 400 + random.nextInt(800) : 1_500 + random.nextInt(2_500);
        StepSpec step =
                StepSpec.builder(tasks, Resources.of(urgent ? 1_000 : 1_800, 256, 0))
                        .estimateMillis(millis)
                        .build();
        simulation.submit(urgent ? URGENT : NORMAL, step);
    }

    /**
     * Guards against stops that are held back from a worker that is alive and whose lease call
     * failed because this owner was slow.
     */
    @Test
    void aStopIsSentToAWorkerWhoseLeaseCallFailed() {
        DispatchSimulation simulation =
                new DispatchSimulation(1, 1, Resources.of(16_000, 62_500, 0));
        StepSpec step = StepSpec.builder(2, Resources.of(1_000, 256, 0)).lasting(true).build();
        String job = simulation.submit(LASTING, step);
        simulation.run(1_000);
        simulation.owner.onLeaseCallFailed("w0", OrderReply.EXPIRED, simulation.now);
        simulation.cancel(job);
        long stops =
                simulation.owner.decide(simulation.now).stream()
                        .filter(order -> order instanceof Order.Stop)
                        .count();
        assertEquals(2, stops);
    }

    /**
     * Guards against the rest of a gang that waits until its time-out for a member whose start
     * failed.
     */
    @Test
    void theRestOfAGangIsStoppedWhenTheStartOfAMemberFails() {
        DispatchSimulation simulation =
                new DispatchSimulation(1, 1, Resources.of(16_000, 62_500, 0));
        StepSpec step =
                StepSpec.builder(3, Resources.of(1_000, 256, 0))
                        .estimateMillis(5_000)
                        .gang(true)
                        .build();
        simulation.run(100);
        simulation.submit(NORMAL, step);
        List<Order> starts = simulation.owner.decide(simulation.now);
        assertEquals(3, starts.size());
        simulation.owner.onOrderReply(starts.get(0), OrderReply.EXPIRED, simulation.now);
        long stops =
                simulation.owner.decide(simulation.now).stream()
                        .filter(order -> order instanceof Order.Stop)
                        .count();
        assertEquals(2, stops);
    }
}
