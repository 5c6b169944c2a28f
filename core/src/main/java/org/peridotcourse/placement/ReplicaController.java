package org.peridotcourse.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Maintains the configured number of replicas of each service in this data centre.
 *
 * <p>A replica on a worker that does not answer is replaced under a new task id, because its lease
 * lasts for a day. Confined to one thread.
 */
final class ReplicaController {
    /** Number of replica indexes per epoch, so that different epochs never use the same index. */
    private static final int INDEXES_PER_EPOCH = 10_000;

    private final OwnerState state;
    private final WriteBuffer writes;
    private final CommandBuffer commands;

    /**
     * Last index per replica group. It is kept when the rows are read again, which can happen
     * several times in one epoch.
     */
    private final Map<String, Integer> lastIndex = new HashMap<>();

    ReplicaController(OwnerState state, WriteBuffer writes, CommandBuffer commands) {
        this.state = state;
        this.writes = writes;
        this.commands = commands;
    }

    /** Creates missing replicas and stops surplus ones. */
    void run(long nowMillis) {
        if (!state.isReady(nowMillis)) {
            return;
        }
        state.config
                .workloads()
                .forEach(
                        (workload, rule) -> {
                            if (rule.latencyCritical()) {
                                int target = rule.allows(state.dataCentre()) ? rule.replicas() : 0;
                                Job job =
                                        state.replicaJob(
                                                nowMillis,
                                                state.replicaKey(workload),
                                                Optional.of(rule.size()));
                                adjust(nowMillis, job, target);
                            }
                        });
    }

    private void adjust(long nowMillis, Job job, int target) {
        if (job.rowChangeCollected) {
            return;
        }
        List<Task> live = new ArrayList<>();
        for (Task task : job.tasks.values()) {
            if (task.state != TaskState.LOST) {
                live.add(task);
            }
        }
        if (live.size() < target && state.mayStart(nowMillis)) {
            int first =
                    Math.max(
                            (int) state.lease.epoch() * INDEXES_PER_EPOCH,
                            lastIndex.getOrDefault(job.key, -1) + 1);
            for (int index : job.tasks.keySet()) {
                first = Math.max(first, index + 1);
            }
            int count = Math.min(target - live.size(), 100);
            lastIndex.put(job.key, first + count - 1);
            writes.add(RowChange.creation(job, first, first + count));
        }
        for (int surplus = live.size() - target; surplus > 0; surplus--) {
            Task task = live.get(surplus - 1);
            if (task.rowChangePending || task.controlRequest != 0) {
                continue;
            }
            if (task.state == TaskState.QUEUED) {
                writes.add(RowChange.removal(task, 0, 0));
            } else if (task.worker.reconciled) {
                commands.stop(task);
            }
        }
    }
}
