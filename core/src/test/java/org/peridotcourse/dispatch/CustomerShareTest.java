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

/** Guards the shares of customers while more work comes than the workers can do. */
class CustomerShareTest {
    private static final Resources CAPACITY = Resources.of(8_000, 64_000);
    private static final QueueRules QUEUE = DispatchWorld.queue("q", 1, 3);

    private static StepSpec step(int count, long millis) {
        return DispatchOwnerTest.step(count, 1_000, millis).build();
    }

    private static CustomerRules rules(String name, int weight) {
        return new CustomerRules(name, weight, Resources.ZERO);
    }

    /**
     * The pattern: three large customers and seventeen small ones on 64 cores; the large ones use
     * 33 of them and the small ones 28, until one small customer sends fifty times its usual for 10
     * s.
     */
    private static final class Load {
        private static final int LARGE = 3;
        private static final int CUSTOMERS = 20;
        private static final int LARGE_WEIGHT = 10;
        private static final int SMALL_WEIGHT = 2;
        private static final int SUDDEN = 7;
        private static final long USUAL_INTERVAL = 1_200;
        private static final long LARGE_INTERVAL = 180;
        private static final long SUDDEN_INTERVAL = 24;
        private static final long WARM_UP = 5_000;
        private static final long SURGE = 10_000;
        private static final long END = 25_000;
        private static final long DRAIN = 90_000;

        private final DispatchWorld world = new DispatchWorld(9, 8, CAPACITY);
        private final boolean named;
        private final Map<String, Integer> senders = new LinkedHashMap<>();
        private final Map<String, Long> sentAt = new LinkedHashMap<>();

        Load(boolean named) {
            this.named = named;
            List<CustomerRules> rules = new ArrayList<>();
            for (int i = 0; i < CUSTOMERS; i++) {
                rules.add(rules("c" + i, i < LARGE ? LARGE_WEIGHT : SMALL_WEIGHT));
            }
            world.customers(rules);
            world.run(500);
        }

        private long interval(int customer, long time) {
            if (customer < LARGE) {
                return LARGE_INTERVAL;
            }
            boolean surges = customer == SUDDEN && time >= WARM_UP && time < WARM_UP + SURGE;
            return surges ? SUDDEN_INTERVAL : USUAL_INTERVAL;
        }

        private void submit(int customer) {
            StepSpec tasks = step(2, 1_000);
            String id =
                    named ? world.submit("c" + customer, QUEUE, tasks) : world.submit(QUEUE, tasks);
            senders.put(id, customer);
            sentAt.put(id, world.now);
        }

        void run() {
            double[] due = new double[CUSTOMERS];
            for (int i = 0; i < CUSTOMERS; i++) {
                due[i] = 37.0 * i;
            }
            for (long time = 0; time < END; time += DispatchWorld.TICK) {
                for (int i = 0; i < CUSTOMERS; i++) {
                    while (due[i] <= time) {
                        submit(i);
                        due[i] += interval(i, time);
                    }
                }
                world.run(DispatchWorld.TICK);
            }
            world.runUntilEnded(DRAIN, senders.keySet().toArray(String[]::new));
        }

        /** Share of a customer's jobs that end within their objective. */
        private double served(int customer) {
            int sent = 0;
            int inTime = 0;
            for (Map.Entry<String, Integer> job : senders.entrySet()) {
                if (job.getValue() == customer) {
                    long took = world.endedAt.get(job.getKey()) - sentAt.get(job.getKey());
                    long objective = QUEUE.objectiveMillis(world.jobs.get(job.getKey()).spec());
                    sent++;
                    inTime += took <= objective ? 1 : 0;
                }
            }
            return (double) inTime / sent;
        }

        /** The mean of the worst tenth of the customers, without the one that surges. */
        double worstTenth() {
            List<Double> shares = new ArrayList<>();
            for (int i = 0; i < CUSTOMERS; i++) {
                if (i != SUDDEN) {
                    shares.add(served(i));
                }
            }
            shares.sort(null);
            return (shares.get(0) + shares.get(1)) / 2;
        }

        double sudden() {
            return served(SUDDEN);
        }
    }

    @Test
    void aSuddenCustomerTakesNothingFromTheOthers() {
        Load before = new Load(false);
        before.run();
        Load after = new Load(true);
        after.run();
        System.out.printf(
                "worst tenth of customers in time: %.3f without customers, %.3f with; sudden one:"
                        + " %.3f, %.3f%n",
                before.worstTenth(), after.worstTenth(), before.sudden(), after.sudden());
        assertTrue(before.worstTenth() < 0.7, "the load is no contention");
        assertTrue(after.worstTenth() > 0.95, "" + after.worstTenth());
    }

    @Test
    void twoCustomersWithEndlessWorkShareByWeight() {
        DispatchWorld world = new DispatchWorld(3, 4, CAPACITY);
        world.customers(List.of(rules("light", 1), rules("heavy", 3)));
        world.run(500);
        for (int i = 0; i < 20; i++) {
            world.submit("light", QUEUE, step(20, 400));
            world.submit("heavy", QUEUE, step(20, 400));
        }
        world.run(1_500);
        long light = 0;
        long heavy = 0;
        for (int i = 0; i < 100; i++) {
            world.run(20);
            light += world.running("light").milliCores();
            heavy += world.running("heavy").milliCores();
        }
        assertEquals(3.0, (double) heavy / light, 0.4);
    }

    @Test
    void aCustomerAloneUsesAllWorkers() {
        DispatchWorld world = new DispatchWorld(3, 4, CAPACITY);
        world.customers(List.of(rules("light", 1), rules("heavy", 30)));
        world.run(500);
        world.submit("light", QUEUE, step(40, 2_000));
        world.run(500);
        assertEquals(32_000, world.running("light").milliCores());
    }

    @Test
    void aLargeStepOfOneRoundLeavesTheOthersTheirShare() {
        DispatchWorld world = new DispatchWorld(3, 4, CAPACITY);
        world.customers(List.of(rules("a", 1), rules("b", 1)));
        world.run(500);
        world.submit("a", QUEUE, step(40, 2_000));
        world.submit("b", QUEUE, step(40, 3_000));
        world.run(500);
        assertEquals(16_000, world.running("a").milliCores());
        assertEquals(16_000, world.running("b").milliCores());
    }

    @Test
    void jobsBeyondTheRateAreTheSameForASuccessor() {
        DispatchWorld world = new DispatchWorld(3, 1, CAPACITY);
        world.customers(List.of(rules("a", 3)));
        world.run(500);
        for (int i = 0; i < 12; i++) {
            world.submit("a", QUEUE, step(20, 5_000));
            world.run(100);
        }
        List<String> first = beyondRate(world);
        world.takeOver(world.now);
        world.run(100);
        assertEquals(first, beyondRate(world));
        // A bucket of three, and three tokens in the second that the jobs take to come.
        assertEquals(12 - 6, first.size());
    }

    private static List<String> beyondRate(DispatchWorld world) {
        return world.owner.state().jobs.values().stream()
                .filter(job -> job.beyondRate)
                .map(job -> job.id)
                .toList();
    }

    @Test
    void aJobBeyondTheRateWaitsForThoseWithinIt() {
        DispatchWorld world = new DispatchWorld(3, 1, CAPACITY);
        world.customers(List.of(rules("a", 1), rules("b", 1)));
        world.run(500);
        world.submit("a", QUEUE, step(8, 1_000));
        String beyond = world.submit("a", QUEUE, step(8, 1_000));
        world.run(200);
        String within = world.submit("b", QUEUE, step(8, 1_000));
        world.runUntilEnded(10_000, beyond, within);
        world.assertCompleted(beyond, within);
        assertTrue(world.endedAt.get(within) < world.endedAt.get(beyond));
    }

    /** Deployments without customers must decide as if there were no shares. */
    @Test
    void jobsWithoutACustomerKeepTheirOrderWhateverTheCustomers() {
        DispatchWorld without = orderOfStarts(List.of());
        DispatchWorld with = orderOfStarts(List.of(rules("a", 1), rules("b", 5)));
        assertEquals(starts(without), starts(with));
        assertEquals(Optional.empty(), without.jobs.values().iterator().next().customer());
    }

    private static DispatchWorld orderOfStarts(List<CustomerRules> rules) {
        DispatchWorld world = new DispatchWorld(11, 3, CAPACITY);
        world.customers(rules);
        for (int i = 0; i < 30; i++) {
            world.submit(
                    QUEUE, step(1 + world.random.nextInt(12), 300 + world.random.nextInt(900)));
            world.run(150);
        }
        return world;
    }

    private static List<Decision> starts(DispatchWorld world) {
        return world.decisions.stream()
                .filter(decision -> decision.kind() == Decision.Kind.RUN_ORDERED)
                .toList();
    }
}
