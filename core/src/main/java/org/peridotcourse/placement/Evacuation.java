package org.peridotcourse.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.peridotcourse.DataCentreId;

/**
 * Moves batch tasks away while this data centre is out, and takes over those of data centres whose
 * leases have ended.
 *
 * <p>Running tasks leave only as fast as other data centres have free capacity, those with the
 * least unsaved work first; the others continue to run. A return stops the moves and evicts
 * nothing. Confined to one thread.
 */
final class Evacuation {
    /** Most tasks without a worker that are moved in one step, to leave room for other writes. */
    private static final int QUEUED_PER_STEP = 80;

    private static final long READ_AGAIN_MILLIS = 5_000;

    private final Book book;
    private final WriteBuffer writes;
    private final Outbox outbox;
    private final Destinations destinations;
    private boolean leaving;

    Evacuation(Book book, WriteBuffer writes, Outbox outbox, Destinations destinations) {
        this.book = book;
        this.writes = writes;
        this.outbox = outbox;
        this.destinations = destinations;
    }

    /** Starts the next moves, or ends them after a return. */
    void run(long nowMillis) {
        if (!book.isReady(nowMillis) || book.config.version() == 0) {
            return;
        }
        if (book.config.isIn(book.dataCentre())) {
            if (leaving) {
                leaving = false;
                keepAll();
            }
            takeover(nowMillis);
            return;
        }
        leaving = true;
        int moved = 0;
        List<Task> running = new ArrayList<>();
        for (Job job : book.jobs.values()) {
            if (job.replicas || job.row.cancel()) {
                continue;
            }
            for (Task task : job.tasks.values()) {
                if (task.busy) {
                    continue;
                }
                if (task.state == TaskState.QUEUED && moved < QUEUED_PER_STEP) {
                    DataCentreId target = destinations.choose(job, false);
                    if (target != null) {
                        moved++;
                        writes.add(Change.move(task, target));
                    }
                } else if (task.state == TaskState.RUNNING && task.controlRequest == 0) {
                    running.add(task);
                }
            }
        }
        running.sort(Comparator.comparingLong(Task::unsavedProgress));
        for (Task task : running) {
            DataCentreId target = destinations.choose(task.job, true);
            if (target != null && task.worker.reconciled) {
                destinations.reserve(target, task.job);
                task.target = target;
                task.state = TaskChart.next(task.state, TaskEvent.CHECKPOINT_REQUESTED);
                outbox.checkpoint(task);
            }
        }
    }

    private void keepAll() {
        for (Worker worker : book.workers.values()) {
            for (Task task : worker.tasks) {
                if (task.target != null && task.state == TaskState.CHECKPOINTING && !task.busy) {
                    task.state = TaskChart.next(task.state, TaskEvent.KEPT);
                    task.target = null;
                    task.controlRequest = 0;
                }
            }
        }
    }

    /** Asks for the rows of data centres whose batch leases have all ended. */
    private void takeover(long nowMillis) {
        if (!book.mayStart(nowMillis)) {
            return;
        }
        book.peers.forEach(
                (dataCentre, peer) -> {
                    if (peer.challenger.isHoldOver(nowMillis)
                            && nowMillis - peer.readRequestedMillis >= READ_AGAIN_MILLIS) {
                        peer.readRequestedMillis = nowMillis;
                        book.actions.add(new PlacementAction.ReadTasks(dataCentre));
                    }
                });
    }

    /** Takes over the batch tasks among the rows of another data centre. */
    void foreignRows(long nowMillis, DataCentreId dataCentre, List<TaskRow> rows) {
        Peer peer = book.peers.get(dataCentre);
        if (peer == null || !peer.challenger.isHoldOver(nowMillis) || !book.mayStart(nowMillis)) {
            return;
        }
        for (TaskRow row : rows) {
            Job job = book.jobs.get(Book.jobKey(row.task()));
            boolean allowed =
                    job != null
                            && !Book.isReplica(row.task())
                            && book.rule(job.workload())
                                    .map(rule -> rule.allows(book.dataCentre()))
                                    .orElse(false);
            if (allowed && !job.tasks.containsKey(Book.index(row.task()))) {
                writes.add(Change.takeover(row, dataCentre, peer.challenger.commit()));
            }
        }
    }
}
