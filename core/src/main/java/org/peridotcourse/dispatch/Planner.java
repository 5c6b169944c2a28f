package org.peridotcourse.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;

/** Assigns waiting tasks to workers with free capacity and starts them. Confined to one thread. */
final class Planner {
    /**
     * Maximum number of starts in one round. The next round follows at once, after the replies to
     * the starts of this one.
     */
    private static final int STARTS_PER_ROUND = 64;

    /**
     * Delay before the next search for a worker after one found none for a filling step. Such a
     * search computes the headroom of all workers, and many filling steps wait under high load.
     */
    private static final long FILL_SEARCH_DELAY_MILLIS = 40;

    private final OwnerState state;
    private final CustomerShares shares;
    private final StepOrder stepOrder;
    private final WorkerSelector selector;
    private final RunLifecycle runs;
    private final CrashTrials trials;
    private final RecordedStarts recordedStarts;
    private final Preemption preemption;
    private final WaitingTaskLog waitingTaskLog;

    Planner(
            OwnerState state,
            WorkerSelector selector,
            RunLifecycle runs,
            CrashTrials trials,
            RecordedStarts recordedStarts) {
        this.state = state;
        this.shares = new CustomerShares(state, selector);
        this.stepOrder = new StepOrder(state, shares);
        this.selector = selector;
        this.runs = runs;
        this.trials = trials;
        this.recordedStarts = recordedStarts;
        this.preemption = new Preemption(state, selector, runs);
        this.waitingTaskLog = new WaitingTaskLog(state, selector);
    }

    /**
     * Starts, in order, the waiting tasks for which there is free capacity.
     *
     * @return true if the round reached its maximum of starts, so that another one should follow
     */
    boolean startWaitingTasks(long now) {
        if (state.availableStarts() == 0) {
            return true;
        }
        int maxStarts = Math.min(STARTS_PER_ROUND, state.availableStarts());
        int started = 0;
        PriorityQueue<StepOrder.Candidate> waiting = stepOrder.waitingSteps(now);
        while (!waiting.isEmpty() && started < maxStarts) {
            StepOrder.Candidate candidate = waiting.poll();
            Step step = candidate.step();
            int starts =
                    reachedShareInRound(candidate) ? 0 : start(candidate, maxStarts - started, now);
            started += starts;
            if (reachedShareInRound(candidate)) {
                // The customer reached its share in this round; steps of other customers come
                // first.
                waiting.add(candidate.withShareReached());
            } else if (starts == 0 && !state.limits.blocksStart(step, now)) {
                preemption.preemptIfDue(step, now);
                waitingTaskLog.logIfDue(step, now);
            }
        }
        return started >= maxStarts;
    }

    private boolean reachedShareInRound(StepOrder.Candidate candidate) {
        return !candidate.shareReached() && shares.hasReachedShare(candidate.step().job());
    }

    private int start(StepOrder.Candidate candidate, int maxStarts, long now) {
        Step step = candidate.step();
        // A gang is started as a whole, even if that exceeds the maximum.
        return step.spec.isGang() ? startGang(step, now) : startTasks(candidate, maxStarts, now);
    }

    private int startTasks(StepOrder.Candidate candidate, int maxStarts, long now) {
        Step step = candidate.step();
        if (now < step.nextSearchAt) {
            return 0;
        }
        int started = 0;
        WorkerRanking ranking = null;
        for (Task task : step.tasks) {
            if (!mayStart(task, now)) {
                continue;
            }
            boolean reachedMax = started >= maxStarts || reachedShareInRound(candidate);
            if (reachedMax || state.limits.blocksStart(step, now)) {
                return started;
            }
            if (state.crashes.isSuspect(task)) {
                started += startSuspect(task, now) ? 1 : 0;
                continue;
            }
            ranking = ranking == null ? selector.rankWorkers(task, now) : ranking;
            Optional<Worker> worker = ranking.bestWorker(task);
            if (worker.isEmpty()) {
                // The other tasks of the step need the same resources, so no worker fits them.
                step.nextSearchAt = step.spec.isFilling() ? now + FILL_SEARCH_DELAY_MILLIS : 0;
                return started;
            }
            start(task, worker.get(), task.lastAttempt + 1, now, "start");
            started++;
        }
        return started;
    }

    /** Starts a task that may have crashed a worker, if a suitable worker is free for it. */
    private boolean startSuspect(Task task, long now) {
        if (state.crashes.mustWait(task)) {
            return false;
        }
        boolean alone = trials.needsTrial(task, now);
        Optional<Worker> worker =
                alone ? trials.chooseWorker(task, now) : selector.chooseWorker(task, now);
        if (worker.isEmpty()) {
            return false;
        }
        Run run = runs.assign(task, worker.get(), task.lastAttempt + 1, now);
        run.alone = alone;
        recordedStarts.add(run, "start", now);
        return true;
    }

    private void start(Task task, Worker worker, int attempt, long now, String cause) {
        boolean mayCrash =
                state.crashes.isSuspect(task) || state.reconciliation.mayHaveCrashedWorker(task);
        Run run = runs.assign(task, worker, attempt, now);
        if (mayCrash) {
            recordedStarts.add(run, cause, now);
        } else {
            runs.sendStart(run, now, cause);
        }
    }

    private boolean mayStart(Task task, long now) {
        return task.mayStart(now) && state.reconciliation.isSafeToStart(task);
    }

    /** Starts all tasks of a gang with the same attempt number, or none of them. */
    private int startGang(Step step, long now) {
        int attempt = 0;
        for (Task task : step.tasks) {
            if (!mayStart(task, now) || state.crashes.mustWait(task)) {
                return 0;
            }
            attempt = Math.max(attempt, task.lastAttempt + 1);
        }
        if (state.limits.blocksStart(step, now)) {
            return 0;
        }
        shareCheckpoint(step);
        List<Run> started = new ArrayList<>();
        List<Worker> targets = new ArrayList<>();
        for (Task task : step.tasks) {
            Optional<Worker> worker = selector.chooseWorker(task, now);
            if (worker.isEmpty()) {
                break;
            }
            targets.add(worker.get());
            started.add(reserveCapacity(task, worker.get(), attempt, now));
        }
        started.forEach(Planner::releaseReservation);
        if (targets.size() < step.tasks.length) {
            return 0;
        }
        for (int i = 0; i < step.tasks.length; i++) {
            start(step.tasks[i], targets.get(i), attempt, now, "gang");
        }
        return step.tasks.length;
    }

    /** Sets the newest checkpoint of any gang member for all members, since it is valid for all. */
    private static void shareCheckpoint(Step step) {
        String newest = "";
        for (Task task : step.tasks) {
            if (task.checkpoint.compareTo(newest) > 0) {
                newest = task.checkpoint;
            }
        }
        for (Task task : step.tasks) {
            task.checkpoint = newest;
        }
    }

    private static Run reserveCapacity(Task task, Worker worker, int attempt, long now) {
        Run run = new Run(task, attempt, worker, now);
        worker.add(run);
        task.runs.add(run);
        return run;
    }

    private static void releaseReservation(Run run) {
        run.worker.remove(run);
        run.task.runs.remove(run);
    }

    /**
     * Starts a speculative copy of a task with a slow run.
     *
     * @return true if a copy was started
     */
    boolean startSpeculativeCopy(Run slow, long now, String reason) {
        Task task = slow.task;
        boolean needed = !task.done && task.job().isActive() && !slow.isStopping();
        if (!task.step.spec.isSpeculative() || task.runs.size() > 1 || !needed) {
            return false;
        }
        if (state.crashes.lossCount(task) > 1) {
            // It may crash its workers, so that copies would crash several at a time.
            return false;
        }
        if (task.job().inherited && !state.reconciliation.isComplete()) {
            return false;
        }
        if (state.availableStarts() == 0 || state.limits.blocksStart(task.step, now)) {
            return false;
        }
        Optional<Worker> worker = selector.chooseWorker(task, now);
        worker.ifPresent(target -> start(task, target, task.lastAttempt + 1, now, reason));
        return worker.isPresent();
    }
}
