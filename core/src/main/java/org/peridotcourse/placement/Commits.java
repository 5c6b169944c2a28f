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
final class Commits {
    private final Book book;
    private final WriteBuffer writes;
    private final Outbox outbox;
    private final JobIntake intake;

    Commits(Book book, WriteBuffer writes, Outbox outbox, JobIntake intake) {
        this.book = book;
        this.writes = writes;
        this.outbox = outbox;
        this.intake = intake;
    }

    /** Applies a write that took effect. */
    void committed(long nowMillis, WriteBuffer.Flight flight, long commit) {
        flight.jobRows.forEach(
                (job, row) -> {
                    job.busy = false;
                    if (commit > job.row.commit()) {
                        job.row = row.withCommit(commit);
                    }
                    intake.note(job);
                });
        for (Change change : flight.changes) {
            if (change.task != null) {
                apply(nowMillis, change, commit);
            } else if (change.job != null) {
                change.job.pending = false;
                intake.note(change.job);
            }
            for (int index = change.createFrom; index < change.createTo; index++) {
                insert(change.job, index, 0, Optional.empty(), commit);
            }
            if (change.foreign != null) {
                TaskRow row = change.foreign;
                Job job = book.jobs.get(Book.jobKey(row.task()));
                if (job != null) {
                    insert(job, Book.index(row.task()), row.attempt(), row.checkpoint(), commit);
                    intake.note(job);
                }
            }
        }
    }

    private void insert(Job job, int index, int attempt, Optional<String> checkpoint, long commit) {
        if (job.tasks.containsKey(index)) {
            return;
        }
        Task task = new Task(job, index);
        task.attempt = attempt;
        task.checkpoint = checkpoint.orElse(null);
        task.commit = commit;
        job.tasks.put(index, task);
        book.queue(task);
    }

    private void apply(long nowMillis, Change change, long commit) {
        Task task = change.task;
        Worker worker = task.worker;
        task.busy = false;
        task.commit = commit;
        task.checkpoint = change.checkpoint;
        if (change.release && worker != null) {
            outbox.release(worker, task.id(), task.attempt);
        }
        if (change.next == null) {
            book.forget(nowMillis, task, commit);
            if (task.job.state().isFinal()) {
                intake.note(task.job);
            }
            return;
        }
        if (change.worker == null && worker != null) {
            book.detach(nowMillis, task);
            task.forgetAttempt();
        }
        task.state = change.next;
        switch (change.next) {
            case STARTING -> start(nowMillis, task);
            case STOPPING -> {
                task.savedProgress = task.progress;
                outbox.stop(task);
            }
            case QUEUED -> book.queue(task);
            default -> {
                // Nothing follows the other states.
            }
        }
    }

    /** Starts an assigned task if everything that allowed its assignment still holds. */
    private void start(long nowMillis, Task task) {
        if (book.mayStart(nowMillis)
                && task.worker.isReachable(nowMillis)
                && !task.job.row.cancel()) {
            outbox.start(nowMillis, task);
        } else {
            writes.add(Change.of(task, TaskChart.next(task.state, TaskEvent.WITHHELD)));
        }
    }

    /** Adopts the rows of a refused write. */
    void readBack(long nowMillis, WriteBuffer.Flight flight, PlacementEvent.RowsRead read) {
        flight.jobRows.keySet().forEach(job -> job.busy = false);
        read.jobs().forEach(row -> book.putJob(nowMillis, row));
        for (Change change : flight.changes) {
            if (change.job != null && change.task == null) {
                change.job.pending = false;
            }
            if (change.job != null) {
                intake.note(change.job);
            }
        }
        Map<String, TaskRow> rows = new HashMap<>();
        read.tasks().forEach(row -> rows.put(row.key(), row));
        Set<String> absent = new HashSet<>(read.taskKeys());
        absent.removeAll(rows.keySet());
        for (Change change : flight.changes) {
            if (change.task != null
                    && absent.contains(TaskRow.key(book.dataCentre(), change.task.id()))) {
                book.forget(nowMillis, change.task, change.task.commit);
            }
        }
        // Tasks of the write itself wait for this answer. Created ones may have been seen by a poll
        // since, and then follow the same rule as in a poll.
        Set<Task> own = new HashSet<>();
        flight.changes.forEach(change -> own.add(change.task));
        for (TaskRow row : rows.values()) {
            Task task = book.find(row.task());
            if (task != null && own.contains(task)) {
                book.adopt(nowMillis, row);
            } else {
                book.adoptNewer(nowMillis, row);
            }
        }
    }
}
