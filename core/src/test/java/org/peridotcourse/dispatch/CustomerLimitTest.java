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
        private final DispatchSimulation simulation;
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
            this.simulation = new DispatchSimulation(seed, 6, CAPACITY);
            this.enforced = enforced;
            this.lateOrders = seed % 2 == 1;
            simulation.setQueues(QUEUE, URGENT);
            drawLimits();
        }

        private int draw(int bound) {
            return simulation.random.nextInt(bound);
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
                        .addLast(new Limit(simulation.now, rules.limit()));
            }
            if (enforced) {
                simulation.setCustomers(newRules);
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
            simulation.submit(customer, queue, step.build());
        }

        private void submitLasting() {
            String customer = CUSTOMERS.get(draw(CUSTOMERS.size()));
            simulation.submit(customer, QUEUE, step(2, 500, 1_000).lasting(true).build());
        }

        private void cancelRandomJob() {
            List<String> ids = new ArrayList<>(simulation.jobs.keySet());
            if (!ids.isEmpty()) {
                simulation.cancel(ids.get(draw(ids.size())));
            }
        }

        private void injectFault() {
            String workerId = "w" + draw(simulation.workers.size());
            switch (draw(12)) {
                case 0:
                    simulation.takeOver(simulation.now);
                    break;
                case 1:
                    simulation.unreachableWorkers.add(workerId);
                    break;
                case 2, 3:
                    simulation.unreachableWorkers.clear();
                    break;
                case 4:
                    if (!lateOrders) {
                        simulation.workers.get(workerId).crash();
                    }
                    break;
                case 5:
                    simulation.workers.values().stream()
                            .filter(worker -> !worker.up)
                            .forEach(worker -> worker.restart(simulation.now));
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
                    simulation.lateOrderShare =
                            lateOrders && simulation.lateOrderShare == 0 ? 0.3 : 0;
                    break;
                default:
                    simulation.workers.get(workerId).slowdown = 1 + 3 * draw(2);
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
                    simulation.run(DispatchSimulation.TICK_MILLIS);
                    checkUsage();
                    CUSTOMERS.forEach(this::checkLimit);
                }
            }
        }

        /** Growth is allowed up to the largest limit that an order in flight may be based on. */
        private void checkLimit(String customer) {
            Deque<Limit> history = limitHistory.get(customer);
            while (history.size() > 1
                    && second(history).at() < simulation.now - LIMIT_IN_FORCE_MILLIS) {
                history.removeFirst();
            }
            Resources largest = Resources.ZERO;
            for (Limit limit : history) {
                largest = largest.max(limit.resources());
            }
            Resources running = simulation.demandOfRunningTasks(customer);
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
            OwnerState state = simulation.owner.state();
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
        DispatchSimulation simulation = new DispatchSimulation(3, 4, CAPACITY);
        simulation.setCustomers(List.of(rules("small", 3_000, 0), rules("other", 0, 0)));
        simulation.run(500);
        String limitedJob = simulation.submit("small", QUEUE, step(12, 1_000, 1_000).build());
        String unlimitedJob = simulation.submit("other", QUEUE, step(12, 1_000, 1_000).build());
        simulation.run(500);
        assertEquals(3_000, simulation.demandOfRunningTasks("small").milliCores());
        assertEquals(12_000, simulation.demandOfRunningTasks("other").milliCores());
        assertEquals(1, simulation.count(Decision.Kind.CUSTOMER_AT_LIMIT));
        assertEquals(1, simulation.owner.metrics(simulation.now).customersAtLimit());
        simulation.runUntilEnded(10_000, limitedJob, unlimitedJob);
        simulation.assertCompleted(limitedJob, unlimitedJob);
        simulation.run(2_000);
        assertEquals(1, simulation.count(Decision.Kind.CUSTOMER_BELOW_LIMIT));
        assertEquals(0, simulation.owner.metrics(simulation.now).customersAtLimit());
    }

    @Test
    void allTasksOfAGangStartTogetherOnceTheLimitAllowsIt() {
        DispatchSimulation simulation = new DispatchSimulation(3, 4, CAPACITY);
        simulation.setCustomers(List.of(rules("small", 4_000, 0)));
        simulation.run(500);
        simulation.submit("small", QUEUE, step(1, 1_000, 1_500).build());
        String gang = simulation.submit("small", QUEUE, step(4, 1_000, 500).gang(true).build());
        simulation.run(700);
        assertFalse(simulation.hasRuns(gang));
        simulation.runUntilEnded(5_000, gang);
        simulation.assertCompleted(gang);
    }

    @Test
    void noRunIsPreemptedForATaskBlockedByItsLimit() {
        DispatchSimulation simulation = new DispatchSimulation(3, 1, CAPACITY);
        simulation.setQueues(QUEUE, URGENT);
        simulation.setCustomers(List.of(rules("small", 1_000, 0), rules("other", 0, 0)));
        simulation.run(500);
        simulation.submit("small", URGENT, step(4, 1_000, 3_000).build());
        simulation.submit("other", QUEUE, step(7, 1_000, 4_000).build());
        simulation.run(3_000);
        assertEquals(0, simulation.count(Decision.Kind.RUN_STOPPED));
    }

    @Test
    void aCopyOfASlowRunWaitsForTheLimit() {
        DispatchSimulation simulation = new DispatchSimulation(3, 4, CAPACITY);
        simulation.setCustomers(List.of(rules("small", 4_000, 0)));
        simulation.run(500);
        simulation.workers.get("w0").slowdown = 30;
        simulation.submit("small", QUEUE, step(4, 1_000, 500).speculative(true).build());
        simulation.submit("small", QUEUE, step(3, 1_000, 20_000).build());
        simulation.run(4_000);
        assertEquals(4_000, simulation.demandOfRunningTasks("small").milliCores());
        assertEquals(0, copies(simulation));
        simulation.setCustomers(List.of(rules("small", 5_000, 0)));
        simulation.run(500);
        assertEquals(1, copies(simulation));
    }

    private static long copies(DispatchSimulation simulation) {
        return simulation.decisions.stream()
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
        DispatchSimulation simulation = new DispatchSimulation(3, 4, CAPACITY);
        simulation.setCustomers(List.of(rules("small", 8_000, 0)));
        simulation.run(500);
        simulation.submit("small", QUEUE, step(8, 1_000, 4_000).build());
        simulation.run(300);
        assertEquals(8_000, simulation.demandOfRunningTasks("small").milliCores());
        simulation.unreachableWorkers.add("w0");
        simulation.takeOver(simulation.now);
        String newJob = simulation.submit("small", QUEUE, step(2, 1_000, 3_000).build());
        simulation.run(1_500);
        assertFalse(simulation.hasRuns(newJob));
        simulation.runUntilEnded(12_000, newJob);
        simulation.assertCompleted(newJob);
    }

    /** Runs of a job cancelled under the earlier owner count until their stop is confirmed. */
    @Test
    void runsOfACancelledJobCountUntilTheyEnd() {
        DispatchSimulation simulation = new DispatchSimulation(3, 4, CAPACITY);
        simulation.setCustomers(List.of(rules("small", 4_000, 0)));
        simulation.run(500);
        String ended = simulation.submit("small", QUEUE, step(4, 1_000, 20_000).build());
        simulation.run(500);
        simulation.cancel(ended);
        simulation.lateOrderShare = 1;
        simulation.takeOver(simulation.now);
        String next = simulation.submit("small", QUEUE, step(4, 1_000, 500).build());
        simulation.run(1_000);
        assertTrue(simulation.hasRuns(ended));
        assertFalse(isOrdered(simulation, next));
        simulation.lateOrderShare = 0;
        simulation.runUntilEnded(10_000, next);
        simulation.assertCompleted(next);
    }

    private static boolean isOrdered(DispatchSimulation simulation, String job) {
        return simulation.decisions.stream()
                .filter(decision -> decision.kind() == Decision.Kind.RUN_ORDERED)
                .anyMatch(decision -> decision.subject().startsWith(job));
    }

    /** A customer below half its limit must not wait for one unreachable worker. */
    @Test
    void oneUnreachableWorkerOfManyDoesNotBlockACustomerBelowHalfItsLimit() {
        DispatchSimulation simulation = new DispatchSimulation(3, 246, CAPACITY);
        simulation.setCustomers(List.of(rules("large", 100_000, 0)));
        simulation.run(500);
        simulation.submit("large", QUEUE, step(40, 1_000, 20_000).build());
        simulation.run(500);
        simulation.unreachableWorkers.add("w0");
        simulation.takeOver(simulation.now);
        String newJob =
                simulation.submit("large", QUEUE, step(8, 1_000, 20_000).lasting(true).build());
        simulation.run(1_000);
        assertTrue(simulation.hasRuns(newJob));
    }

    @Test
    void jobsWithoutACustomerHaveNoLimit() {
        DispatchSimulation simulation = new DispatchSimulation(3, 1, CAPACITY);
        simulation.setCustomers(List.of(rules("small", 1_000, 0)));
        simulation.submit(QUEUE, step(8, 1_000, 2_000).build());
        simulation.run(500);
        assertEquals(Optional.empty(), simulation.jobs.values().iterator().next().customer());
        assertEquals(
                Resources.of(8_000, 0).milliCores(),
                simulation.workers.get("w0").reserved().milliCores());
    }

    @Test
    void aTaskLargerThanTheLimitOfItsCustomerRunsAlone() {
        DispatchSimulation simulation = new DispatchSimulation(5, 4, CAPACITY);
        simulation.setCustomers(List.of(new CustomerRules("small", 1, Resources.of(500, 0))));
        String job = simulation.submit("small", QUEUE, step(2, 1_000, 500).build());
        simulation.runUntilEnded(20_000, job);
        simulation.assertCompleted(job);
    }

    /** Only inherited tasks of the customer can be on the crashed worker, and it has none. */
    @Test
    void aNewJobOfALimitedCustomerDoesNotWaitForACrashedWorker() {
        DispatchSimulation simulation = new DispatchSimulation(5, 6, CAPACITY);
        simulation.setCustomers(List.of(new CustomerRules("small", 1, Resources.of(10_000, 0))));
        simulation.run(1_000);
        simulation.workers.get("w0").crash();
        simulation.takeOver(simulation.now + 8_000);
        simulation.run(500);
        String job = simulation.submit("small", QUEUE, step(2, 1_000, 500).build());
        long submittedAt = simulation.now;
        simulation.runUntilEnded(20_000, job);
        assertTrue(
                simulation.now - submittedAt < 5_000, "waited " + (simulation.now - submittedAt));
    }
}
