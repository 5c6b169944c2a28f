package org.peridotcourse.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** One task of an occurrence and its runs. Confined to one thread. */
final class Task {
    final TaskRef ref;
    final Step step;

    /** Runs that may be active, usually at most one. */
    final List<Run> runs = new ArrayList<>(1);

    /** Numbers of the attempts that failed. */
    final List<Integer> failedAttempts = new ArrayList<>(0);

    /** Ids of the workers on which a run failed under this owner. */
    final Set<String> failedOnWorkers = new HashSet<>(2);

    /** Runs that may have crashed their workers; see {@link CrashAttribution}. */
    final List<LostRun> lostRuns = new ArrayList<>(0);

    boolean done;

    /** True once this owner has started or adopted a run. */
    boolean startedOrAdopted;

    /** True once a run has failed under this owner. */
    boolean failedUnderThisOwner;

    /** The newest checkpoint, empty if there is none. */
    String checkpoint = "";

    /** Highest attempt number used so far. */
    int lastAttempt;

    /** When its last run ended, or when the task was created. */
    long waitingSince;

    /** Time before which the task is not started. */
    long noStartBefore;

    Task(TaskRef ref, Step step, int lastEarlierAttempt, long now) {
        this.ref = ref;
        this.step = step;
        this.lastAttempt = lastEarlierAttempt;
        this.waitingSince = now;
    }

    Job job() {
        return step.occurrence.job;
    }

    void markStartedOrAdopted() {
        if (!startedOrAdopted) {
            startedOrAdopted = true;
            step.occurrence.onTaskStartedOrAdopted(step);
        }
    }

    boolean isWaiting() {
        return !done && runs.isEmpty();
    }

    /** Returns whether it has no run, is not done and may be started now. */
    boolean mayStart(long now) {
        return isWaiting() && noStartBefore <= now;
    }

    boolean hasRuns() {
        return !runs.isEmpty();
    }

    /** Returns how long the task has waited for a worker since its step opened. */
    long waitedMillis(long now) {
        return now - Math.max(waitingSince, step.openedAt);
    }

    boolean hasCountedFailure(int attempt) {
        return failedAttempts.contains(attempt);
    }

    JobRecord.TaskRecord toRecord() {
        return new JobRecord.TaskRecord(
                ref.occurrence(),
                ref.step(),
                ref.index(),
                done,
                failedAttempts,
                checkpoint,
                lostRunsToStore());
    }

    /**
     * Returns the lost runs together with the present runs whose starts have to be known to a
     * successor before they are sent.
     */
    private List<LostRun> lostRunsToStore() {
        if (done || lostRuns.isEmpty() && runs.isEmpty()) {
            return List.of();
        }
        List<LostRun> all = new ArrayList<>(lostRuns);
        for (Run run : runs) {
            if (run.recordedAhead && !run.isProven() && !hasLost(run.attempt)) {
                all.add(LostRun.of(run));
            }
        }
        return all;
    }

    /** Returns whether a run is listed among the lost ones. */
    boolean hasLost(int attempt) {
        for (LostRun lost : lostRuns) {
            if (lost.attempt() == attempt) {
                return true;
            }
        }
        return false;
    }

    boolean hasProgress() {
        return done
                || !failedAttempts.isEmpty()
                || !checkpoint.isEmpty()
                || !lostRunsToStore().isEmpty();
    }
}
