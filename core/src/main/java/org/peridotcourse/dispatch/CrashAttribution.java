package org.peridotcourse.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.StringJoiner;

/**
 * Attributes the crashes of workers to tasks, and finds the tasks that crash their workers.
 *
 * <p>A crash alone does not tell which of a worker's tasks caused it. The suspects are the young
 * runs: those that the worker has not yet been seen to outlive by {@link #PROOF_MILLIS}. When a
 * worker is lost, its young runs are recorded as lost. They count as crashed once another
 * incarnation or another worker answers at the address of the lost one; if the worker reports again
 * as the same incarnation, they are removed. Lost runs are part of the stored progress, so a
 * successor continues the count.
 *
 * <p>Further starts of a suspect narrow the cause down: after one lost run it is placed away from
 * other suspects, after more it is started alone (see {@link CrashTrials}). Its job fails after
 * {@link #CRASHES_TO_FAIL} crashes if one of them shows the cause, and after more in any case. A
 * crash shows its cause if the task was alone and few other workers were lost at the same time;
 * crashes of many workers at once are likely to have a cause outside.
 *
 * <p>The members of a gang start together and count as one. Confined to one thread.
 */
final class CrashAttribution {
    /**
     * Time for which a run must have been seen active to show that it does not crash its worker.
     */
    static final long PROOF_MILLIS = 500;

    /** Crashes after which the job fails if one of them shows that the task is the cause. */
    static final int CRASHES_TO_FAIL = 3;

    /** Crashes without a common cause after which the job fails in any case. */
    static final int OWN_CRASHES_TO_FAIL = 4;

    /** Crashes after which the job fails whatever their cause, since one more may be too many. */
    static final int MAX_CRASHES = 5;

    /**
     * Time after which a lost run no longer counts if nothing is heard of its worker. A worker that
     * a task has crashed restarts within seconds, so this one was lost for another reason.
     */
    static final long LOSS_EXPIRY_MILLIS = 15_000;

    /** Losses of workers within this time of each other may have a common cause. */
    private static final long COMMON_LOSS_MILLIS = 300;

    /** Least number of workers lost at the same time that shows a common cause. */
    private static final int MIN_COMMON_LOSSES = 4;

    /**
     * The same as a fraction of the workers: in a large fleet, unrelated losses coincide more
     * often.
     */
    private static final int WORKERS_PER_COMMON_LOSS = 16;

    /** Longest list of suspects in a log record. */
    private static final int MAX_LOGGED_SUSPECTS = 8;

    private final OwnerState state;

    /** By worker id, the lost runs of which it is not known whether they crashed their worker. */
    private final Map<String, List<Loss>> unresolvedLosses = new LinkedHashMap<>();

    /** Tasks that are known to crash their workers and whose jobs are still active. */
    private List<Task> crashingTasks = new ArrayList<>();

    /** Times of the latest losses of workers, oldest first. */
    private final Deque<Long> lossTimes = new ArrayDeque<>();

    /**
     * A lost run whose cause is not known yet.
     *
     * @param observed true if this owner noticed the loss when it happened
     */
    private record Loss(Task task, int attempt, long lostAt, boolean observed) {}

    CrashAttribution(OwnerState state) {
        this.state = state;
    }

    /** Restores the lost runs of a task from its record. */
    void restore(Task task, List<LostRun> lostRuns, long now) {
        for (LostRun lost : lostRuns) {
            task.lostRuns.add(lost);
            if (!lost.isCrash()) {
                addLoss(lost.worker(), new Loss(task, lost.attempt(), now, false));
            }
        }
    }

    private void addLoss(String worker, Loss loss) {
        unresolvedLosses.computeIfAbsent(worker, id -> new ArrayList<>()).add(loss);
    }

    /** Records the young runs of workers that have become unreachable. */
    void recordLosses(long now) {
        for (Worker worker : state.workers.values()) {
            if (!worker.reachable && worker.hasReported && !worker.lossRecorded) {
                recordLoss(worker, now);
            }
        }
    }

    private void recordLoss(Worker worker, long now) {
        worker.lossRecorded = true;
        if (worker.hasReported) {
            lossTimes.add(now);
        }
        if (worker.info.draining()) {
            // It leaves as announced.
            return;
        }
        List<Run> young = worker.youngRuns();
        boolean alone = haveOneCause(young);
        for (Run run : young) {
            Task task = run.task;
            if (!task.hasLost(run.attempt) && task.job().isActive()) {
                task.lostRuns.add(LostRun.of(run).withAlone(alone));
                task.job().hasUnstoredChanges = true;
                addLoss(worker.id, new Loss(task, run.attempt, now, true));
            }
        }
    }

    private static boolean haveOneCause(List<Run> young) {
        for (Run run : young) {
            if (!isSameCause(run.task, young.get(0).task)) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether two tasks are the same one or members of the same gang. */
    static boolean isSameCause(Task task, Task other) {
        return task == other || task.step == other.step && task.step.spec.isGang();
    }

    /**
     * Handles a report: its worker has not crashed since the start of the lost runs, unless it has
     * another incarnation.
     */
    void onReport(Worker worker) {
        worker.lossRecorded = false;
        List<Loss> losses = unresolvedLosses.remove(worker.id);
        if (losses == null) {
            return;
        }
        List<Loss> crashed = new ArrayList<>();
        for (Loss loss : losses) {
            if (isOfEarlierIncarnation(loss, worker)) {
                crashed.add(loss);
            } else {
                loss.task().lostRuns.removeIf(lost -> lost.attempt() == loss.attempt());
            }
        }
        countCrashes(worker.id, crashed);
    }

    private static boolean isOfEarlierIncarnation(Loss loss, Worker worker) {
        for (LostRun lost : loss.task().lostRuns) {
            if (lost.attempt() == loss.attempt()) {
                return lost.incarnation() != 0 && lost.incarnation() < worker.incarnation;
            }
        }
        return false;
    }

    /**
     * Handles the proof that the incarnation of a worker that was last known has ended without an
     * announcement.
     */
    void onCrashed(Worker worker, long now) {
        if (!worker.lossRecorded) {
            recordLoss(worker, now);
        }
        List<Loss> losses = unresolvedLosses.remove(worker.id);
        countCrashes(worker.id, losses == null ? List.of() : losses);
    }

    private void countCrashes(String worker, List<Loss> losses) {
        if (losses.isEmpty()) {
            return;
        }
        StringJoiner suspects = new StringJoiner(",");
        for (Loss loss : losses.subList(0, Math.min(losses.size(), MAX_LOGGED_SUSPECTS))) {
            suspects.add(loss.task().ref + "#" + loss.attempt());
        }
        Worker known = state.workers.get(worker);
        state.log(
                Decision.Kind.WORKER_CRASHED,
                worker,
                known,
                "suspects=" + losses.size() + " first=" + suspects);
        for (Loss loss : losses) {
            Task task = loss.task();
            LostRun.Cause cause =
                    hasCommonCause(loss) ? LostRun.Cause.COMMON_CRASH : LostRun.Cause.CRASH;
            task.lostRuns.replaceAll(
                    lost -> lost.attempt() == loss.attempt() ? lost.withCause(cause) : lost);
            task.job().hasUnstoredChanges |= task.job().isActive();
        }
        for (Loss loss : losses) {
            if (causesCrashes(loss.task())) {
                crashingTasks.add(loss.task());
            }
        }
    }

    /** Returns whether so many workers were lost at the same time that the cause is outside. */
    private boolean hasCommonCause(Loss loss) {
        int losses = 0;
        for (long lostAt : lossTimes) {
            losses += Math.abs(lostAt - loss.lostAt()) <= COMMON_LOSS_MILLIS ? 1 : 0;
        }
        return loss.observed()
                && losses >= MIN_COMMON_LOSSES
                && losses * WORKERS_PER_COMMON_LOSS > state.workers.size();
    }

    /** Returns whether the lost runs of a task show that it crashes its workers. */
    private static boolean causesCrashes(Task task) {
        if (task.done || !task.job().isActive()) {
            return false;
        }
        Set<Integer> crashes = new HashSet<>();
        Set<Integer> ownCrashes = new HashSet<>();
        boolean alone = false;
        for (LostRun lost : lostRuns(task)) {
            if (lost.isCrash()) {
                crashes.add(lost.attempt());
            }
            if (lost.cause() == LostRun.Cause.CRASH) {
                ownCrashes.add(lost.attempt());
                alone |= lost.alone();
            }
        }
        return crashes.size() >= MAX_CRASHES
                || ownCrashes.size() >= OWN_CRASHES_TO_FAIL
                || crashes.size() >= CRASHES_TO_FAIL && alone;
    }

    /** Returns, once each, the tasks that have been found to crash their workers. */
    List<Task> takeCrashingTasks() {
        List<Task> found = crashingTasks;
        if (!found.isEmpty()) {
            crashingTasks = new ArrayList<>();
        }
        return found;
    }

    /** Stops counting lost runs of workers that were lost long ago and that nobody heard of. */
    void expireLosses(long now) {
        while (!lossTimes.isEmpty() && now - lossTimes.peek() >= LOSS_EXPIRY_MILLIS) {
            lossTimes.remove();
        }
        unresolvedLosses
                .values()
                .removeIf(
                        losses -> {
                            losses.removeIf(loss -> expire(loss, now));
                            return losses.isEmpty();
                        });
    }

    private static boolean expire(Loss loss, long now) {
        if (now - loss.lostAt() < LOSS_EXPIRY_MILLIS) {
            return false;
        }
        loss.task().lostRuns.removeIf(lost -> lost.attempt() == loss.attempt());
        return true;
    }

    /** Returns the lost runs that count for a task: its own, or those of all members of a gang. */
    private static List<LostRun> lostRuns(Task task) {
        if (!task.step.spec.isGang()) {
            return task.lostRuns;
        }
        List<LostRun> all = new ArrayList<>();
        for (Task member : task.step.tasks) {
            all.addAll(member.lostRuns);
        }
        return all;
    }

    /** Returns the number of attempts of a task under which a worker has crashed or may have. */
    int lossCount(Task task) {
        List<LostRun> lostRuns = lostRuns(task);
        if (lostRuns.size() <= 1) {
            return lostRuns.size();
        }
        Set<Integer> attempts = new HashSet<>();
        lostRuns.forEach(lost -> attempts.add(lost.attempt()));
        return attempts.size();
    }

    /** Returns whether a task may have crashed a worker. */
    boolean isSuspect(Task task) {
        return lossCount(task) > 0;
    }

    /**
     * Returns whether a task must wait until it is known whether its workers have crashed, since
     * one more crash could be one too many.
     */
    boolean mustWait(Task task) {
        if (lossCount(task) < CRASHES_TO_FAIL) {
            return false;
        }
        for (LostRun lost : lostRuns(task)) {
            if (!lost.isCrash()) {
                return true;
            }
        }
        return false;
    }

    /** Returns the number of other suspects among the young runs of a worker. */
    int youngSuspectsOn(Worker worker, Task task) {
        int count = 0;
        for (Run run : worker.youngRuns()) {
            if (isSuspect(run.task) && !isSameCause(run.task, task)) {
                count++;
            }
        }
        return count;
    }
}
