package org.peridotcourse.dispatch;

import java.util.Optional;

/**
 * Chooses the worker of a task: one that may run it and has room, with the least expected delay and
 * interference. Confined to one thread.
 */
final class WorkerChoice {
    /** A worker that progresses this much slower than most is used last. */
    static final double SLOW_FACTOR = 2.5;

    /** A worker that left the list is given time to return, as after an outage of the store. */
    static final long UNLISTED_MILLIS = 3_000;

    /** A filling task of a job of which nothing runs waits no longer than this. */
    private static final long NOTHING_RUNS_MILLIS = 2_000;

    /** Time for which a filling task waits for a worker on which it disturbs nobody. */
    private static final long PATIENT_MILLIS = 1_000;

    private static final double RISK_PER_MILLI = 0.2 / 4_000;
    private static final double MOST_RISK = 0.25;

    /** Headroom taken by a filling task that makes no difference. */
    private static final double NEGLIGIBLE = 0.015;

    /** Estimates are rough, so that filling tasks stay longer than they say. */
    private static final long STAY_MARGIN_MILLIS = 1_000;

    /** Headrooms change within seconds. */
    private static final long TIGHTEST_MILLIS = 100;

    private static final double SUSPECT_COST = 4;
    private static final double SLOW_COST = 6;
    private static final double RETRY_THERE_COST = 8;
    private static final double FAR_COST = 3;
    private static final double OTHER_RACK_COST = 2;
    private static final double SAME_JOB_COST = 0.02;
    private static final double NEW_SENSITIVE_COST = 0.3;
    private static final double OTHER_IMAGE_COST = 0.5;
    private static final double TIGHTNESS_COST = 3;

    private final OwnerState state;
    private final QuarantineOverride quarantineOverride;
    private double usualSlowness = 1;

    WorkerChoice(OwnerState state) {
        this.state = state;
        this.quarantineOverride = new QuarantineOverride(state);
    }

    /** Measures anew how fast workers usually progress and how much of them is in use. */
    void refresh() {
        quarantineOverride.refresh();
        double[] rates =
                state.workers.values().stream()
                        .filter(worker -> worker.health.hasRate())
                        .mapToDouble(worker -> worker.health.slowness())
                        .sorted()
                        .toArray();
        usualSlowness = rates.length == 0 ? 1 : rates[rates.length / 2];
    }

    boolean isSlow(Worker worker) {
        return worker.health.hasRate() && worker.health.slowness() > SLOW_FACTOR * usualSlowness;
    }

    /**
     * A task that wants a worker, with what is the same for all workers.
     *
     * @param task the task
     * @param service the service whose workers may run it
     * @param waited how long it has waited
     * @param neglected true if it has waited long and nothing of its job runs
     * @param quarantineOverride true if it may use workers that are in quarantine
     */
    record Search(
            Task task, String service, long waited, boolean neglected, boolean quarantineOverride) {
        StepSpec spec() {
            return task.step.spec;
        }
    }

    Search search(Task task, long now) {
        long waited = task.waited(now);
        boolean neglected = waited >= NOTHING_RUNS_MILLIS && !task.job().hasRuns();
        String service = state.rules(task.job()).service();
        boolean last = quarantineOverride.applies(task, service, waited);
        return new Search(task, service, waited, neglected, last);
    }

    /** Returns the best worker for a task, or empty if none has room now. */
    Optional<Worker> choose(Task task, long now) {
        return rank(task, now).best(task);
    }

    /**
     * Ranks the workers for the waiting tasks of a step.
     *
     * @param first the first of these tasks
     */
    Ranking rank(Task first, long now) {
        Search search = search(first, now);
        Ranking ranking = new Ranking(this, now);
        for (Worker worker : state.workers.values()) {
            if (worker.fits(search.spec()) && mayRun(worker, search, now)) {
                ranking.add(worker, cost(worker, first, now));
            }
        }
        return ranking;
    }

    /** Tells whether a worker may run a task, leaving aside its room. */
    boolean mayRun(Worker worker, Search search, long now) {
        return blocker(worker, search, now) == PlacementBlocker.NONE;
    }

    /** Returns what keeps a worker from running a task, leaving aside its room. */
    PlacementBlocker blocker(Worker worker, Search search, long now) {
        if (!worker.info.service().equals(search.service())) {
            return PlacementBlocker.OTHER_SERVICE;
        }
        PlacementBlocker absence = absence(worker, now);
        if (absence != PlacementBlocker.NONE) {
            return absence;
        }
        PlacementBlocker limit = limit(worker, search);
        if (limit != PlacementBlocker.NONE) {
            return limit;
        }
        if (search.spec().isFilling() && !mayFill(worker, search, now)) {
            return PlacementBlocker.INTERFERENCE;
        }
        return healthBlocker(worker, search, now);
    }

    /** Returns why a worker takes no task at all. */
    private PlacementBlocker absence(Worker worker, long now) {
        if (!worker.reachable) {
            return worker.counted ? PlacementBlocker.SILENT : PlacementBlocker.NOT_COUNTED;
        }
        if (!worker.counted || !worker.hasClock()) {
            return PlacementBlocker.NOT_COUNTED;
        }
        if (!worker.listed && now - worker.unlistedAt >= UNLISTED_MILLIS) {
            return PlacementBlocker.UNLISTED;
        }
        if (worker.info.draining()) {
            return PlacementBlocker.DRAINING;
        }
        if (worker.avoidUntil > now) {
            return PlacementBlocker.PAUSED;
        }
        boolean evacuated = state.evacuated.contains(worker.info.dataCentre());
        return evacuated ? PlacementBlocker.EVACUATED : PlacementBlocker.NONE;
    }

    /** Returns why a step is not for a worker. */
    private static PlacementBlocker limit(Worker worker, Search search) {
        Task task = search.task();
        StepSpec spec = search.spec();
        if (spec.requiredLabel().isPresent()
                && !worker.info.labels().contains(spec.requiredLabel().get())) {
            return PlacementBlocker.LABEL;
        }
        if (spec.maxPerWorker() > 0 && task.step.activeOn(worker) >= spec.maxPerWorker()) {
            return PlacementBlocker.WORKER_LIMIT;
        }
        for (Run run : task.runs) {
            if (run.worker == worker) {
                return PlacementBlocker.OWN_COPY;
            }
        }
        return PlacementBlocker.NONE;
    }

    /** Returns whether the way in which runs ended on a worker keeps a task away. */
    private PlacementBlocker healthBlocker(Worker worker, Search search, long now) {
        if (!worker.health.isOnProbation()
                || search.quarantineOverride()
                        && quarantineOverride.admits(worker, search.task(), search.waited())) {
            return PlacementBlocker.NONE;
        }
        if (worker.health.isQuarantined(now)) {
            return PlacementBlocker.QUARANTINED;
        }
        return isProbed(worker) ? PlacementBlocker.ON_PROBATION : PlacementBlocker.NONE;
    }

    /** Tells whether a probe runs. Runs from before the quarantine say nothing and may last. */
    private static boolean isProbed(Worker worker) {
        for (Run run : worker.runs.values()) {
            if (worker.health.isProbe(run.orderedAt)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Filling tasks run at full speed or wait, and keep away from tasks that they disturb. The
     * longer one waits, the more pressure is risked; a job of which nothing runs gets a worker in
     * any case, where pacing protects the serving tasks.
     */
    private boolean mayFill(Worker worker, Search search, long now) {
        StepSpec spec = search.spec();
        long demand = worker.fillMilliCores + spec.need().milliCores();
        if (search.neglected()) {
            // A successor relies on this bound while it does not know what runs here.
            boolean limited = state.limits.hasLimit(search.task().job());
            return !limited || demand <= worker.info.capacity().milliCores();
        }
        if (demand > worker.spareMilliCores()) {
            return false;
        }
        double risked = Math.max(0, search.waited() - PATIENT_MILLIS) * RISK_PER_MILLI;
        return tightest(worker, spec, now) + Math.min(MOST_RISK, risked) >= 0;
    }

    /**
     * The headroom that the most sensitive task of a worker has left once a filling task joins, and
     * what it was found from.
     */
    record Tightest(StepSpec filling, long changes, long trials, long at, double headroom) {
        boolean holds(StepSpec present, Worker worker, long presentTrials, long now) {
            return filling == present
                    && changes == worker.changes()
                    && trials == presentTrials
                    && now - at < TIGHTEST_MILLIS;
        }
    }

    private double tightest(Worker worker, StepSpec filling, long now) {
        long trials = state.tails.trials();
        Optional<Tightest> known =
                worker.tightest.filter(one -> one.holds(filling, worker, trials, now));
        if (known.isPresent()) {
            return known.get().headroom();
        }
        double found = findTightest(worker, filling, now);
        worker.tightest = Optional.of(new Tightest(filling, worker.changes(), trials, now, found));
        return found;
    }

    private double findTightest(Worker worker, StepSpec filling, long now) {
        double use = worker.share(filling.need().milliCores());
        String image = filling.image().orElse("");
        long stay = filling.estimateMillis() + STAY_MARGIN_MILLIS;
        double tightest = 1;
        for (Run run : worker.servingLoads()) {
            double added = state.tails.planned(run.image(), image, use, now);
            if (added > NEGLIGIBLE && !state.tails.isMild(run.image(), image)) {
                double left = slack(run, now, stay) - planned(run, now) - added;
                tightest = Math.min(tightest, left);
            }
        }
        return tightest;
    }

    /** Headroom of a serving task that filling tasks may take for some time. */
    double slack(Run run, long now, long forMillis) {
        return state.tails.slack(
                run.load(), run.image(), run.spec().targetMillis(), now, forMillis);
    }

    /** Headroom that the filling tasks beside a serving one may take at full pace. */
    private double planned(Run run, long now) {
        double sum = 0;
        for (Run other : run.worker.runs.values()) {
            if (other.spec().isFilling()) {
                double use = run.worker.share(other.spec().need().milliCores());
                sum += state.tails.planned(run.image(), other.image(), use, now);
            }
        }
        return sum;
    }

    boolean isUsable(Worker worker, long now) {
        return absence(worker, now) == PlacementBlocker.NONE && !worker.health.isQuarantined(now);
    }

    /** Returns what speaks against a worker; the least is chosen. */
    double cost(Worker worker, Task task, long now) {
        StepSpec spec = task.step.spec;
        double cost = load(worker, spec, now);
        if (worker.health.isSuspect()) {
            cost += SUSPECT_COST;
        }
        if (isSlow(worker)) {
            cost += SLOW_COST;
        }
        if (task.failedOn.contains(worker.id)) {
            cost += RETRY_THERE_COST;
        }
        if (spec.preferredRack().isPresent()
                && !worker.info.labels().contains(spec.preferredRack().get())) {
            cost += FAR_COST;
        }
        if (spec.isRackLocal() && isOtherRack(worker, task.step)) {
            cost += OTHER_RACK_COST;
        }
        return cost + SAME_JOB_COST * task.step.activeOn(worker);
    }

    /** Tasks spread evenly, but for serving ones, which share workers by image. */
    private double load(Worker worker, StepSpec spec, long now) {
        double wanted = worker.used().milliCores() + worker.fillMilliCores;
        double load = worker.share(wanted + spec.need().milliCores());
        if (spec.isFilling()) {
            return load - TIGHTNESS_COST * Math.min(0.5, tightest(worker, spec, now));
        }
        return spec.targetMillis() > 0 ? company(worker, spec) + load / 10 : load;
    }

    /**
     * What a serving task meets on a worker. The fewer serving images a worker has, the more
     * filling images can work there.
     */
    private double company(Worker worker, StepSpec spec) {
        String image = spec.image().orElse("");
        boolean served = false;
        boolean other = false;
        double pressure = 0;
        for (Run run : worker.runs.values()) {
            if (run.isServing()) {
                served = true;
                other |= !run.image().equals(image);
            } else if (run.spec().isFilling()) {
                double use = worker.share(run.spec().need().milliCores());
                pressure += state.tails.added(image, run.image(), use);
            }
        }
        return (served ? 0 : NEW_SENSITIVE_COST) + (other ? OTHER_IMAGE_COST : 0) + pressure;
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
