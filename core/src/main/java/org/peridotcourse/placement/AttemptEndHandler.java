package org.peridotcourse.placement;

import java.util.Optional;

/**
 * Decides what happens to a task whose attempt has ended: it is queued again, held, handed over to
 * another data centre, or its row is removed.
 *
 * <p>Confined to one thread.
 */
final class AttemptEndHandler {
    /** Number of different workers on which a job must fail before it is held. */
    private static final int HOLD_AFTER_WORKERS = 3;

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
        } else if (job.failedOn.size() >= HOLD_AFTER_WORKERS) {
            String reason = "failed on " + HOLD_AFTER_WORKERS + " workers";
            change =
                    job.state() == JobState.HELD
                            ? RowChange.of(task, TaskChart.next(failed, TaskEvent.HELD))
                            : RowChange.of(
                                    task,
                                    TaskChart.next(failed, TaskEvent.HELD),
                                    JobState.HELD,
                                    reason);
            state.recordDecision(job.key, "job-held", worker, reason);
        } else {
            change = RowChange.of(task, TaskChart.next(failed, TaskEvent.RETRIED));
        }
        checkpoint.ifPresent(change::withCheckpoint);
        writes.add(change.withRelease());
        state.recordDecision(task.id().value(), "task-failed", worker, "attempt " + task.attempt);
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
