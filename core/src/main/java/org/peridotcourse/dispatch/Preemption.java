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
    static final long PATIENCE_MILLIS = 400;

    /**
     * Time between two preemptions, so that the capacity freed by one is used before the next one
     * frees more.
     */
    private static final long MIN_INTERVAL_MILLIS = 150;

    private final OwnerState state;
    private final WorkerChoice choice;
    private final RunBook runs;
    private long nextAt;

    Preemption(OwnerState state, WorkerChoice choice, RunBook runs) {
        this.state = state;
        this.choice = choice;
        this.runs = runs;
    }

    /** Preempts runs for the task of a step that has waited longest, if it has waited enough. */
    void consider(Step step, long now) {
        if (now < nextAt || now < step.preemptAt || step.spec.isFilling()) {
            return;
        }
        Task task = longestWaiting(step, now);
        if (task == null || task.waited(now) < PATIENCE_MILLIS) {
            return;
        }
        List<Run> best = List.of();
        double bestLoss = Double.MAX_VALUE;
        int priority = state.rules(step.job()).priority();
        WorkerChoice.Search search = choice.search(task, now);
        for (Worker worker : state.workers.values()) {
            if (!choice.mayRun(worker, search, now)) {
                continue;
            }
            List<Run> victims = victims(worker, step.spec, priority);
            double loss = victims.stream().mapToDouble(run -> lostWork(run, now)).sum();
            if (!victims.isEmpty() && loss < bestLoss) {
                best = victims;
                bestLoss = loss;
            }
        }
        step.preemptAt = now + MIN_INTERVAL_MILLIS;
        if (!best.isEmpty()) {
            nextAt = now + MIN_INTERVAL_MILLIS;
            best.forEach(run -> runs.stop(run, StopReason.PREEMPTED, now));
        }
    }

    private Task longestWaiting(Step step, long now) {
        Task longest = null;
        for (Task task : step.tasks) {
            boolean waits = task.mayStart(now) && state.census.isFree(task);
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
                stopping = stopping.plus(run.spec().reserved());
            } else if (isVictim(run, priority)) {
                candidates.add(run);
            }
        }
        candidates.sort(Comparator.comparing(run -> !run.spec().isCheckpointing()));
        List<Run> chosen = new ArrayList<>();
        Resources capacity = worker.info.capacity();
        Resources needed = worker.used().minus(stopping).plus(step.reserved());
        for (Run run : candidates) {
            if (needed.isWithin(capacity)) {
                break;
            }
            needed = needed.minus(run.spec().reserved());
            chosen.add(run);
        }
        return needed.isWithin(capacity) ? chosen : List.of();
    }

    private boolean isVictim(Run run, int priority) {
        return state.rules(run.task.job()).priority() > priority
                && !run.spec().isLasting()
                && !run.spec().isGang();
    }

    /** Returns the work that is lost if a run is stopped, in core milliseconds. */
    private static double lostWork(Run run, long now) {
        if (run.spec().isCheckpointing()) {
            return 1;
        }
        return run.spec().need().milliCores() / 1e3 * (now - run.orderedAt);
    }
}
