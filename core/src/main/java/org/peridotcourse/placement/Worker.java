package org.peridotcourse.placement;

import java.util.ArrayList;
import java.util.List;
import org.peridotcourse.WorkerId;
import org.peridotcourse.WorkloadId;
import org.peridotcourse.base.LeaseClock;

/** What the owner knows of one worker of its data centre. Confined to one thread. */
final class Worker {
    /** A worker that has not answered for this long receives no starts. */
    static final long CONTACT_TIMEOUT_MILLIS = 6_000;

    final WorkerId id;

    final WorkerAllocation allocation;
    final WorkerQuarantine quarantine = new WorkerQuarantine();
    final WorkerGuard guard = new WorkerGuard();
    final List<Task> tasks = new ArrayList<>();

    /** The workload of each replica on it. */
    final List<WorkloadId> services = new ArrayList<>();

    boolean leaving;

    /** The newest host list shows it. */
    boolean inHostList;

    /** The estimates of its tasks exceed its capacity. */
    boolean overcommitted;

    /** Its newest clock reading, null before the first report. */
    LeaseClock clock;

    long lastContactMillis = Long.MIN_VALUE / 2;

    /** It has answered a command of this epoch, so it refuses older epochs. */
    boolean fenced;

    /** A report made under this epoch has been compared with the rows. */
    boolean reconciled;

    /** Every batch lease on it, whoever granted it, has ended at this time. */
    long batchLeaseBoundMillis;

    /** Every lease of a latency-critical task on it has ended at this time. */
    long serviceLeaseBoundMillis;

    /** Number of the unanswered renewal, 0 for none; no further one is granted meanwhile. */
    long renewRequest;

    /** The last renewal failed; none is granted until the worker answers a report. */
    boolean renewFailed;

    /** Number of the report that was requested last and has not arrived, 0 for none. */
    long reportRequest;

    long nextReportMillis;
    long nextRenewMillis;

    /** When the set of batch tasks on it last changed. */
    long batchTasksChangedMillis;

    Worker(WorkerId id, WorkerAllocation ledger) {
        this.id = id;
        this.allocation = ledger;
    }

    /** Tells whether tasks may be assigned to it. */
    boolean isUsable(long nowMillis) {
        return !leaving && quarantine.mayStart(nowMillis) && isReachable(nowMillis);
    }

    /** Tells whether it may receive a start command. */
    boolean isReachable(long nowMillis) {
        return reconciled
                && !renewFailed
                && nowMillis - lastContactMillis <= CONTACT_TIMEOUT_MILLIS;
    }

    /** Forgets what was learned under an earlier epoch, but for bounds of leases. */
    void beginEpoch(long earlierBoundMillis) {
        fenced = false;
        reconciled = false;
        renewRequest = 0;
        renewFailed = false;
        reportRequest = 0;
        nextReportMillis = 0;
        nextRenewMillis = 0;
        batchLeaseBoundMillis = Math.max(batchLeaseBoundMillis, earlierBoundMillis);
    }
}
