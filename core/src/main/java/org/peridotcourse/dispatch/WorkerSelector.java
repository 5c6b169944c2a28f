package org.peridotcourse.dispatch;

import java.util.Optional;

/**
 * Chooses the worker for a task: an eligible worker with enough free capacity and the lowest cost,
 * which measures expected delay and interference. Confined to one thread.
 */
final class WorkerSelector {
    /** Factor over the median slowdown from which a worker counts as slow and is used last. */
    static final double SLOW_FACTOR = 2.5;

    /**
     * Grace period after which an unlisted worker is no longer eligible. It lets workers return to
     * the list after an outage of the store.
     */
    static final long UNLISTED_GRACE_MILLIS = 3_000;

    /**
     * Wait after which a filling task of a job without runs is started despite possible
     * interference.
     */
    private static final long MAX_WAIT_WITHOUT_RUNS_MILLIS = 2_000;

    /** Time for which a filling task waits for a worker with enough headroom. */
    private static final long HEADROOM_WAIT_MILLIS = 1_000;

    /** Headroom that a filling task may overdraw for each further millisecond of waiting. */
    private static final double OVERDRAFT_PER_MILLI = 0.2 / 4_000;

    /** Maximum headroom that a filling task may overdraw. */
    private static final double MAX_OVERDRAFT = 0.25;

    /** Loss of headroom from a filling task that is small enough to be ignored. */
    private static final double NEGLIGIBLE_LOSS = 0.015;

    /** Margin added to the estimated duration of filling tasks, since the estimates are rough. */
    private static final long DURATION_MARGIN_MILLIS = 1_000;

    /** Time for which a computed headroom is cached; headrooms change within seconds. */
    private static final long HEADROOM_CACHE_MILLIS = 100;

    private static final double SUSPECT_COST = 4;
    private static final double SLOW_COST = 6;
    private static final double RETRY_SAME_WORKER_COST = 8;

    /** Keeps tasks that may have crashed a worker apart, so that the next crash has one suspect. */
    private static final double OTHER_CRASH_SUSPECT_COST = 5;

    private static final double OTHER_THAN_PREFERRED_RACK_COST = 3;
    private static final double OTHER_RACK_COST = 2;
    private static final double SAME_JOB_COST = 0.02;
    private static final double FIRST_SERVING_COST = 0.3;
    private static final double OTHER_IMAGE_COST = 0.5;
    private static final double HEADROOM_WEIGHT = 3;

    /** Exceeds the other parts of the cost of a filling task that has waited too long. */
    private static final double OVER_TARGET_COST = 10;

    private final OwnerState state;
    private final QuarantineOverride quarantineOverride;
    private double medianSlowdown = 1;

    WorkerSelector(OwnerState state) {
        this.state = state;
        this.quarantineOverride = new QuarantineOverride(state);
    }

    /** Recomputes the median slowdown of the workers and the utilisation of the services. */
    void refresh() {
        quarantineOverride.refresh();
        double[] slowdowns =
                state.workers.values().stream()
                        .filter(worker -> worker.health.hasSlowdown())
                        .mapToDouble(worker -> worker.health.slowdown())
                        .sorted()
                        .toArray();
        medianSlowdown = slowdowns.length == 0 ? 1 : slowdowns[slowdowns.length / 2];
    }

    /** Returns whether a worker progresses much slower than the median worker. */
    boolean isSlow(Worker worker) {
        return worker.health.hasSlowdown()
                && worker.health.slowdown() > SLOW_FACTOR * medianSlowdown;
    }

    /**
     * A search for a worker, with the properties of the task that are the same for all workers.
     *
     * @param task the task to place
     * @param service the service whose workers may run it
     * @param waitedMillis the time in milliseconds for which it has waited
     * @param starved true if it has waited long and its job has no runs
     * @param mayUseQuarantined true if it may use workers that are in quarantine or on probation
     */
    record WorkerSearch(
            Task task,
            String service,
            long waitedMillis,
            boolean starved,
            boolean mayUseQuarantined) {
        StepSpec spec() {
            return task.step.spec;
        }
    }

    WorkerSearch newSearch(Task task, long now) {
        long waitedMillis = task.waitedMillis(now);
        boolean starved = waitedMillis >= MAX_WAIT_WITHOUT_RUNS_MILLIS && !task.job().hasRuns();
        String service = state.queueRules(task.job()).service();
        boolean mayUseQuarantined = quarantineOverride.applies(task, service, waitedMillis);
        return new WorkerSearch(task, service, waitedMillis, starved, mayUseQuarantined);
    }

    /** Returns the best worker for a task, or empty if no eligible worker fits it now. */
    Optional<Worker> chooseWorker(Task task, long now) {
        return rankWorkers(task, now).bestWorker(task);
    }

    /**
     * Ranks the eligible workers for the waiting tasks of a step.
     *
     * @param first the first of these tasks, for which the costs are computed
     */
    WorkerRanking rankWorkers(Task first, long now) {
        WorkerSearch search = newSearch(first, now);
        WorkerRanking ranking = new WorkerRanking(this, now);
        for (Worker worker : state.workers.values()) {
            if (worker.fits(search.spec()) && isEligible(worker, search, now)) {
                ranking.add(worker, cost(worker, first, now));
            }
        }
        return ranking;
    }

    /** Returns whether a worker is eligible for a task, without regard to its free capacity. */
    boolean isEligible(Worker worker, WorkerSearch search, long now) {
        return blocker(worker, search, now) == PlacementBlocker.NONE;
    }

    /** Returns why a worker is not eligible for a task, without regard to its free capacity. */
    PlacementBlocker blocker(Worker worker, WorkerSearch search, long now) {
        if (!worker.info.service().equals(search.service())) {
            return PlacementBlocker.OTHER_SERVICE;
        }
        PlacementBlocker workerBlocker = workerBlocker(worker, now);
        if (workerBlocker != PlacementBlocker.NONE) {
            return workerBlocker;
        }
        if (worker.trialTask.isPresent() && worker.trialTask.get() != search.task()) {
            return PlacementBlocker.CRASH_TRIAL;
        }
        PlacementBlocker taskBlocker = taskBlocker(worker, search);
        if (taskBlocker != PlacementBlocker.NONE) {
            return taskBlocker;
        }
        if (search.spec().isFilling() && !mayFill(worker, search, now)) {
            return PlacementBlocker.INTERFERENCE;
        }
        return healthBlocker(worker, search, now);
    }

    /** Returns whether starts may be sent to a worker. */
    boolean acceptsStarts(Worker worker, long now) {
        return workerBlocker(worker, now) == PlacementBlocker.NONE;
    }

    /** Returns why a worker is not eligible for any task. */
    private PlacementBlocker workerBlocker(Worker worker, long now) {
        if (!worker.reachable) {
            return worker.hasReported ? PlacementBlocker.SILENT : PlacementBlocker.NOT_COUNTED;
        }
        if (!worker.hasReported || !worker.hasClockReading()) {
            return PlacementBlocker.NOT_COUNTED;
        }
        if (!worker.listed && now - worker.unlistedAt >= UNLISTED_GRACE_MILLIS) {
            return PlacementBlocker.UNLISTED;
        }
        if (worker.info.draining()) {
            return PlacementBlocker.DRAINING;
        }
        if (worker.noStartBefore > now) {
            return PlacementBlocker.PAUSED;
        }
        boolean evacuated = state.evacuatedDataCentres.contains(worker.info.dataCentre());
        return evacuated ? PlacementBlocker.EVACUATED : PlacementBlocker.NONE;
    }

    /** Returns which requirement or limit of its step or task excludes a worker. */
    private static PlacementBlocker taskBlocker(Worker worker, WorkerSearch search) {
        Task task = search.task();
        StepSpec spec = search.spec();
        if (spec.requiredLabel().isPresent()
                && !worker.info.labels().contains(spec.requiredLabel().get())) {
            return PlacementBlocker.LABEL;
        }
        if (spec.maxPerWorker() > 0 && task.step.activeRunsOn(worker) >= spec.maxPerWorker()) {
            return PlacementBlocker.WORKER_LIMIT;
        }
        for (Run run : task.runs) {
            if (run.worker == worker) {
                return PlacementBlocker.OWN_COPY;
            }
        }
        return PlacementBlocker.NONE;
    }

    /** Returns the blocker if a quarantine or probation excludes a worker. */
    private PlacementBlocker healthBlocker(Worker worker, WorkerSearch search, long now) {
        if (!worker.health.isOnProbation()
                || search.mayUseQuarantined()
                        && quarantineOverride.admits(
                                worker, search.task(), search.waitedMillis())) {
            return PlacementBlocker.NONE;
        }
        if (worker.health.isQuarantined(now)) {
            return PlacementBlocker.QUARANTINED;
        }
        return hasProbe(worker) ? PlacementBlocker.ON_PROBATION : PlacementBlocker.NONE;
    }

    /**
     * Returns whether a run that was ordered after the quarantine is probing a worker. Runs from
     * before the quarantine do not count: they do not show whether the worker has recovered, and
     * may last long.
     */
    private static boolean hasProbe(Worker worker) {
        for (Run run : worker.runs.values()) {
            if (worker.health.isProbe(run.orderedAt)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether a filling task may start on a worker. It needs spare processor for full speed
     * and serving tasks below their targets with enough headroom; the longer it has waited, the
     * more headroom it may overdraw. After {@link #MAX_WAIT_WITHOUT_RUNS_MILLIS}, the headroom is
     * not checked for a job without runs; {@link FillThrottle} then protects the serving tasks.
     */
    private boolean mayFill(Worker worker, WorkerSearch search, long now) {
        StepSpec spec = search.spec();
        long demand = worker.fillDemandMilliCores + spec.resources().milliCores();
        if (search.starved()) {
            // After a takeover, CustomerLimits relies on this bound until the worker has reported.
            boolean limited = state.limits.hasLimit(search.task().job());
            return !limited || demand <= worker.info.capacity().milliCores();
        }
        if (demand > worker.spareMilliCores() || worker.hasServingOverTarget) {
            return false;
        }
        double overdraft =
                Math.max(0, search.waitedMillis() - HEADROOM_WAIT_MILLIS) * OVERDRAFT_PER_MILLI;
        return minHeadroom(worker, spec, now) + Math.min(MAX_OVERDRAFT, overdraft) >= 0;
    }

    /**
     * A cached minimum over the serving tasks of a worker: the headroom that remains if a task of a
     * filling step is added. It holds the inputs from which it was computed.
     *
     * @param filling the filling step
     * @param runChangeCount the number of changes to the runs of the worker
     * @param trialCount the number of trials of image pairs
     * @param computedAt the time of the computation
     * @param headroom the remaining headroom
     */
    record MinHeadroom(
            StepSpec filling,
            long runChangeCount,
            long trialCount,
            long computedAt,
            double headroom) {
        /** Returns whether the inputs are unchanged and recent enough. */
        boolean isValidFor(
                StepSpec currentFilling, Worker worker, long currentTrialCount, long now) {
            return filling == currentFilling
                    && runChangeCount == worker.runChangeCount()
                    && trialCount == currentTrialCount
                    && now - computedAt < HEADROOM_CACHE_MILLIS;
        }
    }

    private double minHeadroom(Worker worker, StepSpec filling, long now) {
        long trialCount = state.tailModel.trialCount();
        Optional<MinHeadroom> cached =
                worker.minHeadroom.filter(
                        cachedHeadroom ->
                                cachedHeadroom.isValidFor(filling, worker, trialCount, now));
        if (cached.isPresent()) {
            return cached.get().headroom();
        }
        double headroom = computeMinHeadroom(worker, filling, now);
        worker.minHeadroom =
                Optional.of(
                        new MinHeadroom(
                                filling, worker.runChangeCount(), trialCount, now, headroom));
        return headroom;
    }

    private double computeMinHeadroom(Worker worker, StepSpec filling, long now) {
        double use = worker.processorShare(filling.resources().milliCores());
        String image = filling.image().orElse("");
        long durationMillis = filling.estimateMillis() + DURATION_MARGIN_MILLIS;
        double lowest = 1;
        for (Run run : worker.servingRunPerLoad()) {
            double loss = state.tailModel.plannedLoss(run.image(), image, use, now);
            if (loss > NEGLIGIBLE_LOSS && !state.tailModel.isHarmless(run.image(), image)) {
                double remainingHeadroom =
                        spareHeadroom(run, now, durationMillis) - plannedLoss(run, now) - loss;
                lowest = Math.min(lowest, remainingHeadroom);
            }
        }
        return lowest;
    }

    /** Returns the headroom of a serving task that filling tasks may take for a given time. */
    double spareHeadroom(Run run, long now, long forMillis) {
        return state.tailModel.spareHeadroom(
                run.loadKey(), run.image(), run.spec().latencyTargetMillis(), now, forMillis);
    }

    /**
     * Returns the loss of headroom to assume for a serving task because of the filling tasks on its
     * worker.
     */
    private double plannedLoss(Run run, long now) {
        double sum = 0;
        for (Run other : run.worker.runs.values()) {
            if (other.spec().isFilling()) {
                double use = run.worker.processorShare(other.spec().resources().milliCores());
                sum += state.tailModel.plannedLoss(run.image(), other.image(), use, now);
            }
        }
        return sum;
    }

    /**
     * Returns whether tasks may be assigned to a worker, so that it counts towards the usable
     * capacity.
     */
    boolean isUsable(Worker worker, long now) {
        return workerBlocker(worker, now) == PlacementBlocker.NONE
                && !worker.health.isQuarantined(now);
    }

    /** Returns the cost of a task on a worker; the worker with the lowest cost is chosen. */
    double cost(Worker worker, Task task, long now) {
        StepSpec spec = task.step.spec;
        double cost = loadCost(worker, spec, now);
        if (worker.health.isSuspect()) {
            cost += SUSPECT_COST;
        }
        if (isSlow(worker)) {
            cost += SLOW_COST;
        }
        if (task.failedOnWorkers.contains(worker.id)) {
            cost += RETRY_SAME_WORKER_COST;
        }
        if (spec.preferredRack().isPresent()
                && !worker.info.labels().contains(spec.preferredRack().get())) {
            cost += OTHER_THAN_PREFERRED_RACK_COST;
        }
        if (spec.isRackLocal() && isOtherRack(worker, task.step)) {
            cost += OTHER_RACK_COST;
        }
        if (state.crashes.isSuspect(task)) {
            cost += OTHER_CRASH_SUSPECT_COST * state.crashes.youngSuspectsOn(worker, task);
        }
        return cost + SAME_JOB_COST * task.step.activeRunsOn(worker);
    }

    /**
     * Returns the part of the cost that spreads tasks evenly over the workers. Serving tasks are
     * instead grouped by image.
     */
    private double loadCost(Worker worker, StepSpec spec, long now) {
        double demand = worker.reserved().milliCores() + worker.fillDemandMilliCores;
        double load = worker.processorShare(demand + spec.resources().milliCores());
        if (spec.isFilling()) {
            double overTargetCost = worker.hasServingOverTarget ? OVER_TARGET_COST : 0;
            return overTargetCost
                    + load
                    - HEADROOM_WEIGHT * Math.min(0.5, minHeadroom(worker, spec, now));
        }
        return spec.latencyTargetMillis() > 0 ? servingCost(worker, spec) + load / 10 : load;
    }

    /**
     * Returns the cost of placing a serving task beside the other tasks of a worker. It prefers
     * workers that run only the same serving image: the fewer serving images a worker has, the more
     * filling images can run there.
     */
    private double servingCost(Worker worker, StepSpec spec) {
        String image = spec.image().orElse("");
        boolean hasServing = false;
        boolean hasOtherImage = false;
        double expectedLoss = 0;
        for (Run run : worker.runs.values()) {
            if (run.isServing()) {
                hasServing = true;
                hasOtherImage |= !run.image().equals(image);
            } else if (run.spec().isFilling()) {
                double use = worker.processorShare(run.spec().resources().milliCores());
                expectedLoss += state.tailModel.expectedLoss(image, run.image(), use);
            }
        }
        return (hasServing ? 0 : FIRST_SERVING_COST)
                + (hasOtherImage ? OTHER_IMAGE_COST : 0)
                + expectedLoss;
    }

    private static boolean isOtherRack(Worker worker, Step step) {
        for (Task task : step.tasks) {
            for (Run run : task.runs) {
                return !run.worker.info.rack().equals(worker.info.rack());
            }
        }
        return false;
    }
}
