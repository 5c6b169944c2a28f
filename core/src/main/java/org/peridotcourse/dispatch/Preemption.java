package org.peridotcourse.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.peridotcourse.Resources;

/**
 * Stops runs of a lower priority to free capacity for a task that has waited, and chooses them so
 * that the least work is lost. Confined to one thread.
 */
final class Preemption {
    /**
     * Wait before a task may preempt others. Tasks end often enough that capacity usually becomes
     * free within this time.
     */
    static final long MIN_WAIT_MILLIS = 400;

    /**
     * Time between two preemptions, so that the capacity freed by one is used before the next one
     * frees more.
     */
    private static final long MIN_INTERVAL_MILLIS = 150;

    private final OwnerState state;
    private final WorkerSelector selector;
    private final RunLifecycle runs;
    private long nextAt;

    Preemption(OwnerState state, WorkerSelector selector, RunLifecycle runs) {
        this.state = state;
        this.selector = selector;
        this.runs = runs;
    }

    /** Preempts runs for the task of a step that has waited longest, if it has waited enough. */
    void preemptIfDue(Step step, long now) {
        if (now < nextAt || now < step.nextPreemptionAt || step.spec.isFilling()) {
            return;
        }
        Task task = longestWaiting(step, now);
        if (task == null || task.waitedMillis(now) < MIN_WAIT_MILLIS) {
            return;
        }
        List<Run> best = List.of();
        double bestLoss = Double.MAX_VALUE;
        int priority = state.queueRules(step.job()).priority();
        WorkerSelector.WorkerSearch search = selector.newSearch(task, now);
        for (Worker worker : state.workers.values()) {
            if (!selector.isEligible(worker, search, now)) {
                continue;
            }
            List<Run> victims = victims(worker, step.spec, priority);
            double loss = victims.stream().mapToDouble(run -> lostWork(run, now)).sum();
            if (!victims.isEmpty() && loss < bestLoss) {
                best = victims;
                bestLoss = loss;
            }
        }
        step.nextPreemptionAt = now + MIN_INTERVAL_MILLIS;
        if (!best.isEmpty()) {
            nextAt = now + MIN_INTERVAL_MILLIS;
            best.forEach(run -> runs.stop(run, StopReason.PREEMPTED, now));
        }
    }

    private Task longestWaiting(Step step, long now) {
        Task longest = null;
        for (Task task : step.tasks) {
            // A task that is to be started alone waits for a quiet worker, not for capacity.
            boolean waits =
                    task.mayStart(now)
                            && state.reconciliation.isSafeToStart(task)
                            && state.crashes.lossCount(task) < CrashTrials.LOSSES_FOR_TRIAL;
            if (waits && (longest == null || task.waitingSince < longest.waitingSince)) {
                longest = task;
            }
        }
        return longest;
    }

    /**
     * Returns runs of a lower priority whose stop frees enough capacity on a worker for a task, or
     * an empty list if stopping all of them is not enough.
     */
    private List<Run> victims(Worker worker, StepSpec step, int priority) {
        List<Run> candidates = new ArrayList<>();
        Resources stopping = Resources.ZERO;
        for (Run run : worker.runs.values()) {
            if (run.isStopping()) {
                stopping = stopping.plus(run.spec().reservedResources());
            } else if (isVictim(run, priority)) {
                candidates.add(run);
            }
        }
        candidates.sort(Comparator.comparing(run -> !run.spec().isCheckpointing()));
        List<Run> chosen = new ArrayList<>();
        Resources capacity = worker.info.capacity();
        Resources needed = worker.reserved().minus(stopping).plus(step.reservedResources());
        for (Run run : candidates) {
            if (needed.isWithin(capacity)) {
                break;
            }
            needed = needed.minus(run.spec().reservedResources());
            chosen.add(run);
        }
        return needed.isWithin(capacity) ? chosen : List.of();
    }

    private boolean isVictim(Run run, int priority) {
        return state.queueRules(run.task.job()).priority() > priority
                && !run.spec().isLasting()
                && !run.spec().isGang();
    }

    /** Returns the work that is lost if a run is stopped, in core milliseconds. */
    private static double lostWork(Run run, long now) {
        if (run.spec().isCheckpointing()) {
            return 1;
        }
        return run.spec().resources().milliCores() / 1e3 * (now - run.orderedAt);
    }
}
