package org.peridotcourse.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.peridotcourse.DataCentreId;

/**
 * Hands batch tasks over to other data centres while this one is {@code out}, and takes over the
 * tasks of data centres whose batch leases have ended.
 *
 * <p>Running tasks are handed over only into free capacity of other data centres, those with the
 * least progress since their last checkpoint first; the others continue to run. Once this data
 * centre is {@code in} again, no further task is handed over, and none is evicted. Confined to one
 * thread.
 */
final class Evacuation {
    /** Maximum number of queued tasks handed over in one step, to leave room for other writes. */
    private static final int MAX_QUEUED_PER_STEP = 80;

    private static final long READ_RETRY_MILLIS = 5_000;

    private final OwnerState state;
    private final WriteBuffer writes;
    private final CommandBuffer commands;
    private final HandoverTargets handoverTargets;
    private boolean evacuating;

    Evacuation(
            OwnerState state,
            WriteBuffer writes,
            CommandBuffer commands,
            HandoverTargets handoverTargets) {
        this.state = state;
        this.writes = writes;
        this.commands = commands;
        this.handoverTargets = handoverTargets;
    }

    /**
     * Starts the next handovers. Once this data centre is {@code in} again, cancels the pending
     * ones and reads the rows of data centres whose batch leases have ended.
     */
    void run(long nowMillis) {
        if (!state.isReady(nowMillis) || state.config.version() == 0) {
            return;
        }
        if (state.config.isIn(state.dataCentre())) {
            if (evacuating) {
                evacuating = false;
                cancelCheckpoints();
            }
            requestAbandonedRows(nowMillis);
            return;
        }
        evacuating = true;
        int handedOverCount = 0;
        List<Task> running = new ArrayList<>();
        for (Job job : state.jobs.values()) {
            if (job.replicaGroup || job.row.cancel()) {
                continue;
            }
            for (Task task : job.tasks.values()) {
                if (task.rowChangePending) {
                    continue;
                }
                if (task.state == TaskState.QUEUED && handedOverCount < MAX_QUEUED_PER_STEP) {
                    DataCentreId target = handoverTargets.choose(job, false);
                    if (target != null) {
                        handedOverCount++;
                        writes.add(RowChange.handover(task, target));
                    }
                } else if (task.state == TaskState.RUNNING && task.controlRequest == 0) {
                    running.add(task);
                }
            }
        }
        running.sort(Comparator.comparingLong(Task::unsavedProgress));
        for (Task task : running) {
            DataCentreId target = handoverTargets.choose(task.job, true);
            if (target != null && task.worker.reconciled) {
                handoverTargets.reserve(target, task.job);
                task.handoverTarget = target;
                task.state = TaskChart.next(task.state, TaskEvent.CHECKPOINT_REQUESTED);
                commands.checkpoint(task);
            }
        }
    }

    private void cancelCheckpoints() {
        for (Worker worker : state.workers.values()) {
            for (Task task : worker.tasks) {
                if (task.handoverTarget != null
                        && task.state == TaskState.CHECKPOINTING
                        && !task.rowChangePending) {
                    task.state = TaskChart.next(task.state, TaskEvent.KEPT);
                    task.handoverTarget = null;
                    task.controlRequest = 0;
                }
            }
        }
    }

    /** Reads the task rows of data centres whose batch leases have all ended. */
    private void requestAbandonedRows(long nowMillis) {
        if (!state.mayStart(nowMillis)) {
            return;
        }
        state.peers.forEach(
                (dataCentre, peer) -> {
                    if (peer.challenger.isHoldExpired(nowMillis)
                            && nowMillis - peer.readRequestedMillis >= READ_RETRY_MILLIS) {
                        peer.readRequestedMillis = nowMillis;
                        state.actions.add(new PlacementAction.ReadTasks(dataCentre));
                    }
                });
    }

    /** Takes over the batch tasks among the rows of another data centre. */
    void takeOverRows(long nowMillis, DataCentreId dataCentre, List<TaskRow> rows) {
        PeerOwner peer = state.peers.get(dataCentre);
        if (peer == null
                || !peer.challenger.isHoldExpired(nowMillis)
                || !state.mayStart(nowMillis)) {
            return;
        }
        for (TaskRow row : rows) {
            Job job = state.jobs.get(OwnerState.jobKey(row.task()));
            boolean allowed =
                    job != null
                            && !OwnerState.isReplica(row.task())
                            && state.rule(job.workload())
                                    .map(rule -> rule.allows(state.dataCentre()))
                                    .orElse(false);
            if (allowed && !job.tasks.containsKey(OwnerState.taskIndex(row.task()))) {
                writes.add(RowChange.takeover(row, dataCentre, peer.challenger.commit()));
            }
        }
    }
}
