package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.peridotcourse.Resources;

/**
 * Guards the fair shares of customers, and the check of their submission rates, when the workers
 * are overloaded.
 */
class CustomerShareTest {
    private static final Resources CAPACITY = Resources.of(8_000, 64_000);
    private static final QueueRules QUEUE = DispatchSimulation.queue("q", 1, 3);

    private static StepSpec step(int count, long millis) {
        return DispatchOwnerTest.step(count, 1_000, millis).build();
    }

    private static CustomerRules rules(String name, int weight) {
        return new CustomerRules(name, weight, Resources.ZERO);
    }

    /**
     * Three large and seventeen small customers on 64 cores. The large ones use 33 cores and the
     * small ones 28, until one small customer submits fifty times its usual rate for 10 s.
     */
    private static final class Load {
        private static final int LARGE_CUSTOMERS = 3;
        private static final int CUSTOMERS = 20;
        private static final int LARGE_WEIGHT = 10;
        private static final int SMALL_WEIGHT = 2;
        private static final int BURSTING = 7;
        private static final long USUAL_INTERVAL_MILLIS = 1_200;
        private static final long LARGE_INTERVAL_MILLIS = 180;
        private static final long BURST_INTERVAL_MILLIS = 24;
        private static final long WARM_UP_MILLIS = 5_000;
        private static final long BURST_MILLIS = 10_000;
        private static final long END_MILLIS = 25_000;
        private static final long DRAIN_MILLIS = 90_000;

        private final DispatchSimulation simulation = new DispatchSimulation(9, 8, CAPACITY);
        private final boolean withCustomers;
        private final Map<String, Integer> customerByJob = new LinkedHashMap<>();
        private final Map<String, Long> submittedAt = new LinkedHashMap<>();

        Load(boolean withCustomers) {
            this.withCustomers = withCustomers;
            List<CustomerRules> rules = new ArrayList<>();
            for (int i = 0; i < CUSTOMERS; i++) {
                rules.add(rules("c" + i, i < LARGE_CUSTOMERS ? LARGE_WEIGHT : SMALL_WEIGHT));
            }
            simulation.setCustomers(rules);
            simulation.run(500);
        }

        private long intervalMillis(int customer, long time) {
            if (customer < LARGE_CUSTOMERS) {
                return LARGE_INTERVAL_MILLIS;
            }
            boolean bursts =
                    customer == BURSTING
                            && time >= WARM_UP_MILLIS
                            && time < WARM_UP_MILLIS + BURST_MILLIS;
            return bursts ? BURST_INTERVAL_MILLIS : USUAL_INTERVAL_MILLIS;
        }

        private void submit(int customer) {
            StepSpec tasks = step(2, 1_000);
            String id =
                    withCustomers
                            ? simulation.submit("c" + customer, QUEUE, tasks)
                            : simulation.submit(QUEUE, tasks);
            customerByJob.put(id, customer);
            submittedAt.put(id, simulation.now);
        }

        void run() {
            double[] nextSubmitAt = new double[CUSTOMERS];
            for (int i = 0; i < CUSTOMERS; i++) {
                nextSubmitAt[i] = 37.0 * i;
            }
            for (long time = 0; time < END_MILLIS; time += DispatchSimulation.TICK_MILLIS) {
                for (int i = 0; i < CUSTOMERS; i++) {
                    while (nextSubmitAt[i] <= time) {
                        submit(i);
                        nextSubmitAt[i] += intervalMillis(i, time);
                    }
                }
                simulation.run(DispatchSimulation.TICK_MILLIS);
            }
            simulation.runUntilEnded(DRAIN_MILLIS, customerByJob.keySet().toArray(String[]::new));
        }

        /** Returns the fraction of a customer's jobs that complete within their objective. */
        private double inTimeShare(int customer) {
            int submitted = 0;
            int inTime = 0;
            for (Map.Entry<String, Integer> job : customerByJob.entrySet()) {
                if (job.getValue() == customer) {
                    long durationMillis =
                            simulation.endedAt.get(job.getKey()) - submittedAt.get(job.getKey());
                    long objective =
                            QUEUE.objectiveMillis(simulation.jobs.get(job.getKey()).spec());
                    submitted++;
                    inTime += durationMillis <= objective ? 1 : 0;
                }
            }
            return (double) inTime / submitted;
        }

        /**
         * Returns the mean of that fraction over the tenth of the customers with the lowest
         * fractions, not counting the bursting one.
         */
        double worstTenth() {
            List<Double> shares = new ArrayList<>();
            for (int i = 0; i < CUSTOMERS; i++) {
                if (i != BURSTING) {
                    shares.add(inTimeShare(i));
                }
            }
            shares.sort(null);
            return (shares.get(0) + shares.get(1)) / 2;
        }

        double burstingInTimeShare() {
            return inTimeShare(BURSTING);
        }
    }

    @Test
    void aBurstOfOneCustomerDoesNotDelayTheOthers() {
        Load withoutCustomers = new Load(false);
        withoutCustomers.run();
        Load withCustomers = new Load(true);
        withCustomers.run();
        System.out.printf(
                "worst tenth of customers in time: %.3f without customers, %.3f with; bursting one:"
                        + " %.3f, %.3f%n",
                withoutCustomers.worstTenth(),
                withCustomers.worstTenth(),
                withoutCustomers.burstingInTimeShare(),
                withCustomers.burstingInTimeShare());
        assertTrue(withoutCustomers.worstTenth() < 0.7, "the load does not overload the workers");
        assertTrue(withCustomers.worstTenth() > 0.95, "" + withCustomers.worstTenth());
    }

    @Test
    void twoBackloggedCustomersShareByWeight() {
        DispatchSimulation simulation = new DispatchSimulation(3, 4, CAPACITY);
        simulation.setCustomers(List.of(rules("light", 1), rules("heavy", 3)));
        simulation.run(500);
        for (int i = 0; i < 20; i++) {
            simulation.submit("light", QUEUE, step(20, 400));
            simulation.submit("heavy", QUEUE, step(20, 400));
        }
        simulation.run(1_500);
        long light = 0;
        long heavy = 0;
        for (int i = 0; i < 100; i++) {
            simulation.run(20);
            light += simulation.demandOfRunningTasks("light").milliCores();
            heavy += simulation.demandOfRunningTasks("heavy").milliCores();
        }
        assertEquals(3.0, (double) heavy / light, 0.4);
    }

    @Test
    void aSingleCustomerUsesAllWorkers() {
        DispatchSimulation simulation = new DispatchSimulation(3, 4, CAPACITY);
        simulation.setCustomers(List.of(rules("light", 1), rules("heavy", 30)));
        simulation.run(500);
        simulation.submit("light", QUEUE, step(40, 2_000));
        simulation.run(500);
        assertEquals(32_000, simulation.demandOfRunningTasks("light").milliCores());
    }

    @Test
    void aLargeStepInOneRoundLeavesTheOthersTheirShare() {
        DispatchSimulation simulation = new DispatchSimulation(3, 4, CAPACITY);
        simulation.setCustomers(List.of(rules("a", 1), rules("b", 1)));
        simulation.run(500);
        simulation.submit("a", QUEUE, step(40, 2_000));
        simulation.submit("b", QUEUE, step(40, 3_000));
        simulation.run(500);
        assertEquals(16_000, simulation.demandOfRunningTasks("a").milliCores());
        assertEquals(16_000, simulation.demandOfRunningTasks("b").milliCores());
    }

    @Test
    void aNewOwnerFindsTheSameJobsAboveTheRate() {
        DispatchSimulation simulation = new DispatchSimulation(3, 1, CAPACITY);
        simulation.setCustomers(List.of(rules("a", 3)));
        simulation.run(500);
        for (int i = 0; i < 12; i++) {
            simulation.submit("a", QUEUE, step(20, 5_000));
            simulation.run(100);
        }
        List<String> first = jobsOverRate(simulation);
        simulation.takeOver(simulation.now);
        simulation.run(100);
        assertEquals(first, jobsOverRate(simulation));
        // The bucket holds three tokens, and three more arrive in the second of the submissions.
        assertEquals(12 - 6, first.size());
    }

    private static List<String> jobsOverRate(DispatchSimulation simulation) {
        return simulation.owner.state().jobs.values().stream()
                .filter(job -> job.overRate)
                .map(job -> job.id)
                .toList();
    }

    @Test
    void aJobAboveTheRateWaitsForJobsWithinIt() {
        DispatchSimulation simulation = new DispatchSimulation(3, 1, CAPACITY);
        simulation.setCustomers(List.of(rules("a", 1), rules("b", 1)));
        simulation.run(500);
        simulation.submit("a", QUEUE, step(8, 1_000));
        String overRate = simulation.submit("a", QUEUE, step(8, 1_000));
        simulation.run(200);
        String withinRate = simulation.submit("b", QUEUE, step(8, 1_000));
        simulation.runUntilEnded(10_000, overRate, withinRate);
        simulation.assertCompleted(overRate, withinRate);
        assertTrue(simulation.endedAt.get(withinRate) < simulation.endedAt.get(overRate));
    }

    /** In deployments without customers, the shares must not influence any decision. */
    @Test
    void customersDoNotChangeTheOrderOfJobsWithoutACustomer() {
        DispatchSimulation without = orderOfStarts(List.of());
        DispatchSimulation with = orderOfStarts(List.of(rules("a", 1), rules("b", 5)));
        assertEquals(starts(without), starts(with));
        assertEquals(Optional.empty(), without.jobs.values().iterator().next().customer());
    }

    private static DispatchSimulation orderOfStarts(List<CustomerRules> rules) {
        DispatchSimulation simulation = new DispatchSimulation(11, 3, CAPACITY);
        simulation.setCustomers(rules);
        for (int i = 0; i < 30; i++) {
            simulation.submit(
                    QUEUE,
                    step(1 + simulation.random.nextInt(12), 300 + simulation.random.nextInt(900)));
            simulation.run(150);
        }
        return simulation;
    }

    private static List<Decision> starts(DispatchSimulation simulation) {
        return simulation.decisions.stream()
                .filter(decision -> decision.kind() == Decision.Kind.RUN_ORDERED)
                .toList();
    }
}
