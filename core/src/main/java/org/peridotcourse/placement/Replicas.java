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
final class Replicas {
    /** Replica numbers per epoch; numbers of different epochs never meet. */
    private static final int NUMBERS_PER_EPOCH = 10_000;

    private final Book book;
    private final WriteBuffer writes;
    private final Outbox outbox;

    /** Kept over reloads, because one epoch can read its rows several times. */
    private final Map<String, Integer> lastNumber = new HashMap<>();

    Replicas(Book book, WriteBuffer writes, Outbox outbox) {
        this.book = book;
        this.writes = writes;
        this.outbox = outbox;
    }

    /** Creates missing replicas and stops surplus ones. */
    void run(long nowMillis) {
        if (!book.isReady(nowMillis)) {
            return;
        }
        book.config
                .workloads()
                .forEach(
                        (workload, rule) -> {
                            if (rule.latencyCritical()) {
                                int wanted = rule.allows(book.dataCentre()) ? rule.replicas() : 0;
                                Job job =
                                        book.replicaJob(
                                                nowMillis,
                                                book.replicaKey(workload),
                                                Optional.of(rule.size()));
                                adjust(nowMillis, job, wanted);
                            }
                        });
    }

    private void adjust(long nowMillis, Job job, int wanted) {
        if (job.pending) {
            return;
        }
        List<Task> live = new ArrayList<>();
        for (Task task : job.tasks.values()) {
            if (task.state != TaskState.LOST) {
                live.add(task);
            }
        }
        if (live.size() < wanted && book.mayStart(nowMillis)) {
            int first =
                    Math.max(
                            (int) book.lease.epoch() * NUMBERS_PER_EPOCH,
                            lastNumber.getOrDefault(job.key, -1) + 1);
            for (int index : job.tasks.keySet()) {
                first = Math.max(first, index + 1);
            }
            int count = Math.min(wanted - live.size(), 100);
            lastNumber.put(job.key, first + count - 1);
            writes.add(Change.creation(job, first, first + count));
        }
        for (int surplus = live.size() - wanted; surplus > 0; surplus--) {
            Task task = live.get(surplus - 1);
            if (task.busy || task.controlRequest != 0) {
                continue;
            }
            if (task.state == TaskState.QUEUED) {
                writes.add(Change.removal(task, 0, 0));
            } else if (task.worker.reconciled) {
                outbox.stop(task);
            }
        }
    }
}
