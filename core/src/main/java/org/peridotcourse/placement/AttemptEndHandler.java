package org.peridotcourse.placement;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Decides what happens to a task whose attempt has ended: it is queued again, held, handed over to
 * another data centre, or its row is removed.
 *
 * <p>Confined to one thread.
 */
final class AttemptEndHandler {
    /** Number of different workers on which a job must fail before it is held. */
    private static final int HOLD_AFTER_WORKERS = 3;

    /**
     * Crashes after which a job is held although other jobs had just started on each of these
     * workers too.
     */
    private static final int HOLD_AFTER_SHARED_CRASHES = 6;

    /**
     * Time for which an attempt must have been seen active to show that it does not crash its
     * worker.
     */
    private static final long PROOF_MILLIS = 500;

    private final OwnerState state;
    private final WriteBuffer writes;

    AttemptEndHandler(OwnerState state, WriteBuffer writes) {
        this.state = state;
        this.writes = writes;
    }

    /** Records that an attempt neither runs nor can start any more. */
    void recordStopped(Task task, TaskEvent event, Optional<String> checkpoint) {
        TaskState next = TaskChart.next(task.state, event);
        RowChange change;
        if (task.job.row.cancel()) {
            change = RowChange.removal(task, 0, 1);
        } else if (task.job.replicaGroup && task.state != TaskState.STARTING) {
            change = RowChange.removal(task, 0, 0);
        } else if (task.handoverTarget != null && !state.config.isIn(state.dataCentre())) {
            change = RowChange.handover(task, task.handoverTarget);
        } else if (task.crashedAttempt == task.attempt && mustHold(task.job)) {
            TaskState failed = TaskChart.next(task.state, TaskEvent.FAILED);
            change = hold(task, failed, "crashed the workers that started it");
        } else {
            change = RowChange.of(task, next);
        }
        checkpoint.ifPresent(change::withCheckpoint);
        writes.add(change);
        state.recordDecision(
                task.id().value(), "task-" + event.code(), task.worker, "attempt " + task.attempt);
    }

    /** Records a successful end; the task's row is removed. */
    void recordFinished(Task task) {
        task.worker.quarantine.taskFinished();
        task.job.failedOn.remove(task.worker.id);
        RowChange change = RowChange.removal(task, 1, 0);
        writes.add(change.withRelease());
        state.recordDecision(
                task.id().value(), "task-finished", task.worker, "attempt " + task.attempt);
    }

    /**
     * Records a failure. The task is removed if it is a replica or its job is cancelled, held
     * together with its job after failures on {@link #HOLD_AFTER_WORKERS} workers, and otherwise
     * queued again.
     */
    void recordFailed(long nowMillis, Task task, Optional<String> checkpoint) {
        Worker worker = task.worker;
        Job job = task.job;
        if (!job.replicaGroup && state.policy.isGuarded()) {
            job.failedOn.add(worker.id);
            for (String attributedKey : worker.quarantine.taskFailed(task, nowMillis)) {
                Job attributedJob = state.jobs.get(attributedKey);
                if (attributedJob != null) {
                    attributedJob.failedOn.remove(worker.id);
                }
                state.recordDecision(
                        worker.id.value(),
                        "worker-quarantined",
                        worker,
                        "failed job " + attributedKey);
            }
        }
        TaskState failed = TaskChart.next(task.state, TaskEvent.FAILED);
        RowChange change;
        if (job.row.cancel()) {
            change = RowChange.removal(task, 0, 1);
        } else if (job.replicaGroup) {
            change = RowChange.removal(task, 0, 0);
        } else if (mustHold(job)) {
            change = hold(task, failed, "failed on " + HOLD_AFTER_WORKERS + " workers");
        } else {
            change = RowChange.of(task, TaskChart.next(failed, TaskEvent.RETRIED));
        }
        checkpoint.ifPresent(change::withCheckpoint);
        writes.add(change.withRelease());
        state.recordDecision(task.id().value(), "task-failed", worker, "attempt " + task.attempt);
    }

    private static boolean mustHold(Job job) {
        return job.failedOn.size() >= HOLD_AFTER_WORKERS
                || job.sharedCrashes >= HOLD_AFTER_SHARED_CRASHES;
    }

    private RowChange hold(Task task, TaskState failed, String reason) {
        Job job = task.job;
        TaskState held = TaskChart.next(failed, TaskEvent.HELD);
        state.recordDecision(job.key, "job-held", task.worker, reason);
        return job.state() == JobState.HELD
                ? RowChange.of(task, held)
                : RowChange.of(task, held, JobState.HELD, reason);
    }

    /**
     * Records the crash of a worker. It counts as a failure of the job that had just started there;
     * if several jobs had, any of them may be the cause, and more crashes are needed.
     *
     * @param lastClockMillis the last reading of the worker's clock before the crash
     */
    void recordCrash(Worker worker, long lastClockMillis) {
        Set<Job> suspects = new LinkedHashSet<>();
        for (Task task : worker.tasks) {
            if (!task.job.replicaGroup && isUnproven(task, lastClockMillis)) {
                task.crashedAttempt = task.attempt;
                suspects.add(task.job);
            }
        }
        for (Job job : suspects) {
            if (suspects.size() == 1) {
                job.failedOn.add(worker.id);
            } else {
                job.sharedCrashes++;
            }
            state.recordDecision(
                    job.key, "worker-crashed", worker, suspects.size() + " jobs had just started");
        }
    }

    private static boolean isUnproven(Task task, long lastClockMillis) {
        boolean active = task.state == TaskState.STARTING || task.state == TaskState.RUNNING;
        return active
                && (task.startClockMillis == Task.NOT_ACKNOWLEDGED
                        || lastClockMillis - task.startClockMillis < PROOF_MILLIS);
    }

    /**
     * Records the stop of a task with its newest checkpoint; the stop command follows once the
     * write is committed.
     */
    void recordStopRequest(Task task, Optional<String> checkpoint) {
        RowChange change = RowChange.of(task, TaskChart.next(task.state, TaskEvent.STOP_REQUESTED));
        checkpoint.ifPresent(change::withCheckpoint);
        writes.add(change);
    }
}
