package org.peridotcourse.placement;

import java.util.ArrayList;
import java.util.List;
import org.peridotcourse.WorkerId;
import org.peridotcourse.WorkloadId;
import org.peridotcourse.base.RemoteClock;

/** The owner's state of one worker of its data centre. Confined to one thread. */
final class Worker {
    /** Time without an answer after which a worker receives no starts. */
    static final long CONTACT_TIMEOUT_MILLIS = 6_000;

    final WorkerId id;

    final WorkerAllocation allocation;
    final WorkerQuarantine quarantine = new WorkerQuarantine();
    final WorkerGuard guard = new WorkerGuard();
    final List<Task> tasks = new ArrayList<>();

    /** The workload of each replica on it. */
    final List<WorkloadId> services = new ArrayList<>();

    boolean leaving;

    /** Whether the newest host list contains it. */
    boolean inHostList;

    /** Whether the estimates of its tasks exceed its capacity. */
    boolean overcommitted;

    /** Newest reading of its clock, null before the first report. */
    RemoteClock clock;

    long lastContactMillis = Long.MIN_VALUE / 2;

    /**
     * Whether it has answered a command of this epoch, so that it refuses those of earlier epochs.
     */
    boolean fenced;

    /** Whether a report made under this epoch has been compared with the rows. */
    boolean reconciled;

    /** Time by which every batch lease on it has ended, whichever owner granted it. */
    long batchLeaseBoundMillis;

    /** Time by which every lease of a latency-critical task on it has ended. */
    long serviceLeaseBoundMillis;

    /**
     * Number of the unanswered renewal request, 0 for none; no further renewal is sent meanwhile.
     */
    long renewRequest;

    /** Whether the last renewal failed; none is sent until the worker answers a report request. */
    boolean renewFailed;

    /** Number of the unanswered report request, 0 for none. */
    long reportRequest;

    long nextReportMillis;
    long nextRenewMillis;

    /** Time of the last change of the batch tasks on it. */
    long batchTasksChangedMillis;

    Worker(WorkerId id, WorkerAllocation allocation) {
        this.id = id;
        this.allocation = allocation;
    }

    /** Returns whether tasks may be assigned to it. */
    boolean isUsable(long nowMillis) {
        return !leaving && quarantine.mayStart(nowMillis) && isReachable(nowMillis);
    }

    /** Returns whether it may receive a start command. */
    boolean isReachable(long nowMillis) {
        return reconciled
                && !renewFailed
                && nowMillis - lastContactMillis <= CONTACT_TIMEOUT_MILLIS;
    }

    /** Resets the state from earlier epochs, except for the ends of leases. */
    void beginEpoch(long earlierLeaseBoundMillis) {
        fenced = false;
        reconciled = false;
        renewRequest = 0;
        renewFailed = false;
        reportRequest = 0;
        nextReportMillis = 0;
        nextRenewMillis = 0;
        batchLeaseBoundMillis = Math.max(batchLeaseBoundMillis, earlierLeaseBoundMillis);
    }
}
