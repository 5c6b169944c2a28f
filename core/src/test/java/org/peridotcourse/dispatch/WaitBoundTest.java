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
 * while random faults occur, and {@link WaitCheck} checks after each tick, also in the fault-free
 * phase after the faults.
 */
class WaitBoundTest {
    private static final Resources CAPACITY = Resources.of(8_000, 64_000);
    private static final QueueRules QUEUE = DispatchSimulation.queue("q", 1, 3);
    private static final QueueRules URGENT = DispatchSimulation.queue("urgent", 0, 2);
    private static final String RARE = "rare";
    private static final int WORKERS = 8;
    private static final int RARE_WORKERS = 3;
    private static final long FAULT_PHASE_MILLIS = 20_000;
    private static final long FAULT_FREE_PHASE_MILLIS = 25_000;

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
        private final DispatchSimulation simulation;
        private final WaitCheck waits;
        private final List<FakeWorker> workers;
        private final Set<String> failingJobs = new HashSet<>();
        private long earlierOwnerMayOrderUntil;
        private long lateOrdersPossibleUntil;

        RandomScenario(long seed) {
            random = new Random(seed);
            simulation = new DispatchSimulation(seed, WORKERS, CAPACITY);
            simulation.setQueues(QUEUE, URGENT);
            waits = simulation.startWaitCheck();
            workers = new ArrayList<>(simulation.workers.values());
            for (int i = 0; i < WORKERS; i++) {
                FakeWorker worker = workers.get(i);
                worker.failingTasks = task -> failingJobs.contains(task.job());
                worker.labels = i < RARE_WORKERS ? List.of("a", RARE) : List.of("a", "r1");
            }
            simulation.refreshWorkerList();
        }

        void run() {
            submitLasting();
            long end = simulation.now + FAULT_PHASE_MILLIS;
            while (simulation.now < end) {
                submit();
                if (random.nextInt(3) == 0) {
                    injectFault();
                }
                advance(100 + random.nextInt(900));
            }
            endFaults();
            long endOfFaultFreePhase = simulation.now + FAULT_FREE_PHASE_MILLIS;
            while (simulation.now < endOfFaultFreePhase) {
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
            for (int i = 0; i < simulation.decisions.size(); i++) {
                text.append('\n').append(simulation.decidedAt.get(i)).append(' ');
                text.append(simulation.decisions.get(i));
            }
            return text.toString();
        }

        private void advance(long millis) {
            if (simulation.now < earlierOwnerMayOrderUntil) {
                waits.onFault();
            }
            simulation.refreshWorkerList();
            simulation.run(millis);
        }

        private void submitLasting() {
            simulation.submit(QUEUE, step(3, 0).lasting(true).build());
            simulation.submit(QUEUE, step(2, 0).lasting(true).maxPerWorker(1).build());
            simulation.submit(URGENT, step(2, 0).lasting(true).requiredLabel(rare()).build());
            simulation.submit(
                    QUEUE,
                    step(2, 0).lasting(true).image(image("web")).latencyTargetMillis(50).build());
        }

        private void submit() {
            QueueRules queue = random.nextInt(4) == 0 ? URGENT : QUEUE;
            long millis = 200 + random.nextInt(1_500);
            int count = 1 + random.nextInt(5);
            String job =
                    switch (random.nextInt(8)) {
                        case 0 -> simulation.submit(queue, step(2, millis).gang(true).build());
                        case 1 ->
                                simulation.submit(
                                        queue, step(count, millis).speculative(true).build());
                        case 2 ->
                                simulation.submit(
                                        queue, step(count, millis).requiredLabel(rare()).build());
                        case 3 -> simulation.submit(queue, step(2, millis).maxPerWorker(1).build());
                        case 4 ->
                                simulation.submit(
                                        queue,
                                        step(count, millis)
                                                .filling(true)
                                                .image(image("sort"))
                                                .build());
                        case 5 -> simulation.submit(queue, step(1, 6_000).build());
                        default ->
                                simulation.submit(
                                        queue,
                                        step(count, millis).checkpointing(true).build(),
                                        step(2, 300).predecessors(List.of(0)).build());
                    };
            if (random.nextInt(6) == 0) {
                failingJobs.add(job);
            }
        }

        private void injectFault() {
            FakeWorker worker = workers.get(random.nextInt(WORKERS));
            waits.onFault();
            int kind = random.nextInt(11);
            simulation.recordFault("fault " + kind + " " + worker.id);
            switch (kind) {
                case 0 -> worker.failAfterMillis = 20;
                case 1 -> worker.runsStall = true;
                case 2 -> worker.slowdown = 8;
                case 3 -> worker.crash();
                case 4 -> restart(worker);
                case 5 -> worker.draining = true;
                case 6 -> simulation.unreachableWorkers.add(worker.id);
                case 7 -> toggleLateOrders();
                case 8 -> replaceOwner();
                case 9 -> simulation.storeDown = !simulation.storeDown;
                default -> repair(worker);
            }
        }

        /**
         * Restarts a worker unless a late order could reach its next incarnation. That case is not
         * tested here.
         */
        private void restart(FakeWorker worker) {
            if (simulation.now >= lateOrdersPossibleUntil) {
                worker.restart(simulation.now);
            }
        }

        private void toggleLateOrders() {
            simulation.lateOrderShare = simulation.lateOrderShare > 0 ? 0 : 0.2;
            lateOrdersPossibleUntil =
                    simulation.lateOrderShare > 0
                            ? Long.MAX_VALUE
                            : simulation.now + MAX_ORDER_DELAY_MILLIS;
        }

        private void replaceOwner() {
            if (random.nextBoolean()) {
                workers.get(random.nextInt(WORKERS)).crash();
            }
            earlierOwnerMayOrderUntil = simulation.now + random.nextInt((int) OWNERSHIP_MILLIS);
            simulation.takeOver(earlierOwnerMayOrderUntil);
            if (random.nextBoolean()) {
                simulation.run(500);
                simulation.owner.onEarlierOwnersEnded(simulation.now);
                earlierOwnerMayOrderUntil = simulation.now;
            }
        }

        private void repair(FakeWorker worker) {
            worker.failAfterMillis = 0;
            worker.runsStall = false;
            worker.slowdown = 1;
            worker.draining = false;
            simulation.unreachableWorkers.remove(worker.id);
            if (!worker.up) {
                restart(worker);
            }
        }

        /** Ends all injected faults, except that some workers continue to fail or stay down. */
        private void endFaults() {
            waits.onFault();
            simulation.unreachableWorkers.clear();
            simulation.lateOrderShare = 0;
            simulation.storeDown = false;
            for (FakeWorker worker : workers) {
                if (random.nextInt(3) > 0) {
                    repair(worker);
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
