package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.peridotcourse.Resources;

/**
 * Guards against work that waits although there is free capacity. Jobs of all kinds are submitted
 * while random faults occur, and {@link WaitCheck} checks after each tick, also in the calm phase
 * after the faults.
 */
class WaitBoundTest {
    private static final Resources CAPACITY = Resources.of(8_000, 64_000);
    private static final QueueRules QUEUE = DispatchSimulation.queue("q", 1, 3);
    private static final QueueRules URGENT = DispatchSimulation.queue("urgent", 0, 2);
    private static final String RARE = "rare";
    private static final int WORKERS = 8;
    private static final int RARE_WORKERS = 3;
    private static final long FAULT_PHASE_MILLIS = 20_000;
    private static final long CALM_PHASE_MILLIS = 25_000;

    /** How long an earlier owner may send orders to workers that its successor does not reach. */
    private static final long OWNERSHIP_MILLIS = 6_000;

    /** Longest delay of an order that is carried out late. */
    private static final long MAX_ORDER_DELAY_MILLIS = 12_100;

    /** First seed of a long manual run, for example {@code -Dwaits.first=1 -Dwaits.seeds=2000}. */
    private static final long FIRST_SEED = Long.getLong("waits.first", 1);

    private static final int SEEDS = Integer.getInteger("waits.seeds", 0);

    @Property(tries = 40, seed = "20417")
    void noJobWaitsWhileThereIsFreeCapacity(
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
        new RandomScenario(seed).run();
    }

    /** Runs the seeds that system properties select; there are none in CI. */
    @Test
    void seedsFromSystemProperties() {
        List<String> failed = new ArrayList<>();
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            RandomScenario scenario = new RandomScenario(seed);
            try {
                scenario.run();
            } catch (AssertionError e) {
                failed.add("seed " + seed + ": " + e.getMessage() + scenario.decisionTrace());
            }
        }
        assertTrue(failed.isEmpty(), failed.size() + " of " + SEEDS + "\n" + failed);
    }

    /** A random sequence of jobs and faults. */
    private static final class RandomScenario {
        private final Random random;
        private final DispatchSimulation world;
        private final WaitCheck waits;
        private final List<FakeWorker> runners;
        private final Set<String> failingJobs = new HashSet<>();
        private long earlierOwnerMayOrderUntil;
        private long lateOrdersPossibleUntil;

        RandomScenario(long seed) {
            random = new Random(seed);
            world = new DispatchSimulation(seed, WORKERS, CAPACITY);
            world.setQueues(QUEUE, URGENT);
            waits = world.startWaitCheck();
            runners = new ArrayList<>(world.workers.values());
            for (int i = 0; i < WORKERS; i++) {
                FakeWorker runner = runners.get(i);
                runner.failingTasks = task -> failingJobs.contains(task.job());
                runner.labels = i < RARE_WORKERS ? List.of("a", RARE) : List.of("a", "r1");
            }
            world.refreshWorkerList();
        }

        void run() {
            submitLasting();
            long end = world.now + FAULT_PHASE_MILLIS;
            while (world.now < end) {
                submit();
                if (random.nextInt(3) == 0) {
                    injectFault();
                }
                advance(100 + random.nextInt(900));
            }
            endFaults();
            long calmEnd = world.now + CALM_PHASE_MILLIS;
            while (world.now < calmEnd) {
                if (random.nextInt(4) == 0) {
                    submit();
                }
                advance(1_000);
            }
        }

        /**
         * Returns the decisions as text if system property {@code waits.trace} is set, else
         * nothing.
         */
        String decisionTrace() {
            if (!Boolean.getBoolean("waits.trace")) {
                return "";
            }
            StringBuilder text = new StringBuilder();
            for (int i = 0; i < world.decisions.size(); i++) {
                text.append('\n').append(world.decidedAt.get(i)).append(' ');
                text.append(world.decisions.get(i));
            }
            return text.toString();
        }

        private void advance(long millis) {
            if (world.now < earlierOwnerMayOrderUntil) {
                waits.onFault();
            }
            world.refreshWorkerList();
            world.run(millis);
        }

        private void submitLasting() {
            world.submit(QUEUE, step(3, 0).lasting(true).build());
            world.submit(QUEUE, step(2, 0).lasting(true).maxPerWorker(1).build());
            world.submit(URGENT, step(2, 0).lasting(true).requiredLabel(rare()).build());
            world.submit(
                    QUEUE,
                    step(2, 0).lasting(true).image(image("web")).latencyTargetMillis(50).build());
        }

        private void submit() {
            QueueRules queue = random.nextInt(4) == 0 ? URGENT : QUEUE;
            long millis = 200 + random.nextInt(1_500);
            int count = 1 + random.nextInt(5);
            String job =
                    switch (random.nextInt(8)) {
                        case 0 -> world.submit(queue, step(2, millis).gang(true).build());
                        case 1 ->
                                world.submit(queue, step(count, millis).speculative(true).build());
                        case 2 ->
                                world.submit(
                                        queue, step(count, millis).requiredLabel(rare()).build());
                        case 3 -> world.submit(queue, step(2, millis).maxPerWorker(1).build());
                        case 4 ->
                                world.submit(
                                        queue,
                                        step(count, millis)
                                                .filling(true)
                                                .image(image("sort"))
                                                .build());
                        case 5 -> world.submit(queue, step(1, 6_000).build());
                        default ->
                                world.submit(
                                        queue,
                                        step(count, millis).checkpointing(true).build(),
                                        step(2, 300).predecessors(List.of(0)).build());
                    };
            if (random.nextInt(6) == 0) {
                failingJobs.add(job);
            }
        }

        private void injectFault() {
            FakeWorker runner = runners.get(random.nextInt(WORKERS));
            waits.onFault();
            int kind = random.nextInt(11);
            world.recordFault("fault " + kind + " " + runner.id);
            switch (kind) {
                case 0 -> runner.failAfterMillis = 20;
                case 1 -> runner.runsStall = true;
                case 2 -> runner.slowdown = 8;
                case 3 -> runner.crash();
                case 4 -> restart(runner);
                case 5 -> runner.draining = true;
                case 6 -> world.unreachableWorkers.add(runner.id);
                case 7 -> toggleLateOrders();
                case 8 -> replaceOwner();
                case 9 -> world.storeDown = !world.storeDown;
                default -> repair(runner);
            }
        }

        /**
         * Restarts a worker unless a late order could reach its next incarnation; that is not
         * tested.
         */
        private void restart(FakeWorker runner) {
            if (world.now >= lateOrdersPossibleUntil) {
                runner.restart(world.now);
            }
        }

        private void toggleLateOrders() {
            world.lateOrderShare = world.lateOrderShare > 0 ? 0 : 0.2;
            lateOrdersPossibleUntil =
                    world.lateOrderShare > 0 ? Long.MAX_VALUE : world.now + MAX_ORDER_DELAY_MILLIS;
        }

        private void replaceOwner() {
            if (random.nextBoolean()) {
                runners.get(random.nextInt(WORKERS)).crash();
            }
            earlierOwnerMayOrderUntil = world.now + random.nextInt((int) OWNERSHIP_MILLIS);
            world.takeOver(earlierOwnerMayOrderUntil);
            if (random.nextBoolean()) {
                world.run(500);
                world.owner.onEarlierOwnersEnded(world.now);
                earlierOwnerMayOrderUntil = world.now;
            }
        }

        private void repair(FakeWorker runner) {
            runner.failAfterMillis = 0;
            runner.runsStall = false;
            runner.slowdown = 1;
            runner.draining = false;
            world.unreachableWorkers.remove(runner.id);
            if (!runner.up) {
                restart(runner);
            }
        }

        /**
         * Ends all injected faults, except that some workers continue to fail and some stay away.
         */
        private void endFaults() {
            waits.onFault();
            world.unreachableWorkers.clear();
            world.lateOrderShare = 0;
            world.storeDown = false;
            for (FakeWorker runner : runners) {
                if (random.nextInt(3) > 0) {
                    repair(runner);
                }
            }
        }

        private static StepSpec.Builder step(int count, long millis) {
            return DispatchOwnerTest.step(count, 1_000, millis);
        }

        private static Optional<String> rare() {
            return Optional.of(RARE);
        }

        private static Optional<String> image(String name) {
            return Optional.of(name);
        }
    }
}
