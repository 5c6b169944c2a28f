package org.peridotcourse.placement;

import java.util.Optional;

/**
 * Decides what follows when an attempt has ended: recorded, queued again, held, moved or removed.
 *
 * <p>Confined to one thread.
 */
final class TaskEnds {
    /** A job that failed on this many different workers is held. */
    private static final int FAILED_WORKERS = 3;

    private final Book book;
    private final WriteBuffer writes;

    TaskEnds(Book book, WriteBuffer writes) {
        this.book = book;
        this.writes = writes;
    }

    /** Records that an attempt neither runs nor can start any more. */
    void stopped(Task task, TaskEvent event, Optional<String> checkpoint) {
        TaskState next = TaskChart.next(task.state, event);
        Change change;
        if (task.job.row.cancel()) {
            change = Change.removal(task, 0, 1);
        } else if (task.job.replicas && task.state != TaskState.STARTING) {
            change = Change.removal(task, 0, 0);
        } else if (task.target != null && !book.config.isIn(book.dataCentre())) {
            change = Change.move(task, task.target);
        } else {
            change = Change.of(task, next);
        }
        checkpoint.ifPresent(change::withCheckpoint);
        writes.add(change);
        book.decide(
                task.id().value(), "task-" + event.code(), task.worker, "attempt " + task.attempt);
    }

    /** Records a good end. */
    void finished(Task task) {
        task.worker.health.succeeded();
        task.job.failedOn.remove(task.worker.id);
        Change change = Change.removal(task, 1, 0);
        writes.add(change.withRelease());
        book.decide(task.id().value(), "task-finished", task.worker, "attempt " + task.attempt);
    }

    /** Records a bad end. */
    void failed(long nowMillis, Task task, Optional<String> checkpoint) {
        Worker worker = task.worker;
        Job job = task.job;
        if (!job.replicas && book.policy.isGuarded()) {
            job.failedOn.add(worker.id);
            for (String blamed : worker.health.failed(task, nowMillis)) {
                Job innocent = book.jobs.get(blamed);
                if (innocent != null) {
                    innocent.failedOn.remove(worker.id);
                }
                book.decide(
                        worker.id.value(), "worker-quarantined", worker, "failed job " + blamed);
            }
        }
        TaskState failed = TaskChart.next(task.state, TaskEvent.FAILED);
        Change change;
        if (job.row.cancel()) {
            change = Change.removal(task, 0, 1);
        } else if (job.replicas) {
            change = Change.removal(task, 0, 0);
        } else if (job.failedOn.size() >= FAILED_WORKERS) {
            String reason = "failed on " + FAILED_WORKERS + " workers";
            change =
                    job.state() == JobState.HELD
                            ? Change.of(task, TaskChart.next(failed, TaskEvent.HELD))
                            : Change.of(
                                    task,
                                    TaskChart.next(failed, TaskEvent.HELD),
                                    JobState.HELD,
                                    reason);
            book.decide(job.key, "job-held", worker, reason);
        } else {
            change = Change.of(task, TaskChart.next(failed, TaskEvent.RETRIED));
        }
        checkpoint.ifPresent(change::withCheckpoint);
        writes.add(change.withRelease());
        book.decide(task.id().value(), "task-failed", worker, "attempt " + task.attempt);
    }

    /** Records a stop together with the newest checkpoint; the command follows the write. */
    void stopRequested(Task task, Optional<String> checkpoint) {
        Change change = Change.of(task, TaskChart.next(task.state, TaskEvent.STOP_REQUESTED));
        checkpoint.ifPresent(change::withCheckpoint);
        writes.add(change);
    }
}
