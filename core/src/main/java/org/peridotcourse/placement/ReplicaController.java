package org.peridotcourse.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Keeps the wanted number of replicas of each service in this data centre.
 *
 * <p>A replica on a worker that does not answer is replaced under a new task id, because its lease
 * lasts for a day. Confined to one thread.
 */
final class ReplicaController {
    /** Replica numbers per epoch; numbers of different epochs never meet. */
    private static final int INDEXES_PER_EPOCH = 10_000;

    private final OwnerState state;
    private final WriteBuffer writes;
    private final CommandBuffer commands;

    /** Kept over reloads, because one epoch can read its rows several times. */
    private final Map<String, Integer> lastIndex = new HashMap<>();

    ReplicaController(OwnerState book, WriteBuffer writes, CommandBuffer outbox) {
        this.state = book;
        this.writes = writes;
        this.commands = outbox;
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
                                int wanted = rule.allows(state.dataCentre()) ? rule.replicas() : 0;
                                Job job =
                                        state.replicaJob(
                                                nowMillis,
                                                state.replicaKey(workload),
                                                Optional.of(rule.size()));
                                adjust(nowMillis, job, wanted);
                            }
                        });
    }

    private void adjust(long nowMillis, Job job, int wanted) {
        if (job.rowChangeCollected) {
            return;
        }
        List<Task> live = new ArrayList<>();
        for (Task task : job.tasks.values()) {
            if (task.state != TaskState.LOST) {
                live.add(task);
            }
        }
        if (live.size() < wanted && state.mayStart(nowMillis)) {
            int first =
                    Math.max(
                            (int) state.lease.epoch() * INDEXES_PER_EPOCH,
                            lastIndex.getOrDefault(job.key, -1) + 1);
            for (int index : job.tasks.keySet()) {
                first = Math.max(first, index + 1);
            }
            int count = Math.min(wanted - live.size(), 100);
            lastIndex.put(job.key, first + count - 1);
            writes.add(RowChange.creation(job, first, first + count));
        }
        for (int surplus = live.size() - wanted; surplus > 0; surplus--) {
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
