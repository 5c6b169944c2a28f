package org.peridotcourse.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.peridotcourse.Resources;

/**
 * A random load with takeovers, impairments and slow owners, which {@link CallerRulesJudge} judges.
 * Each seed draws the size, the cost of calls, the jobs, the cancellations and the impairments.
 */
final class CallerRulesScenario {
    private static final long STEP_MILLIS = 50;
    private static final int LASTING_UNTIL_MILLIS = 6_000;
    private static final long EVENTS_UNTIL_MILLIS = 14_000;
    private static final long END_MILLIS = 24_000;
    private static final Resources CAPACITY = Resources.of(16_000, 62_500, 0);
    private static final long TARGET_MILLIS = 18;
    private static final double MEAN_TAIL_MILLIS = 7.3;
    private static final double WEAK_COEFFICIENT = 0.3;
    private static final double STRONG_COEFFICIENT = 5;

    /** Largest share of an owner's time that the lease calls to idle workers may take. */
    private static final double MAX_LEASE_CALL_SHARE = 0.35;

    /** Largest share of an owner's time that the starts and ends of short tasks may take. */
    private static final double MAX_SHORT_TASK_SHARE = 0.35;

    /** Factor by which an overloaded owner may exceed these shares. */
    private static final double OVERLOAD_FACTOR = 2.5;

    /** Time that the stops of one round of cancellations may take in an owner's process. */
    private static final double STOP_TIME_MILLIS = 1_200;

    /** Time that the starts and ends of a burst of jobs may take in an owner's process. */
    private static final double BURST_TIME_MILLIS = 1_000;

    private static final int TASKS_PER_LASTING_JOB = 6;
    private static final int MEAN_TASKS_PER_JOB = 10;

    private static final QueueRules URGENT = DispatchSimulation.queue("urgent", 0, 3);
    private static final QueueRules NORMAL = DispatchSimulation.queue("normal", 1, 3);
    private static final QueueRules LASTING = DispatchSimulation.queue("lasting", 2, 3);

    private final Random random;
    private final DispatchSimulation simulation;
    private final CallerRulesJudge judge;
    private final List<FakeWorker> workers;
    private final List<String> lasting = new ArrayList<>();
    private final List<String> shortJobs = new ArrayList<>();
    private final boolean serving;
    private final double mostCallMillis;
    private final double shortJobsPerStep;

    CallerRulesScenario(long seed) {
        random = new Random(seed);
        int workerCount = 8 + random.nextInt(53);
        simulation = new DispatchSimulation(seed, workerCount, CAPACITY);
        simulation.setQueues(URGENT, NORMAL, LASTING);
        simulation.waitMillis = 1_000;
        simulation.tailRule = this::tail;
        workers = new ArrayList<>(simulation.workers.values());
        judge = new CallerRulesJudge(simulation);
        serving = random.nextInt(3) == 0;
        boolean overloaded = random.nextInt(3) == 0;
        double factor = overloaded ? OVERLOAD_FACTOR : 1;
        if (overloaded) {
            // Starts of new work have to wait if the process has no time for them.
            judge.ignoreWaits();
        }
        mostCallMillis = drawMostCallMillis(factor);
        double tasksPerStep = factor * MAX_SHORT_TASK_SHARE * STEP_MILLIS / (3 * mostCallMillis);
        shortJobsPerStep =
                Math.min(random.nextDouble() * workerCount / 60, tasksPerStep / MEAN_TASKS_PER_JOB);
        simulation.process = drawProcess();
        scheduleEvents();
    }

    List<String> violations() {
        return judge.violations();
    }

    DispatchSimulation simulation() {
        return simulation;
    }

    /** Runs the scenario until its end or until the simulation finds an invariant broken. */
    CallerRulesScenario run() {
        submitLasting();
        try {
            while (simulation.now < END_MILLIS) {
                if (simulation.now < EVENTS_UNTIL_MILLIS
                        && random.nextDouble() < shortJobsPerStep) {
                    submitShort();
                }
                simulation.run(STEP_MILLIS);
                judge.check();
            }
        } catch (AssertionError e) {
            judge.onInvariantBroken(e);
        }
        return this;
    }

    /** Draws the cost of a call in the most expensive process of this scenario. */
    private double drawMostCallMillis(double factor) {
        double callsPerMilli = 1.5 * workers.size() / simulation.waitMillis;
        double most = factor * MAX_LEASE_CALL_SHARE / callsPerMilli;
        return Math.min(most, 0.1 + 8.9 * random.nextDouble());
    }

    private OwnerProcessModel drawProcess() {
        double cold = mostCallMillis * (0.5 + random.nextDouble() / 2);
        double warm = cold * random.nextDouble();
        return OwnerProcessModel.warmingUp(
                simulation.now, cold, warm, 500 + random.nextInt(10_000));
    }

    private void submitLasting() {
        int tasks = TASKS_PER_LASTING_JOB;
        double share = 0.1 + 0.5 * random.nextDouble();
        long jobs = Math.round(share * workers.size() * CAPACITY.milliCores() / 1_500 / tasks);
        lasting.add(simulation.submit(LASTING, lastingStep(tasks, 0)));
        for (int i = 1; i < jobs; i++) {
            StepSpec step = lastingStep(tasks, i);
            simulation.schedule(
                    random.nextInt(LASTING_UNTIL_MILLIS),
                    () -> lasting.add(simulation.submit(LASTING, step)));
        }
    }

    private StepSpec lastingStep(int tasks, int number) {
        StepSpec.Builder step = StepSpec.builder(tasks, Resources.of(1_500, 256, 0)).lasting(true);
        if (serving) {
            step.image(Optional.of("s" + number % 3)).latencyTargetMillis(TARGET_MILLIS);
        }
        return step.build();
    }

    private void submitShort() {
        QueueRules queue = random.nextBoolean() ? URGENT : NORMAL;
        boolean urgent = queue == URGENT;
        int tasks = urgent ? 2 + random.nextInt(8) : 8 + random.nextInt(12);
        long millis = urgent ? 400 + random.nextInt(800) : 1_500 + random.nextInt(2_500);
        int kind = random.nextInt(10);
        StepSpec.Builder step =
                StepSpec.builder(tasks, Resources.of(urgent ? 1_000 : 1_800, 256, 0))
                        .estimateMillis(millis)
                        .checkpointing(kind == 0)
                        .gang(kind == 1 && !serving)
                        .speculative(kind == 2);
        if (serving && kind < 7) {
            step.filling(true).image(Optional.of("f" + random.nextInt(4)));
        }
        shortJobs.add(simulation.submit(queue, step.build()));
    }

    private void scheduleEvents() {
        int takeovers = 1 + random.nextInt(2);
        long cancelNear = 0;
        for (int i = 0; i < takeovers; i++) {
            long at = 300 + random.nextInt((int) EVENTS_UNTIL_MILLIS - 3_000);
            cancelNear = at;
            simulation.schedule(at, this::killOwner);
        }
        int bulks = 1 + random.nextInt(3);
        for (int i = 0; i < bulks; i++) {
            boolean near = random.nextInt(3) > 0;
            long at =
                    near
                            ? Math.max(0, cancelNear - 500 + random.nextInt(4_000))
                            : random.nextInt((int) EVENTS_UNTIL_MILLIS);
            int count = 1 + random.nextInt(random.nextBoolean() ? mostCancels() : 8);
            simulation.schedule(at, () -> cancelMany(count));
        }
        for (int i = random.nextInt(3); i > 0; i--) {
            int count = 1 + random.nextInt(mostJobsAtOnce());
            simulation.schedule(random.nextInt((int) EVENTS_UNTIL_MILLIS), () -> submitMany(count));
        }
        scheduleImpairments();
    }

    /** Returns how many lasting jobs an owner has the time to stop within their time bound. */
    private int mostCancels() {
        double stopMillis = TASKS_PER_LASTING_JOB * 1.5 * mostCallMillis;
        return (int) Math.max(1, Math.min(60, STOP_TIME_MILLIS / stopMillis));
    }

    /** Returns how many short jobs an owner has the time to start at once. */
    private int mostJobsAtOnce() {
        double jobMillis = MEAN_TASKS_PER_JOB * 3 * mostCallMillis;
        return (int) Math.max(1, Math.min(20, BURST_TIME_MILLIS / jobMillis));
    }

    private void scheduleImpairments() {
        boolean late = random.nextInt(4) == 0;
        if (late) {
            double share = 0.3 * random.nextDouble();
            scheduleSpan(
                    () -> simulation.lateOrderShare = share, () -> simulation.lateOrderShare = 0);
        }
        if (random.nextInt(4) == 0) {
            double share = 0.5 * random.nextDouble();
            scheduleSpan(
                    () -> simulation.unansweredOrderShare = share,
                    () -> simulation.unansweredOrderShare = 0);
        }
        if (random.nextInt(3) == 0) {
            List<String> silent = drawWorkers();
            scheduleSpan(
                    () -> simulation.unreachableWorkers.addAll(silent),
                    () -> simulation.unreachableWorkers.removeAll(silent));
        }
        // A late order could reach the next incarnation of a worker, which is not modelled.
        if (!late && random.nextInt(3) == 0) {
            List<String> restarted = drawWorkers();
            simulation.schedule(
                    random.nextInt((int) EVENTS_UNTIL_MILLIS), () -> restart(restarted));
        }
    }

    private void scheduleSpan(Runnable begin, Runnable end) {
        long at = random.nextInt((int) EVENTS_UNTIL_MILLIS);
        simulation.schedule(at, begin);
        simulation.schedule(
                at + 300 + random.nextInt(6_000),
                () -> {
                    judge.onImpairment();
                    end.run();
                });
    }

    private List<String> drawWorkers() {
        List<String> drawn = new ArrayList<>();
        int count = 1 + random.nextInt(random.nextBoolean() ? 3 : workers.size() / 2);
        for (int i = 0; i < count; i++) {
            drawn.add(workers.get(random.nextInt(workers.size())).id);
        }
        return drawn;
    }

    private void restart(List<String> ids) {
        judge.onImpairment();
        for (String id : ids) {
            simulation.workers.get(id).restart(simulation.now);
        }
        simulation.refreshWorkerList();
    }

    private void killOwner() {
        judge.onImpairment();
        simulation.killOwner();
        long gapMillis = 300 + random.nextInt(2_500);
        long loadMillis = 50 + random.nextInt(900);
        long earlierMillis = random.nextBoolean() ? 0 : random.nextInt(2_000);
        OwnerProcessModel process = drawProcess();
        simulation.schedule(gapMillis, () -> takeOver(process, loadMillis, earlierMillis));
    }

    private void takeOver(OwnerProcessModel process, long loadMillis, long earlierMillis) {
        judge.onImpairment();
        ModelSnapshot learned = simulation.owner.modelSnapshot();
        simulation.process = process;
        simulation.takeOver(simulation.now + earlierMillis);
        simulation.owner.onModelSnapshot(learned, simulation.now);
        process.occupy(simulation.now, loadMillis);
        DispatchOwner next = simulation.owner;
        simulation.schedule(
                loadMillis + random.nextInt(800), () -> next.onEarlierOwnersEnded(simulation.now));
    }

    private void cancelMany(int count) {
        for (int i = 0; i < count; i++) {
            List<String> from = shortJobs.isEmpty() || random.nextInt(3) > 0 ? lasting : shortJobs;
            String job = from.get(random.nextInt(from.size()));
            if (simulation.cancelled.contains(job)) {
                continue;
            }
            judge.onCancel(job);
            simulation.schedule(20 + random.nextInt(200), () -> deliverCancel(job));
        }
    }

    /** Delivers a cancellation to the owner, whose process has to handle it. */
    private void deliverCancel(String job) {
        long handledAt = simulation.process.handleReply(simulation.now);
        simulation.schedule(handledAt - simulation.now, () -> simulation.cancel(job));
    }

    private void submitMany(int count) {
        for (int i = 0; i < count; i++) {
            submitShort();
        }
    }

    private double tail(TaskRef task, StepSpec step, Map<String, Double> fillShares, long now) {
        double headroom = 1 + 0.39 * Math.sin(now / 1_600.0 + task.job().hashCode());
        double alone = tailAt(headroom);
        for (Map.Entry<String, Double> use : fillShares.entrySet()) {
            boolean strong = (step.image().orElse("") + use.getKey()).hashCode() % 3 == 0;
            headroom -= (strong ? STRONG_COEFFICIENT : WEAK_COEFFICIENT) * use.getValue();
        }
        double tail = tailAt(headroom);
        judge.onServing(task, tail > TARGET_MILLIS && alone <= TARGET_MILLIS);
        return tail;
    }

    private static double tailAt(double headroom) {
        return Math.round(MEAN_TAIL_MILLIS / Math.max(0.03, headroom));
    }
}
