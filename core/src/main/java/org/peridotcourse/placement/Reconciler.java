package org.peridotcourse.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.peridotcourse.base.RemoteClock;

/**
 * Compares workers' reports and answers with the rows, and resolves each difference.
 *
 * <p>A report is used only if it was made under this owner's epoch: from then on the worker refuses
 * commands of earlier owners, so its list of attempts is complete. Confined to one thread.
 */
final class Reconciler {
    /**
     * Minimum time between two writes of the checkpoints that a running task makes by itself. It
     * keeps the writes of 15,000 tasks below 10 transactions a second. Stops and evictions write
     * their checkpoints at once.
     */
    private static final long PUBLISH_INTERVAL_MILLIS = 10_000;

    private final OwnerState state;
    private final WriteBuffer writes;
    private final CommandBuffer commands;
    private final AttemptEndHandler attemptEnds;
    private final InterferenceGuards guards;
    private long reportNumber;

    Reconciler(
            OwnerState state,
            WriteBuffer writes,
            CommandBuffer commands,
            AttemptEndHandler attemptEnds,
            InterferenceGuards guards) {
        this.state = state;
        this.writes = writes;
        this.commands = commands;
        this.attemptEnds = attemptEnds;
        this.guards = guards;
    }

    /** Handles a report, unless a newer one was requested meanwhile. */
    void handleReport(long nowMillis, long number, WorkerReport report) {
        Worker worker = state.worker(report.worker());
        if (worker.reportRequest != number) {
            return;
        }
        worker.reportRequest = 0;
        Optional<RemoteClock> earlierClock = Optional.ofNullable(worker.clock);
        worker.clock = new RemoteClock(report.clockMillis(), nowMillis);
        worker.lastContactMillis = nowMillis;
        worker.renewFailed = false;
        if (state.lease == null || report.epoch() > state.lease.epoch()) {
            return;
        }
        if (report.epoch() < state.lease.epoch()) {
            // The worker has restarted, or has received no command of this owner yet. Clock
            // readings from before a restart cannot be compared with later reports.
            if (worker.fenced) {
                earlierClock.ifPresent(
                        clock -> attemptEnds.recordCrash(worker, clock.remoteMillis()));
            }
            worker.tasks.forEach(task -> task.startClockMillis = Task.NOT_ACKNOWLEDGED);
            worker.fenced = false;
            worker.reconciled = false;
            worker.nextRenewMillis = nowMillis;
            return;
        }
        if (!state.isReady(nowMillis)) {
            return;
        }
        worker.reconciled = true;
        reportNumber++;
        for (WorkerReport.TaskReport each : report.tasks()) {
            reconcileListed(nowMillis, worker, report, each);
        }
        for (Task task : List.copyOf(worker.tasks)) {
            if (task.lastReportNumber != reportNumber
                    && !task.rowChangePending
                    && task.worker == worker) {
                reconcileAbsent(report, task);
            }
        }
        guards.handleReport(nowMillis, worker, report);
    }

    private void reconcileListed(
            long nowMillis, Worker worker, WorkerReport report, WorkerReport.TaskReport each) {
        Task task = state.findTask(each.task());
        if (task == null || task.worker != worker || task.attempt != each.attempt()) {
            if (!state.orphanedTaskRows.containsKey(OwnerState.jobKey(each.task()))) {
                commands.release(worker, each.task(), each.attempt());
            }
            return;
        }
        task.lastReportNumber = reportNumber;
        task.progress = Math.max(task.progress, each.progress());
        if (task.rowChangePending) {
            return;
        }
        switch (each.state()) {
            case RUNNING -> reconcileRunning(nowMillis, report, task, each);
            case FINISHED -> {
                if (task.job.replicaGroup) {
                    attemptEnds.recordStopped(task, TaskEvent.STOPPED, Optional.empty());
                } else {
                    attemptEnds.recordFinished(task);
                }
            }
            case FAILED -> attemptEnds.recordFailed(nowMillis, task, each.checkpoint());
            case STOPPED -> attemptEnds.recordStopped(task, TaskEvent.STOPPED, each.checkpoint());
            default -> throw new IllegalArgumentException("unknown attempt state: " + each.state());
        }
    }

    private void reconcileRunning(
            long nowMillis, WorkerReport report, Task task, WorkerReport.TaskReport each) {
        state.estimator(task.job.workload()).observe(each.usedMilliCores(), each.usedMemoryMib());
        guards.updateEstimate(task);
        if (task.startClockMillis == Task.NOT_ACKNOWLEDGED) {
            task.startClockMillis = report.clockMillis();
            task.startRequest = 0;
        }
        if (task.controlRequest != 0) {
            return;
        }
        if (task.job.row.cancel() || task.state == TaskState.LOST) {
            commands.stop(task);
        } else if (task.state == TaskState.STOPPING) {
            commands.stop(task);
        } else if (task.state == TaskState.CHECKPOINTING) {
            commands.checkpoint(task);
        } else if (task.state == TaskState.STARTING) {
            writes.add(
                    RowChange.of(task, TaskChart.next(task.state, TaskEvent.STARTED))
                            .withCheckpoint(each.checkpoint().orElse(task.checkpoint)));
        } else if (nowMillis - task.checkpointPublishedMillis >= PUBLISH_INTERVAL_MILLIS
                && each.checkpoint().isPresent()
                && !each.checkpoint().equals(task.publishedCheckpoint())) {
            task.savedProgress = each.progress();
            task.checkpointPublishedMillis = nowMillis;
            writes.add(RowChange.of(task, task.state).withCheckpoint(each.checkpoint().get()));
        }
    }

    /**
     * Stops an attempt that the report should have listed but did not, so that it can no longer
     * start.
     */
    private void reconcileAbsent(WorkerReport report, Task task) {
        boolean startMayBePending =
                task.startClockMillis == Task.NOT_ACKNOWLEDGED
                        ? task.startRequest != 0
                        : report.clockMillis() <= task.startClockMillis;
        if (!startMayBePending && task.controlRequest == 0) {
            commands.stop(task);
        }
    }

    /** Handles the answer to commands. */
    void handleAnswer(long nowMillis, PlacementEvent.CommandsAnswered answer) {
        Worker worker = state.worker(answer.worker());
        CommandBuffer.SentRequest sent = commands.removeOutstanding(answer.number()).orElse(null);
        if (sent == null) {
            return;
        }
        worker.lastContactMillis = nowMillis;
        worker.clock = new RemoteClock(answer.clockMillis(), nowMillis);
        if (worker.renewRequest == answer.number()) {
            worker.renewRequest = 0;
        }
        if (!worker.fenced) {
            worker.fenced = true;
            // From now on the worker refuses commands of earlier owners; all leases that they
            // granted end by these times.
            worker.batchLeaseBoundMillis = nowMillis + OwnerSettings.BATCH_LEASE_MILLIS;
            worker.serviceLeaseBoundMillis = nowMillis + OwnerSettings.SERVICE_LEASE_MILLIS;
            worker.nextReportMillis = nowMillis;
        }
        List<CommandBuffer.CommandItem> items = new ArrayList<>(sent.items());
        for (int i = 0; i < items.size() && i < answer.results().size(); i++) {
            CommandBuffer.CommandItem item = items.get(i);
            Task task = item.task();
            if (task == null || task.worker != worker || task.attempt != item.attempt()) {
                continue;
            }
            PlacementEvent.CommandResult result = answer.results().get(i);
            if (item.command() instanceof WorkerCommand.Start) {
                handleStartResult(nowMillis, answer, task, result);
            } else {
                handleControlResult(nowMillis, answer.number(), task, item.command(), result);
            }
        }
    }

    private void handleStartResult(
            long nowMillis,
            PlacementEvent.CommandsAnswered answer,
            Task task,
            PlacementEvent.CommandResult result) {
        if (task.startRequest != answer.number()) {
            return;
        }
        task.startRequest = 0;
        if (result.error().isEmpty()) {
            task.startClockMillis = answer.clockMillis();
            task.worker.nextRenewMillis = nowMillis;
        } else if (!task.rowChangePending && task.state == TaskState.STARTING) {
            task.worker.reconciled = false;
            task.worker.nextReportMillis = nowMillis;
            state.recordDecision(
                    task.id().value(), "start-refused", task.worker, result.error().get());
            attemptEnds.recordStopped(task, TaskEvent.STOPPED, Optional.empty());
        }
    }

    private void handleControlResult(
            long nowMillis,
            long number,
            Task task,
            WorkerCommand command,
            PlacementEvent.CommandResult result) {
        if (task.controlRequest != number) {
            return;
        }
        task.controlRequest = 0;
        if (task.rowChangePending) {
            return;
        }
        if (command instanceof WorkerCommand.Checkpoint) {
            if (task.state == TaskState.CHECKPOINTING) {
                attemptEnds.recordStopRequest(task, result.checkpoint());
            }
        } else if (result.error().isEmpty()) {
            attemptEnds.recordStopped(task, TaskEvent.STOPPED, Optional.empty());
        } else {
            task.worker.nextReportMillis = nowMillis;
        }
    }

    /**
     * Handles commands without an answer; the next report shows whether they were executed.
     *
     * @return true if a worker refused commands of the current epoch, so that a later epoch exists
     */
    boolean handleFailure(long nowMillis, PlacementEvent.CommandsFailed failure) {
        CommandBuffer.SentRequest sent = commands.removeOutstanding(failure.number()).orElse(null);
        if (sent == null) {
            return false;
        }
        Worker worker = sent.worker();
        worker.nextReportMillis = nowMillis;
        if (worker.renewRequest == failure.number()) {
            worker.renewRequest = 0;
            worker.renewFailed = true;
        }
        for (CommandBuffer.CommandItem item : sent.items()) {
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
