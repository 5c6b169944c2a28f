package org.peridotcourse.placement;

import java.util.List;
import java.util.Optional;
import org.peridotcourse.Resources;

/**
 * Keeps the standing of the workers: reports, renewals, expired leases and the host list.
 *
 * <p>Confined to one thread.
 */
final class Upkeep {
    /** Most reports or renewals requested per tick, so that they spread over the interval. */
    private static final int REQUESTS_PER_TICK = 100;

    private final Book book;
    private final WriteBuffer writes;
    private final Outbox outbox;
    private final TaskEnds ends;
    private long reports;

    Upkeep(Book book, WriteBuffer writes, Outbox outbox, TaskEnds ends) {
        this.book = book;
        this.writes = writes;
        this.outbox = outbox;
        this.ends = ends;
    }

    /** Takes over the host list. */
    void hosts(List<WorkerHost> hosts) {
        book.hosts = List.copyOf(hosts);
        book.capacity = Resources.ZERO;
        book.allCapacity = Resources.ZERO;
        book.workers.values().forEach(worker -> worker.listed = false);
        for (WorkerHost host : hosts) {
            book.allCapacity = book.allCapacity.plus(host.capacity());
            if (host.dataCentre().equals(book.dataCentre())) {
                book.capacity = book.capacity.plus(host.capacity());
                Worker worker = book.worker(host.id());
                worker.ledger.resize(host.capacity());
                worker.leaving = host.leaving();
                worker.listed = true;
            }
        }
        book.workers
                .values()
                .removeIf(
                        worker -> {
                            worker.leaving |= !worker.listed;
                            return !worker.listed && worker.tasks.isEmpty();
                        });
    }

    /** Requests reports and renewals that are due. */
    void contact(long nowMillis) {
        if (book.lease == null || nowMillis >= book.lease.holdUntilMillis()) {
            return;
        }
        int left = REQUESTS_PER_TICK;
        for (Worker worker : book.workers.values()) {
            if (left == 0) {
                break;
            }
            if (worker.reportRequest == 0 && nowMillis >= worker.nextReportMillis) {
                worker.reportRequest = ++reports;
                worker.nextReportMillis = nowMillis + book.settings.reportMillis();
                book.actions.add(new PlacementAction.FetchReport(worker.id, reports));
                left--;
            }
            if (worker.clock != null
                    && worker.renewRequest == 0
                    && !worker.renewFailed
                    && nowMillis >= worker.nextRenewMillis) {
                worker.nextRenewMillis = nowMillis + book.settings.renewMillis();
                outbox.renew(nowMillis, worker);
                left--;
            }
        }
    }

    /** Records that a worker did not answer a request for its report. */
    void reportFailed(Worker worker, long number) {
        if (worker.reportRequest == number) {
            worker.reportRequest = 0;
        }
    }

    /** Gives up attempts whose leases have certainly ended. */
    void expire(long nowMillis) {
        if (!book.isReady(nowMillis)) {
            return;
        }
        long margin = book.settings.marginMillis();
        for (Worker worker : book.workers.values()) {
            if (worker.tasks.isEmpty() || nowMillis - worker.contactMillis <= margin) {
                continue;
            }
            boolean batchOver = nowMillis > worker.batchBoundMillis + margin;
            boolean serviceOver = nowMillis > worker.serviceBoundMillis + margin;
            boolean silent =
                    nowMillis - Math.max(worker.contactMillis, book.loadedMillis)
                            > OwnerSettings.BATCH_LEASE_MILLIS + margin;
            if (!batchOver && !silent) {
                continue;
            }
            for (Task task : List.copyOf(worker.tasks)) {
                if (task.busy) {
                    continue;
                }
                if (task.job.replicas ? serviceOver : batchOver) {
                    ends.stopped(task, TaskEvent.EXPIRED, Optional.empty());
                } else if (task.job.replicas && silent && task.state != TaskState.LOST) {
                    writes.add(Change.of(task, TaskChart.next(task.state, TaskEvent.UNREACHABLE)));
                }
            }
        }
    }
}
