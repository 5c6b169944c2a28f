package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.peridotcourse.Resources;

/**
 * Guards against filling tasks whose pace on the worker differs from the pace that the owner wants:
 * after lost orders, lost stops and a change of the owner.
 */
class FillThrottleTest {
    private static final Resources CAPACITY = Resources.of(16_000, 64_000, 0);
    private static final QueueRules QUEUE = DispatchSimulation.queue("q", 1, 3);
    private static final long TARGET_MILLIS = 18;
    private static final double CALM_TAIL_MILLIS = 6;
    private static final double HIGH_TAIL_MILLIS = 60;

    /** Time over the target beside working filling tasks that the users allow. */
    private static final long MAX_HARM_MILLIS = 4_000;

    /** The time-out of an order and the interval of reports. */
    private static final long MAX_REPEAT_MILLIS = 1_200;

    private final DispatchSimulation simulation = new DispatchSimulation(3, 1, CAPACITY);
    private double tail = CALM_TAIL_MILLIS;

    private static StepSpec.Builder step(int milliCores, long millis) {
        return StepSpec.builder(1, Resources.of(milliCores, 500, 0)).estimateMillis(millis);
    }

    private static void submitServing(DispatchSimulation simulation) {
        simulation.submit(
                QUEUE,
                step(3_000, 0)
                        .lasting(true)
                        .latencyTargetMillis(TARGET_MILLIS)
                        .image(Optional.of("A"))
                        .build());
    }

    private static String submitFilling(DispatchSimulation simulation, int milliCores) {
        return simulation.submit(
                QUEUE, step(milliCores, 60_000).filling(true).image(Optional.of("u")).build());
    }

    /** Starts a serving task and a filling one on the only worker. */
    private String startBoth() {
        simulation.tailRule = (task, serving, fillShares, at) -> tail;
        submitServing(simulation);
        simulation.run(1_000);
        String filling = submitFilling(simulation, 4_000);
        simulation.run(1_500);
        assertEquals(1, pacesOf(simulation, filling).size(), "the filling task runs");
        return filling;
    }

    /** Returns the paces at which workers run the tasks of a job. */
    private static List<Integer> pacesOf(DispatchSimulation simulation, String job) {
        List<Integer> paces = new ArrayList<>();
        for (FakeWorker worker : simulation.workers.values()) {
            for (Map.Entry<Run.Key, FakeWorker.Active> run : worker.active.entrySet()) {
                if (run.getKey().task().job().equals(job)) {
                    paces.add(run.getValue().pacePercent);
                }
            }
        }
        return paces;
    }

    /** A successor took the pace of adopted runs for full, so it never ordered full pace. */
    @Test
    void aSuccessorRestoresTheFullPaceOfAPausedRun() {
        String filling = startBoth();
        tail = HIGH_TAIL_MILLIS;
        simulation.run(3_000);
        assertEquals(List.of(0), pacesOf(simulation, filling));
        simulation.takeOver(simulation.now);
        tail = CALM_TAIL_MILLIS;
        simulation.run(4_000);
        assertEquals(List.of(100), pacesOf(simulation, filling));
    }

    /** The same on a worker whose serving task has left. */
    @Test
    void aSuccessorRestoresTheFullPaceWithoutServingTasks() {
        String filling = startBoth();
        tail = HIGH_TAIL_MILLIS;
        simulation.run(3_000);
        simulation.takeOver(simulation.now);
        simulation.cancel("0000000000000001");
        simulation.run(4_000);
        assertEquals(List.of(100), pacesOf(simulation, filling));
    }

    /**
     * After a lost order, a pace of 10 percent was not ordered again, since it was compared with
     * the value that stood for an unknown pace.
     */
    @Test
    void aLostPaceIsOrderedAgainWhateverItIs() {
        List<String> unpaced = new ArrayList<>();
        for (int percent = 0; percent <= 80; percent += 10) {
            int lost = 0;
            int notRepeated = 0;
            for (int milliCores = 4_000; milliCores <= 14_000; milliCores += 1_000) {
                for (double mean = 9; mean <= 15; mean += 0.5) {
                    LostPace order = new LostPace(percent, milliCores, mean);
                    lost += order.isLost() ? 1 : 0;
                    notRepeated += order.isLost() && !order.isRepeated() ? 1 : 0;
                }
            }
            assertTrue(lost > 0, "no order of " + percent + " percent");
            if (notRepeated > 0) {
                unpaced.add(notRepeated + " of " + lost + " lost orders of " + percent);
            }
        }
        assertEquals(List.of(), unpaced);
    }

    /** A day on which the first order of a certain pace is lost, until it should be repeated. */
    private static final class LostPace {
        private final DispatchSimulation simulation = new DispatchSimulation(3, 1, CAPACITY);
        private final String filling;
        private int paceBefore = -1;
        private boolean orderedLater;

        LostPace(int percent, int milliCores, double meanTail) {
            simulation.tailRule =
                    (task, serving, fillShares, at) ->
                            meanTail / (1 + 0.25 * Math.sin(2 * Math.PI * at / 10_000.0));
            submitServing(simulation);
            simulation.run(1_000);
            filling = submitFilling(simulation, milliCores);
            simulation.isLost = order -> order instanceof Order.Pace pace && loses(pace, percent);
            while (simulation.now < 15_000 && !isLost()) {
                simulation.run(DispatchSimulation.TICK_MILLIS);
            }
            simulation.run(MAX_REPEAT_MILLIS);
        }

        private boolean loses(Order.Pace order, int percent) {
            List<Integer> paces = pacesOf(simulation, filling);
            orderedLater |= isLost();
            boolean loses = !isLost() && order.percent() == percent && paces.get(0) > percent;
            paceBefore = loses ? paces.get(0) : paceBefore;
            return loses;
        }

        boolean isLost() {
            return paceBefore >= 0;
        }

        boolean isRepeated() {
            return orderedLater || !pacesOf(simulation, filling).equals(List.of(paceBefore));
        }
    }

    /** A run that was being stopped was not slowed down, although its stop was lost each time. */
    @Test
    void aRunWhoseStopIsLostIsPaused() {
        String filling = startBoth();
        simulation.isLost = order -> order instanceof Order.Stop;
        simulation.cancel(filling);
        tail = HIGH_TAIL_MILLIS;
        simulation.run(MAX_HARM_MILLIS);
        assertEquals(List.of(0), pacesOf(simulation, filling));
    }

    /** A filling task was started beside a serving task that was over its target already. */
    @Test
    void nothingStartsBesideATaskThatIsOverItsTarget() {
        startBoth();
        simulation.run(20_000);
        tail = HIGH_TAIL_MILLIS;
        simulation.run(600);
        String second = submitFilling(simulation, 1_000);
        simulation.run(1_500);
        assertEquals(List.of(), pacesOf(simulation, second));
        tail = CALM_TAIL_MILLIS;
        simulation.run(3_000);
        assertTrue(simulation.hasRuns(second), "it starts later");
    }

    /** An order that was delivered late set a higher pace than the latest order. */
    @Test
    void aPaceThatIsExceededIsOrderedAgain() {
        String filling = startBoth();
        tail = HIGH_TAIL_MILLIS;
        simulation.run(3_000);
        assertEquals(List.of(0), pacesOf(simulation, filling));
        FakeWorker worker = simulation.workers.values().iterator().next();
        worker.active.values().forEach(run -> run.pacePercent = 100);
        simulation.run(2_000);
        assertEquals(List.of(0), pacesOf(simulation, filling));
    }

    /** The repeat of a lost order waited for another report, beyond the time that is allowed. */
    @Test
    void threeLostOrdersDoNotHoldATaskOverItsTarget() {
        String filling = startBoth();
        tail = HIGH_TAIL_MILLIS;
        int[] paceOrders = new int[1];
        simulation.isLost = order -> order instanceof Order.Pace && paceOrders[0]++ < 3;
        simulation.run(MAX_HARM_MILLIS - 500);
        assertEquals(List.of(0), pacesOf(simulation, filling));
    }
}
