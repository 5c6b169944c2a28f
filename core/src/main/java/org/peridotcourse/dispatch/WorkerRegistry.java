package org.peridotcourse.dispatch;

import java.util.ArrayList;
import java.util.List;

/** Adds, updates and removes the workers of the owner. Confined to one thread. */
final class WorkerRegistry {
    /** Time after which a busy process may handle the end of a connection. */
    private static final long MAX_HANDLING_DELAY_MILLIS = 500;

    private final OwnerState state;
    private final RunLifecycle runs;

    WorkerRegistry(OwnerState state, RunLifecycle runs) {
        this.state = state;
        this.runs = runs;
    }

    /** Adds or updates a worker from its entry in the worker list. */
    void onListed(WorkerInfo info, long now) {
        Worker worker = state.workers.get(info.id());
        if (worker == null) {
            boolean reconciled = state.reconciliation.isComplete();
            long leaseExpiresAt = reconciled ? now : state.term.earlierRunsMayLastUntil();
            state.workers.put(info.id(), new Worker(info, leaseExpiresAt, state.usage));
            return;
        }
        worker.info = info;
        worker.listed = true;
    }

    /** Adds a worker that an earlier owner recorded and that may have left. */
    void onRecorded(WorkerInfo info, long now) {
        onListed(info, now);
        onUnlisted(info.id(), now - WorkerSelector.UNLISTED_GRACE_MILLIS);
    }

    void onUnlisted(String id, long now) {
        Worker worker = state.workers.get(id);
        if (worker != null && worker.listed) {
            worker.listed = false;
            worker.unlistedAt = now;
        }
    }

    /** Removes unlisted workers that cannot have active runs. */
    void removeUnlisted(long now) {
        List<Worker> removable = new ArrayList<>();
        for (Worker worker : state.workers.values()) {
            boolean unlistedTooLong =
                    !worker.listed
                            && now - worker.unlistedAt >= WorkerSelector.UNLISTED_GRACE_MILLIS;
            if (unlistedTooLong && worker.runs.isEmpty() && now >= worker.leaseExpiresAt) {
                removable.add(worker);
            }
        }
        for (Worker worker : removable) {
            state.workers.remove(worker.id);
            if (!worker.hasReported) {
                state.reconciliation.onWorkerMissing();
            }
        }
    }

    /**
     * A call that ends before the worker had to answer has lost its connection, which the worker
     * kept open until then.
     */
    private static void noteConnectionEnd(Worker worker, OrderReply reply, long now) {
        boolean endedEarly = now - worker.calledAt < worker.calledWaitMillis;
        if (reply == OrderReply.UNANSWERED && endedEarly) {
            worker.wasAliveAt(now - MAX_HANDLING_DELAY_MILLIS);
        }
    }

    /** Handles a lease call that returned no report. */
    void onLeaseCallFailed(Worker worker, OrderReply reply, long now) {
        if (reply == OrderReply.STALE_EPOCH) {
            runs.depose(worker);
            return;
        }
        if (worker.reachable) {
            noteConnectionEnd(worker, reply, now);
            worker.reachable = false;
            state.log(
                    Decision.Kind.WORKER_LOST,
                    worker.id,
                    worker,
                    "reply="
                            + reply
                            + " silent="
                            + (now - worker.lastReportAt)
                            + " runs="
                            + worker.runs.size()
                            + " young="
                            + worker.youngRuns().size()
                            + " leasesOverIn="
                            + (worker.leaseExpiresAt - now));
        }
        if (reply == OrderReply.OTHER_LIFE) {
            runs.onAddressTaken(worker, worker.calledAddress, now);
        }
    }
}
