package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.peridotcourse.Resources;

/** Guards against starts that make the running tasks of a customer exceed its limit. */
class CustomerLimitTest {
    private static final Resources CAPACITY = Resources.of(8_000, 64_000);
    private static final QueueRules QUEUE = DispatchSimulation.queue("q", 1, 3);
    private static final QueueRules URGENT = DispatchSimulation.queue("urgent", 0, 3);
    private static final List<String> CUSTOMERS = List.of("small", "large", "free");

    /** Time after a change of the limits in which a late order is still carried out. */
    private static final long LIMIT_IN_FORCE_MILLIS = 15_000;

    private static CustomerRules rules(String name, long milliCores, long memoryMib) {
        return new CustomerRules(name, 1, Resources.of(milliCores, memoryMib));
    }

    private static StepSpec.Builder step(int count, int milliCores, long millis) {
        return DispatchOwnerTest.step(count, milliCores, millis);
    }

    /**
     * A simulation of workers, customers and faults drawn from one seed, checked after each tick.
     */
    private static final class RandomLoad {
        private final DispatchSimulation world;
        private final boolean enforced;

        /**
         * True if orders are carried out late. There are then no speculative copies and no worker
         * crashes, because a late order may start a copy after its task has ended, and because late
         * orders survive a crash in {@link DispatchSimulation}.
         */
        private final boolean lateOrders;

        private final Map<String, Deque<Limit>> limitHistory = new HashMap<>();
        private final Map<String, Resources> lastRunning = new HashMap<>();
        private final List<String> excesses = new ArrayList<>();

        private record Limit(long at, Resources resources) {}

        RandomLoad(long seed, boolean enforced) {
            this.world = new DispatchSimulation(seed, 6, CAPACITY);
            this.enforced = enforced;
            this.lateOrders = seed % 2 == 1;
            world.setQueues(QUEUE, URGENT);
            drawLimits();
        }

        private int draw(int bound) {
            return world.random.nextInt(bound);
        }

        private void drawLimits() {
            List<CustomerRules> newRules =
                    List.of(
                            rules("small", 2_000 + 1_000L * draw(5), 0),
                            rules("large", 10_000 + 1_000L * draw(10), 12_000),
                            rules("free", 0, 0));
            for (CustomerRules rules : newRules) {
                limitHistory
                        .computeIfAbsent(rules.name(), name -> new ArrayDeque<>())
                        .addLast(new Limit(world.now, rules.limit()));
            }
            if (enforced) {
                world.setCustomers(newRules);
            }
        }

        private void submit() {
            String customer = CUSTOMERS.get(draw(CUSTOMERS.size()));
            QueueRules queue = draw(3) == 0 ? URGENT : QUEUE;
            int milliCores = 500 * (1 + draw(4));
            StepSpec.Builder step = step(1 + draw(5), milliCores, 300 + draw(3_000));
            switch (draw(6)) {
                case 0:
                    step.gang(true);
                    break;
                case 1:
                    step.speculative(!lateOrders);
                    break;
                case 2:
                    step.checkpointing(true);
                    break;
                case 3:
                    step.filling(true);
                    break;
                default:
                    break;
            }
            world.submit(customer, queue, step.build());
        }

        private void submitLasting() {
            String customer = CUSTOMERS.get(draw(CUSTOMERS.size()));
            world.submit(customer, QUEUE, step(2, 500, 1_000).lasting(true).build());
        }

        private void cancelRandomJob() {
            List<String> ids = new ArrayList<>(world.jobs.keySet());
            if (!ids.isEmpty()) {
                world.cancel(ids.get(draw(ids.size())));
            }
        }

        private void injectFault() {
            String worker = "w" + draw(world.workers.size());
            switch (draw(12)) {
                case 0:
                    world.takeOver(world.now);
                    break;
                case 1:
                    world.unreachableWorkers.add(worker);
                    break;
                case 2, 3:
                    world.unreachableWorkers.clear();
                    break;
                case 4:
                    if (!lateOrders) {
                        world.workers.get(worker).crash();
                    }
                    break;
                case 5:
                    world.workers.values().stream()
                            .filter(runner -> !runner.up)
                            .forEach(runner -> runner.restart(world.now));
                    break;
                case 6:
                    drawLimits();
                    break;
                case 7, 8:
                    cancelRandomJob();
                    break;
                case 9:
                    submitLasting();
                    break;
                case 10:
                    world.lateOrderShare = lateOrders && world.lateOrderShare == 0 ? 0.3 : 0;
                    break;
                default:
                    world.workers.get(worker).slowdown = 1 + 3 * draw(2);
                    break;
            }
        }

        void run(int rounds) {
            for (int round = 0; round < rounds; round++) {
                for (int i = draw(5); i > 0; i--) {
                    submit();
                }
                if (draw(3) == 0) {
                    injectFault();
                }
                for (int tick = 5 + draw(40); tick > 0; tick--) {
                    world.run(DispatchSimulation.TICK_MILLIS);
                    checkUsage();
                    CUSTOMERS.forEach(this::checkLimit);
                }
            }
        }

        /** Growth is allowed up to the largest limit that an order in flight may be based on. */
        private void checkLimit(String customer) {
            Deque<Limit> history = limitHistory.get(customer);
            while (history.size() > 1 && second(history).at() < world.now - LIMIT_IN_FORCE_MILLIS) {
                history.removeFirst();
            }
            Resources largest = Resources.ZERO;
            for (Limit limit : history) {
                largest = largest.max(limit.resources());
            }
            Resources running = world.demandOfRunningTasks(customer);
            Resources earlier = lastRunning.getOrDefault(customer, Resources.ZERO);
            lastRunning.put(customer, running);
            if (exceeds(running.milliCores(), earlier.milliCores(), largest.milliCores(), 2_000)
                    || exceeds(
                            running.memoryMib(), earlier.memoryMib(), largest.memoryMib(), 2_000)) {
                excesses.add(customer + " runs " + running + " of " + largest);
            }
        }

        private static Limit second(Deque<Limit> history) {
            return history.stream().skip(1).findFirst().orElseThrow();
        }

        private static boolean exceeds(long running, long earlier, long limit, long task) {
            return limit > 0 && running > earlier && running > limit * 11 / 10 + task;
        }

        private void checkUsage() {
            OwnerState state = world.owner.state();
            Map<String, Resources> recount = new HashMap<>();
            for (Worker worker : state.workers.values()) {
                for (Run run : worker.runs.values()) {
                    run.task
                            .job()
                            .customer
                            .ifPresent(
                                    name ->
                                            recount.merge(
                                                    name, run.spec().resources(), Resources::plus));
                }
            }
            assertEquals(recount, state.usage.snapshot());
        }
    }

    @Property(tries = 40, seed = "5501")
    void noStartBringsACustomerAboveItsLimitUnderFaults(
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
        RandomLoad load = new RandomLoad(seed, true);
        load.run(60);
        assertEquals(List.of(), load.excesses);
    }

    /** Checks that the property can fail: the same load exceeds limits that are not enforced. */
    @Property(tries = 10, seed = "5501")
    void theSameLoadExceedsLimitsThatAreNotEnforced(
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
        RandomLoad load = new RandomLoad(seed, false);
        load.run(60);
        assertFalse(load.excesses.isEmpty());
    }

    @Test
    void aCustomerUsesItsWholeLimitAndDelaysNoOtherCustomer() {
        DispatchSimulation world = new DispatchSimulation(3, 4, CAPACITY);
        world.setCustomers(List.of(rules("small", 3_000, 0), rules("other", 0, 0)));
        world.run(500);
        String limitedJob = world.submit("small", QUEUE, step(12, 1_000, 1_000).build());
        String unlimitedJob = world.submit("other", QUEUE, step(12, 1_000, 1_000).build());
        world.run(500);
        assertEquals(3_000, world.demandOfRunningTasks("small").milliCores());
        assertEquals(12_000, world.demandOfRunningTasks("other").milliCores());
        assertEquals(1, world.count(Decision.Kind.CUSTOMER_AT_LIMIT));
        assertEquals(1, world.owner.metrics(world.now).customersAtLimit());
        world.runUntilEnded(10_000, limitedJob, unlimitedJob);
        world.assertCompleted(limitedJob, unlimitedJob);
        world.run(2_000);
        assertEquals(1, world.count(Decision.Kind.CUSTOMER_BELOW_LIMIT));
        assertEquals(0, world.owner.metrics(world.now).customersAtLimit());
    }

    @Test
    void aGangStartsWholeOnceTheLimitAllowsIt() {
        DispatchSimulation world = new DispatchSimulation(3, 4, CAPACITY);
        world.setCustomers(List.of(rules("small", 4_000, 0)));
        world.run(500);
        world.submit("small", QUEUE, step(1, 1_000, 1_500).build());
        String gang = world.submit("small", QUEUE, step(4, 1_000, 500).gang(true).build());
        world.run(700);
        assertFalse(world.hasRuns(gang));
        world.runUntilEnded(5_000, gang);
        world.assertCompleted(gang);
    }

    @Test
    void noRunIsPreemptedForATaskBlockedByItsLimit() {
        DispatchSimulation world = new DispatchSimulation(3, 1, CAPACITY);
        world.setQueues(QUEUE, URGENT);
        world.setCustomers(List.of(rules("small", 1_000, 0), rules("other", 0, 0)));
        world.run(500);
        world.submit("small", URGENT, step(4, 1_000, 3_000).build());
        world.submit("other", QUEUE, step(7, 1_000, 4_000).build());
        world.run(3_000);
        assertEquals(0, world.count(Decision.Kind.RUN_STOPPED));
    }

    @Test
    void aCopyOfASlowRunWaitsForTheLimit() {
        DispatchSimulation world = new DispatchSimulation(3, 4, CAPACITY);
        world.setCustomers(List.of(rules("small", 4_000, 0)));
        world.run(500);
        world.workers.get("w0").slowdown = 30;
        world.submit("small", QUEUE, step(4, 1_000, 500).speculative(true).build());
        world.submit("small", QUEUE, step(3, 1_000, 20_000).build());
        world.run(4_000);
        assertEquals(4_000, world.demandOfRunningTasks("small").milliCores());
        assertEquals(0, copies(world));
        world.setCustomers(List.of(rules("small", 5_000, 0)));
        world.run(500);
        assertEquals(1, copies(world));
    }

    private static long copies(DispatchSimulation world) {
        return world.decisions.stream()
                .filter(decision -> decision.kind() == Decision.Kind.RUN_ORDERED)
                .filter(decision -> decision.detail().startsWith("copy"))
                .count();
    }

    /**
     * The new owner must not assume that the runs of an unreachable worker have ended before its
     * leases expire.
     */
    @Test
    void aNewOwnerChargesTheCapacityOfAnUnreachableWorker() {
        DispatchSimulation world = new DispatchSimulation(3, 4, CAPACITY);
        world.setCustomers(List.of(rules("small", 8_000, 0)));
        world.run(500);
        world.submit("small", QUEUE, step(8, 1_000, 4_000).build());
        world.run(300);
        assertEquals(8_000, world.demandOfRunningTasks("small").milliCores());
        world.unreachableWorkers.add("w0");
        world.takeOver(world.now);
        String newJob = world.submit("small", QUEUE, step(2, 1_000, 3_000).build());
        world.run(1_500);
        assertFalse(world.hasRuns(newJob));
        world.runUntilEnded(12_000, newJob);
        world.assertCompleted(newJob);
    }

    /** Runs of a job cancelled under the earlier owner count until their stop is confirmed. */
    @Test
    void runsOfACancelledJobCountUntilTheyEnd() {
        DispatchSimulation world = new DispatchSimulation(3, 4, CAPACITY);
        world.setCustomers(List.of(rules("small", 4_000, 0)));
        world.run(500);
        String ended = world.submit("small", QUEUE, step(4, 1_000, 20_000).build());
        world.run(500);
        world.cancel(ended);
        world.lateOrderShare = 1;
        world.takeOver(world.now);
        String next = world.submit("small", QUEUE, step(4, 1_000, 500).build());
        world.run(1_000);
        assertTrue(world.hasRuns(ended));
        assertFalse(isOrdered(world, next));
        world.lateOrderShare = 0;
        world.runUntilEnded(10_000, next);
        world.assertCompleted(next);
    }

    private static boolean isOrdered(DispatchSimulation world, String job) {
        return world.decisions.stream()
                .filter(decision -> decision.kind() == Decision.Kind.RUN_ORDERED)
                .anyMatch(decision -> decision.subject().startsWith(job));
    }

    /** A customer below half its limit must not wait for one unreachable worker. */
    @Test
    void oneUnreachableWorkerOfManyDoesNotBlockACustomerBelowHalfItsLimit() {
        DispatchSimulation world = new DispatchSimulation(3, 246, CAPACITY);
        world.setCustomers(List.of(rules("large", 100_000, 0)));
        world.run(500);
        world.submit("large", QUEUE, step(40, 1_000, 20_000).build());
        world.run(500);
        world.unreachableWorkers.add("w0");
        world.takeOver(world.now);
        String newJob = world.submit("large", QUEUE, step(8, 1_000, 20_000).lasting(true).build());
        world.run(1_000);
        assertTrue(world.hasRuns(newJob));
    }

    @Test
    void jobsWithoutACustomerHaveNoLimit() {
        DispatchSimulation world = new DispatchSimulation(3, 1, CAPACITY);
        world.setCustomers(List.of(rules("small", 1_000, 0)));
        world.submit(QUEUE, step(8, 1_000, 2_000).build());
        world.run(500);
        assertEquals(Optional.empty(), world.jobs.values().iterator().next().customer());
        assertEquals(
                Resources.of(8_000, 0).milliCores(),
                world.workers.get("w0").reserved().milliCores());
    }

    @Test
    void aTaskLargerThanTheLimitOfItsCustomerRunsAlone() {
        DispatchSimulation world = new DispatchSimulation(5, 4, CAPACITY);
        world.setCustomers(List.of(new CustomerRules("small", 1, Resources.of(500, 0))));
        String job = world.submit("small", QUEUE, step(2, 1_000, 500).build());
        world.runUntilEnded(20_000, job);
        world.assertCompleted(job);
    }

    /** Only inherited tasks of the customer can be on the crashed worker, and it has none. */
    @Test
    void aNewJobOfALimitedCustomerDoesNotWaitForACrashedWorker() {
        DispatchSimulation world = new DispatchSimulation(5, 6, CAPACITY);
        world.setCustomers(List.of(new CustomerRules("small", 1, Resources.of(10_000, 0))));
        world.run(1_000);
        world.workers.get("w0").crash();
        world.takeOver(world.now + 8_000);
        world.run(500);
        String job = world.submit("small", QUEUE, step(2, 1_000, 500).build());
        long began = world.now;
        world.runUntilEnded(20_000, job);
        assertTrue(world.now - began < 5_000, "waited " + (world.now - began));
    }
}
