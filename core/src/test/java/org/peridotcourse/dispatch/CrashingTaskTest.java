package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.peridotcourse.Resources;

/**
 * Guards against a task that crashes worker after worker, and against sound tasks beside it that
 * are failed or held up. After three crashes a task may be started at most twice more.
 */
class CrashingTaskTest {
    private static final Resources CAPACITY = Resources.of(16_000, 64_000);
    private static final QueueRules QUEUE = DispatchSimulation.queue("q", 1, 3);
    private static final int MOST_CRASHES = 5;

    private static final List<StepSpec> CRASHING_STEPS =
            List.of(
                    step(3, 800).build(),
                    step(3, 800).speculative(true).build(),
                    step(3, 0).lasting(true).build(),
                    step(3, 800).gang(true).build(),
                    step(3, 2_000).checkpointing(true).build());

    private static StepSpec.Builder step(int count, long millis) {
        return DispatchOwnerTest.step(count, 1_000, millis);
    }

    private static Stream<StepSpec> crashingSteps() {
        return CRASHING_STEPS.stream();
    }

    /** A load of sound jobs with one job whose first task crashes its workers. */
    private static final class Scenario {
        final DispatchSimulation simulation;
        final List<String> sound = new ArrayList<>();
        final String crashing;
        final TaskRef crashingTask;

        Scenario(long seed, StepSpec crashingStep) {
            simulation = new DispatchSimulation(seed, 24, CAPACITY);
            simulation.waitMillis = 1_000;
            for (int i = 0; i < 20; i++) {
                simulation.schedule(i * 400L, this::submitSound);
            }
            simulation.run(900);
            crashing = simulation.submit(QUEUE, crashingStep);
            crashingTask = new TaskRef(crashing, 0, 0, 0);
            simulation.crashingTasks = crashingTask::equals;
        }

        private void submitSound() {
            sound.add(
                    simulation.submit(
                            QUEUE,
                            step(12, 700).build(),
                            step(4, 300).predecessors(List.of(0)).build()));
        }

        Scenario runToEnd() {
            simulation.runUntilEnded(60_000, crashing);
            simulation.run(Math.max(0, 9_000 - simulation.now));
            simulation.runUntilEnded(30_000, sound.toArray(String[]::new));
            return this;
        }

        int crashes() {
            return simulation.crashes.getOrDefault(crashingTask, 0);
        }
    }

    private static void assertCrashingJobFails(Scenario scenario) {
        assertEquals(JobState.FAILED, scenario.simulation.state(scenario.crashing));
        assertTrue(
                scenario.crashes() >= 2 && scenario.crashes() <= MOST_CRASHES,
                () -> scenario.crashes() + " workers have crashed");
    }

    /** A task crashed one worker after the other without end. Reported by users as BUDGET. */
    @ParameterizedTest
    @MethodSource("crashingSteps")
    void aTaskThatCrashesItsWorkersFailsItsJob(StepSpec step) {
        Scenario scenario = new Scenario(7, step).runToEnd();
        assertCrashingJobFails(scenario);
    }

    /** Sound tasks that were started beside a crashing one were blamed or waited without need. */
    @ParameterizedTest
    @MethodSource("crashingSteps")
    void soundTasksBesideACrashingOneComplete(StepSpec step) {
        Scenario scenario = new Scenario(8, step).runToEnd();
        scenario.simulation.assertCompleted(scenario.sound.toArray(String[]::new));
        for (String job : scenario.sound) {
            long acceptedAt =
                    scenario.simulation.jobs.get(job).acceptedAtMillis()
                            - DispatchSimulation.WALL_CLOCK_OFFSET_MILLIS;
            long millis = scenario.simulation.endedAt.get(job) - acceptedAt;
            assertTrue(millis < 12_000, () -> job + " took " + millis + " ms");
        }
    }

    private static LongStream takeoverTimes() {
        return LongStream.iterate(0, at -> at < 16_000, at -> at + 400);
    }

    /**
     * An owner that was lost at any time forgot the crashes, and its successor began to count anew.
     */
    @ParameterizedTest
    @MethodSource("takeoverTimes")
    void crashesAreCountedAcrossTakeovers(long takeoverAfter) {
        Scenario scenario = new Scenario(9, step(3, 800).build());
        scenario.simulation.run(takeoverAfter);
        scenario.simulation.killOwner();
        scenario.simulation.run(1_900);
        scenario.simulation.takeOver(scenario.simulation.now);
        scenario.runToEnd();
        assertCrashingJobFails(scenario);
        scenario.simulation.assertCompleted(scenario.sound.toArray(String[]::new));
    }

    /** A slow owner handled the replies so late that a young run seemed to be proven. */
    @ParameterizedTest
    @ValueSource(longs = {41, 42, 43, 44, 45, 46})
    void aSlowOwnerFindsTheCrashingTask(long seed) {
        Scenario scenario = new Scenario(seed, step(3, 800).build());
        double callMillis = 2 + seed % 3 * 2;
        scenario.simulation.process = new OwnerProcessModel(callMillis);
        scenario.runToEnd();
        assertCrashingJobFails(scenario);
    }

    /** Each owner is lost right after the crashing task was started, before it can act on it. */
    @Test
    void crashesAreCountedThoughEachOwnerIsLostWithThem() {
        Scenario scenario = new Scenario(10, step(3, 800).build());
        DispatchSimulation simulation = scenario.simulation;
        simulation.startListener =
                (worker, order, late) -> {
                    if (order.task().equals(scenario.crashingTask)) {
                        simulation.killOwner();
                        simulation.schedule(2_000, () -> simulation.takeOver(simulation.now));
                    }
                };
        scenario.runToEnd();
        assertCrashingJobFails(scenario);
        scenario.simulation.assertCompleted(scenario.sound.toArray(String[]::new));
    }

    /**
     * Workers that were only unreachable again and again counted as crashed, and sound jobs were
     * failed.
     */
    @Test
    void unreachableWorkersAreNoCrashes() {
        DispatchSimulation simulation = new DispatchSimulation(11, 6, CAPACITY);
        String job = simulation.submit(QUEUE, step(20, 2_500).build());
        String lasting = simulation.submit(QUEUE, step(6, 0).lasting(true).build());
        for (int i = 0; i < 6; i++) {
            simulation.run(300);
            simulation.unreachableWorkers.addAll(simulation.workers.keySet());
            simulation.run(7_000);
            simulation.unreachableWorkers.clear();
            simulation.run(1_500);
        }
        simulation.runUntilEnded(30_000, job);
        simulation.assertCompleted(job);
        assertEquals(0, simulation.count(Decision.Kind.WORKER_CRASHED));
        assertTrue(!simulation.state(lasting).isFinal());
    }

    /**
     * Sound jobs were failed when several workers crashed at once, again and again, each time just
     * after the tasks of the last wave had been started again. Seen in crash-waves on
     * rutas-flipper, seeds 1 to 3.
     */
    @ParameterizedTest
    @ValueSource(longs = {21, 22, 23, 24, 25, 26, 27, 28})
    void wavesOfCrashesFailNoSoundJob(long seed) {
        DispatchSimulation simulation = new DispatchSimulation(seed, 24, CAPACITY);
        simulation.waitMillis = 1_000;
        List<String> jobs = new ArrayList<>();
        jobs.add(simulation.submit(QUEUE, step(30, 0).lasting(true).build()));
        for (int i = 0; i < 40; i++) {
            simulation.schedule(
                    i * 400L, () -> jobs.add(simulation.submit(QUEUE, step(8, 1_500).build())));
        }
        for (int i = 1; i <= 6; i++) {
            simulation.schedule(3_000L * i, () -> crashSome(simulation, 5));
        }
        simulation.run(24_000);
        for (Decision decision : simulation.decisions) {
            boolean failed = decision.detail().startsWith("state=failed");
            assertFalse(failed, decision::toString);
        }
    }

    private static void crashSome(DispatchSimulation simulation, int count) {
        List<FakeWorker> up = new ArrayList<>();
        simulation.workers.values().stream().filter(worker -> worker.up).forEach(up::add);
        Collections.shuffle(up, simulation.random);
        up.subList(0, count).forEach(worker -> simulation.crash(worker, 2_000));
    }

    /** A store that is away must not hold up the start of a task that may have crashed a worker. */
    @Test
    void aSuspectStartsWithoutTheStore() {
        Scenario scenario = new Scenario(12, step(3, 800).build());
        scenario.simulation.run(200);
        scenario.simulation.storeDown = true;
        int before = scenario.crashes();
        scenario.simulation.run(9_000);
        assertTrue(scenario.crashes() > before, "the task was not started again");
        scenario.simulation.storeDown = false;
        scenario.runToEnd();
        assertCrashingJobFails(scenario);
    }
}
