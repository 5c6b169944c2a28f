package org.peridotcourse.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.peridotcourse.base.LeaseClock;

/**
 * Compares workers' reports and answers with the rows, and acts on each difference.
 *
 * <p>A report counts only if it was made under this owner's epoch: the worker then refuses commands
 * of earlier owners, so its list is complete. Confined to one thread.
 */
final class Reconciler {
    /**
     * Shortest time between publications of a running task's own checkpoints. Stops and evictions
     * publish at once; 15,000 tasks stay below 10 transactions a second.
     */
    private static final long PUBLISH_MILLIS = 10_000;

    private final Book book;
    private final WriteBuffer writes;
    private final Outbox outbox;
    private final TaskEnds ends;
    private final Guards guards;
    private long reports;

    Reconciler(Book book, WriteBuffer writes, Outbox outbox, TaskEnds ends, Guards guards) {
        this.book = book;
        this.writes = writes;
        this.outbox = outbox;
        this.ends = ends;
        this.guards = guards;
    }

    /** Handles a report, if no newer one was requested since its request. */
    void report(long nowMillis, long number, WorkerReport report) {
        Worker worker = book.worker(report.worker());
        if (worker.reportRequest != number) {
            return;
        }
        worker.reportRequest = 0;
        worker.clock = new LeaseClock(report.clockMillis(), nowMillis);
        worker.contactMillis = nowMillis;
        worker.renewFailed = false;
        if (book.lease == null || report.epoch() > book.lease.epoch()) {
            return;
        }
        if (report.epoch() < book.lease.epoch()) {
            // The worker has restarted, or this owner has not reached it yet. Clock readings of a
            // time before the restart cannot be compared with its reports.
            worker.tasks.forEach(task -> task.startClock = Task.NOT_ACKNOWLEDGED);
            worker.fenced = false;
            worker.reconciled = false;
            worker.nextRenewMillis = nowMillis;
            return;
        }
        if (!book.isReady(nowMillis)) {
            return;
        }
        worker.reconciled = true;
        reports++;
        for (WorkerReport.TaskReport each : report.tasks()) {
            listed(nowMillis, worker, report, each);
        }
        for (Task task : List.copyOf(worker.tasks)) {
            if (task.reportNumber != reports && !task.busy && task.worker == worker) {
                absent(report, task);
            }
        }
        guards.observe(nowMillis, worker, report);
    }

    private void listed(
            long nowMillis, Worker worker, WorkerReport report, WorkerReport.TaskReport each) {
        Task task = book.find(each.task());
        if (task == null || task.worker != worker || task.attempt != each.attempt()) {
            if (!book.orphans.containsKey(Book.jobKey(each.task()))) {
                outbox.release(worker, each.task(), each.attempt());
            }
            return;
        }
        task.reportNumber = reports;
        task.progress = Math.max(task.progress, each.progress());
        if (task.busy) {
            return;
        }
        switch (each.state()) {
            case RUNNING -> running(nowMillis, report, task, each);
            case FINISHED -> {
                if (task.job.replicas) {
                    ends.stopped(task, TaskEvent.STOPPED, Optional.empty());
                } else {
                    ends.finished(task);
                }
            }
            case FAILED -> ends.failed(nowMillis, task, each.checkpoint());
            case STOPPED -> ends.stopped(task, TaskEvent.STOPPED, each.checkpoint());
            default -> throw new IllegalArgumentException("no such state " + each.state());
        }
    }

    private void running(
            long nowMillis, WorkerReport report, Task task, WorkerReport.TaskReport each) {
        book.estimator(task.job.workload()).observe(each.usedMilliCores(), each.usedMemoryMib());
        guards.estimate(task);
        if (task.startClock == Task.NOT_ACKNOWLEDGED) {
            task.startClock = report.clockMillis();
            task.startRequest = 0;
        }
        if (task.controlRequest != 0) {
            return;
        }
        if (task.job.row.cancel() || task.state == TaskState.LOST) {
            outbox.stop(task);
        } else if (task.state == TaskState.STOPPING) {
            outbox.stop(task);
        } else if (task.state == TaskState.CHECKPOINTING) {
            outbox.checkpoint(task);
        } else if (task.state == TaskState.STARTING) {
            writes.add(
                    Change.of(task, TaskChart.next(task.state, TaskEvent.STARTED))
                            .withCheckpoint(each.checkpoint().orElse(task.checkpoint)));
        } else if (nowMillis - task.publishedMillis >= PUBLISH_MILLIS
                && each.checkpoint().isPresent()
                && !each.checkpoint().equals(task.published())) {
            task.savedProgress = each.progress();
            task.publishedMillis = nowMillis;
            writes.add(Change.of(task, task.state).withCheckpoint(each.checkpoint().get()));
        }
    }

    /** Fences an attempt that the worker should have listed. */
    private void absent(WorkerReport report, Task task) {
        boolean mayFollow =
                task.startClock == Task.NOT_ACKNOWLEDGED
                        ? task.startRequest != 0
                        : report.clockMillis() <= task.startClock;
        if (!mayFollow && task.controlRequest == 0) {
            outbox.stop(task);
        }
    }

    /** Handles the answer to commands. */
    void answered(long nowMillis, PlacementEvent.CommandsAnswered answer) {
        Worker worker = book.worker(answer.worker());
        Outbox.Sent sent = outbox.settled(answer.number()).orElse(null);
        if (sent == null) {
            return;
        }
        worker.contactMillis = nowMillis;
        worker.clock = new LeaseClock(answer.clockMillis(), nowMillis);
        if (worker.renewRequest == answer.number()) {
            worker.renewRequest = 0;
        }
        if (!worker.fenced) {
            worker.fenced = true;
            // Earlier owners' commands are refused from here on; what they granted before ends by
            // then.
            worker.batchBoundMillis = nowMillis + OwnerSettings.BATCH_LEASE_MILLIS;
            worker.serviceBoundMillis = nowMillis + OwnerSettings.SERVICE_LEASE_MILLIS;
            worker.nextReportMillis = nowMillis;
        }
        List<Outbox.Item> items = new ArrayList<>(sent.items());
        for (int i = 0; i < items.size() && i < answer.results().size(); i++) {
            Outbox.Item item = items.get(i);
            Task task = item.task();
            if (task == null || task.worker != worker || task.attempt != item.attempt()) {
                continue;
            }
            PlacementEvent.CommandResult result = answer.results().get(i);
            if (item.command() instanceof WorkerCommand.Start) {
                started(nowMillis, answer, task, result);
            } else {
                controlled(nowMillis, answer.number(), task, item.command(), result);
            }
        }
    }

    private void started(
            long nowMillis,
            PlacementEvent.CommandsAnswered answer,
            Task task,
            PlacementEvent.CommandResult result) {
        if (task.startRequest != answer.number()) {
            return;
        }
        task.startRequest = 0;
        if (result.error().isEmpty()) {
            task.startClock = answer.clockMillis();
            task.worker.nextRenewMillis = nowMillis;
        } else if (!task.busy && task.state == TaskState.STARTING) {
            task.worker.reconciled = false;
            task.worker.nextReportMillis = nowMillis;
            book.decide(task.id().value(), "start-refused", task.worker, result.error().get());
            ends.stopped(task, TaskEvent.STOPPED, Optional.empty());
        }
    }

    private void controlled(
            long nowMillis,
            long number,
            Task task,
            WorkerCommand command,
            PlacementEvent.CommandResult result) {
        if (task.controlRequest != number) {
            return;
        }
        task.controlRequest = 0;
        if (task.busy) {
            return;
        }
        if (command instanceof WorkerCommand.Checkpoint) {
            if (task.state == TaskState.CHECKPOINTING) {
                ends.stopRequested(task, result.checkpoint());
            }
        } else if (result.error().isEmpty()) {
            ends.stopped(task, TaskEvent.STOPPED, Optional.empty());
        } else {
            task.worker.nextReportMillis = nowMillis;
        }
    }

    /**
     * Handles commands without an answer; the next report shows what became of them.
     *
     * @return true if a worker refused commands of the present epoch, so that a later one exists
     */
    boolean failed(long nowMillis, PlacementEvent.CommandsFailed failure) {
        Outbox.Sent sent = outbox.settled(failure.number()).orElse(null);
        if (sent == null) {
            return false;
        }
        Worker worker = sent.worker();
        worker.nextReportMillis = nowMillis;
        if (worker.renewRequest == failure.number()) {
            worker.renewRequest = 0;
            worker.renewFailed = true;
        }
        for (Outbox.Item item : sent.items()) {
            Task task = item.task();
            if (task == null || task.attempt != item.attempt()) {
                continue;
            }
            if (task.startRequest == failure.number()) {
                task.startRequest = 0;
            }
            if (task.controlRequest == failure.number()) {
                task.controlRequest = 0;
            }
        }
        return failure.staleEpoch();
    }
}
