package org.peridotcourse.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Applies writes with a known outcome to the memory and issues the commands that follow.
 *
 * <p>Confined to one thread.
 */
final class WriteOutcomeHandler {
    private final OwnerState state;
    private final WriteBuffer writes;
    private final CommandBuffer commands;
    private final JobAdmission admission;

    WriteOutcomeHandler(
            OwnerState book, WriteBuffer writes, CommandBuffer outbox, JobAdmission intake) {
        this.state = book;
        this.writes = writes;
        this.commands = outbox;
        this.admission = intake;
    }

    /** Applies a write that took effect. */
    void applyCommitted(long nowMillis, WriteBuffer.Transaction flight, long commit) {
        flight.jobRows.forEach(
                (job, row) -> {
                    job.rowWriteInFlight = false;
                    if (commit > job.row.commit()) {
                        job.row = row.withCommit(commit);
                    }
                    admission.requestReview(job);
                });
        for (RowChange change : flight.changes) {
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
                // Nothing follows the other states.
            }
        }
    }

    /** Starts an assigned task if everything that allowed its assignment still holds. */
    private void startIfAllowed(long nowMillis, Task task) {
        if (state.mayStart(nowMillis)
                && task.worker.isReachable(nowMillis)
                && !task.job.row.cancel()) {
            commands.start(nowMillis, task);
        } else {
            writes.add(RowChange.of(task, TaskChart.next(task.state, TaskEvent.WITHHELD)));
        }
    }

    /** Adopts the rows of a refused write. */
    void applyReadBack(
            long nowMillis, WriteBuffer.Transaction flight, PlacementEvent.RowsRead read) {
        flight.jobRows.keySet().forEach(job -> job.rowWriteInFlight = false);
        read.jobs().forEach(row -> state.putJob(nowMillis, row));
        for (RowChange change : flight.changes) {
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
        for (RowChange change : flight.changes) {
            if (change.task != null
                    && absent.contains(TaskRow.key(state.dataCentre(), change.task.id()))) {
                state.removeTask(nowMillis, change.task, change.task.commit);
            }
        }
        // Tasks of the write itself wait for this answer. Created ones may have been seen by a poll
        // since, and then follow the same rule as in a poll.
        Set<Task> own = new HashSet<>();
        flight.changes.forEach(change -> own.add(change.task));
        for (TaskRow row : rows.values()) {
            Task task = state.findTask(row.task());
            if (task != null && own.contains(task)) {
                state.applyRow(nowMillis, row);
            } else {
                state.applyRowIfNewer(nowMillis, row);
            }
        }
    }
}
