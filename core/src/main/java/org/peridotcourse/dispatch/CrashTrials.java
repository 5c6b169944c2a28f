package org.peridotcourse.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Chooses workers for tasks that may have crashed workers, so that the next crash shows its cause.
 *
 * <p>After several lost runs a task is started alone: a worker is kept free of other starts until
 * all its runs are proven, and then until the started run is. If that worker crashes, no other task
 * can be the cause. The wait for such a trial and the number of workers that are kept free are
 * bounded, so that sound tasks are not held up. Confined to one thread.
 */
final class CrashTrials {
    /** Lost runs after which a task is started alone. */
    static final int LOSSES_FOR_TRIAL = 2;

    /** Wait after which a task is started beside others, since trials take too long. */
    static final long MAX_WAIT_MILLIS = 2_000;

    /** Time for which a worker is kept free for a task that is not started. */
    private static final long MAX_RESERVED_MILLIS = 4_000;

    /** One of this many workers may be kept free at a time. */
    private static final int WORKERS_PER_TRIAL = 8;

    private final OwnerState state;
    private final WorkerSelector selector;
    private final List<Trial> trials = new ArrayList<>();

    /** A worker that is kept free for the start of one task. */
    private static final class Trial {
        final Task task;
        final Worker worker;
        final long reservedAt;
        boolean started;

        Trial(Task task, Worker worker, long reservedAt) {
            this.task = task;
            this.worker = worker;
            this.reservedAt = reservedAt;
        }
    }

    CrashTrials(OwnerState state, WorkerSelector selector) {
        this.state = state;
        this.selector = selector;
    }

    /** Returns whether a task is to be started alone. */
    boolean needsTrial(Task task, long now) {
        return !task.step.spec.isGang()
                && state.crashes.lossCount(task) >= LOSSES_FOR_TRIAL
                && task.waitedMillis(now) < MAX_WAIT_MILLIS;
    }

    /**
     * Returns the worker on which a task may be started alone now. If there is none yet, the search
     * goes on with the next call.
     */
    Optional<Worker> chooseWorker(Task task, long now) {
        Optional<Trial> trial = trialOf(task).filter(kept -> isPossible(kept, now));
        if (trial.isEmpty()) {
            trialOf(task).ifPresent(this::end);
            trial = reserve(task, now);
        }
        Optional<Trial> ready = trial.filter(kept -> kept.worker.youngRuns().isEmpty());
        ready.ifPresent(kept -> kept.started = true);
        return ready.map(kept -> kept.worker);
    }

    private Optional<Trial> trialOf(Task task) {
        for (Trial trial : trials) {
            if (trial.task == task) {
                return Optional.of(trial);
            }
        }
        return Optional.empty();
    }

    private boolean isPossible(Trial trial, long now) {
        return !trial.started
                && trial.worker.fits(trial.task.step.spec)
                && selector.isEligible(trial.worker, selector.newSearch(trial.task, now), now);
    }

    private Optional<Trial> reserve(Task task, long now) {
        if (trials.size() * WORKERS_PER_TRIAL >= state.workers.size()) {
            return Optional.empty();
        }
        Optional<Trial> trial =
                quietestWorker(task, now).map(worker -> new Trial(task, worker, now));
        trial.ifPresent(
                kept -> {
                    trials.add(kept);
                    kept.worker.trialTask = Optional.of(task);
                });
        return trial;
    }

    /** Returns the eligible worker with the fewest young runs and then with the fewest runs. */
    private Optional<Worker> quietestWorker(Task task, long now) {
        WorkerSelector.WorkerSearch search = selector.newSearch(task, now);
        Worker quietest = null;
        long fewest = Long.MAX_VALUE;
        for (Worker worker : state.workers.values()) {
            boolean possible =
                    worker.fits(search.spec()) && selector.isEligible(worker, search, now);
            long runs = ((long) worker.youngRuns().size() << Integer.SIZE) + worker.runs.size();
            if (possible && runs < fewest) {
                quietest = worker;
                fewest = runs;
            }
        }
        return Optional.ofNullable(quietest);
    }

    /** Ends the trials whose run is proven or has ended, and those that cannot start. */
    void update(long now) {
        for (Trial trial : new ArrayList<>(trials)) {
            boolean over = trial.started ? hasResult(trial) : isPointless(trial, now);
            if (over) {
                end(trial);
            }
        }
    }

    private static boolean hasResult(Trial trial) {
        for (Run run : trial.task.runs) {
            if (run.worker == trial.worker) {
                return run.sent && !run.isYoung();
            }
        }
        return true;
    }

    private static boolean isPointless(Trial trial, long now) {
        return trial.task.done
                || !trial.task.job().isActive()
                || now - trial.reservedAt >= MAX_RESERVED_MILLIS;
    }

    private void end(Trial trial) {
        trials.remove(trial);
        trial.worker.trialTask = Optional.empty();
        state.planDue = true;
    }
}
