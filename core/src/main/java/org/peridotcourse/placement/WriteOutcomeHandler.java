package org.peridotcourse.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Applies the outcomes of writes to the state and issues the commands that follow.
 *
 * <p>Confined to one thread.
 */
final class WriteOutcomeHandler {
    private final OwnerState state;
    private final WriteBuffer writes;
    private final CommandBuffer commands;
    private final JobAdmission admission;

    WriteOutcomeHandler(
            OwnerState state, WriteBuffer writes, CommandBuffer commands, JobAdmission admission) {
        this.state = state;
        this.writes = writes;
        this.commands = commands;
        this.admission = admission;
    }

    /** Applies a transaction that took effect. */
    void applyCommitted(long nowMillis, WriteBuffer.Transaction transaction, long commit) {
        transaction.jobRows.forEach(
                (job, row) -> {
                    job.rowWriteInFlight = false;
                    if (commit > job.row.commit()) {
                        job.row = row.withCommit(commit);
                    }
                    admission.requestReview(job);
                });
        for (RowChange change : transaction.changes) {
            if (change.task != null) {
                applyTaskChange(nowMillis, change, commit);
            } else if (change.job != null) {
                change.job.rowChangeCollected = false;
                admission.requestReview(change.job);
            }
            for (int index = change.createFrom; index < change.createTo; index++) {
                insertTask(change.job, index, 0, Optional.empty(), commit);
            }
            if (change.foreignRow != null) {
                TaskRow row = change.foreignRow;
                Job job = state.jobs.get(OwnerState.jobKey(row.task()));
                if (job != null) {
                    insertTask(
                            job,
                            OwnerState.taskIndex(row.task()),
                            row.attempt(),
                            row.checkpoint(),
                            commit);
                    admission.requestReview(job);
                }
            }
        }
    }

    private void insertTask(
            Job job, int index, int attempt, Optional<String> checkpoint, long commit) {
        if (job.tasks.containsKey(index)) {
            return;
        }
        Task task = new Task(job, index);
        task.attempt = attempt;
        task.checkpoint = checkpoint.orElse(null);
        task.commit = commit;
        job.tasks.put(index, task);
        state.enqueue(task);
    }

    private void applyTaskChange(long nowMillis, RowChange change, long commit) {
        Task task = change.task;
        Worker worker = task.worker;
        task.rowChangePending = false;
        task.commit = commit;
        task.checkpoint = change.checkpoint;
        if (change.releaseAttempt && worker != null) {
            commands.release(worker, task.id(), task.attempt);
        }
        if (change.nextState == null) {
            state.removeTask(nowMillis, task, commit);
            if (task.job.state().isFinal()) {
                admission.requestReview(task.job);
            }
            return;
        }
        if (change.worker == null && worker != null) {
            state.detach(nowMillis, task);
            task.resetAttempt();
        }
        task.state = change.nextState;
        switch (change.nextState) {
            case STARTING -> startIfAllowed(nowMillis, task);
            case STOPPING -> {
                task.savedProgress = task.progress;
                commands.stop(task);
            }
            case QUEUED -> state.enqueue(task);
            default -> {
                // The other states need no command.
            }
        }
    }

    /** Sends the start of an assigned task if all conditions of its assignment still hold. */
    private void startIfAllowed(long nowMillis, Task task) {
        if (state.mayStart(nowMillis)
                && task.worker.isReachable(nowMillis)
                && !task.job.row.cancel()) {
            commands.start(nowMillis, task);
        } else {
            writes.add(RowChange.of(task, TaskChart.next(task.state, TaskEvent.WITHHELD)));
        }
    }

    /** Applies the rows that were read back after a conflict. */
    void applyReadBack(
            long nowMillis, WriteBuffer.Transaction transaction, PlacementEvent.RowsRead read) {
        transaction.jobRows.keySet().forEach(job -> job.rowWriteInFlight = false);
        read.jobs().forEach(row -> state.putJob(nowMillis, row));
        for (RowChange change : transaction.changes) {
            if (change.job != null && change.task == null) {
                change.job.rowChangeCollected = false;
            }
            if (change.job != null) {
                admission.requestReview(change.job);
            }
        }
        Map<String, TaskRow> rows = new HashMap<>();
        read.tasks().forEach(row -> rows.put(row.key(), row));
        Set<String> absent = new HashSet<>(read.taskKeys());
        absent.removeAll(rows.keySet());
        for (RowChange change : transaction.changes) {
            if (change.task != null
                    && absent.contains(TaskRow.key(state.dataCentre(), change.task.id()))) {
                state.removeTask(nowMillis, change.task, change.task.commit);
            }
        }
        // Tasks changed by the transaction wait for this answer, so their rows always apply. A poll
        // may already have returned created tasks; their rows apply only if they are newer.
        Set<Task> changedTasks = new HashSet<>();
        transaction.changes.forEach(change -> changedTasks.add(change.task));
        for (TaskRow row : rows.values()) {
            Task task = state.findTask(row.task());
            if (task != null && changedTasks.contains(task)) {
                state.applyRow(nowMillis, row);
            } else {
                state.applyRowIfNewer(nowMillis, row);
            }
        }
    }
}
