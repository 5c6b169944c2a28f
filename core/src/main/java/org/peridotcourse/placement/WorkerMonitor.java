package org.peridotcourse.placement;

import java.util.List;
import java.util.Optional;
import org.peridotcourse.Resources;

/**
 * Monitors the workers: requests reports and lease renewals, expires leases and applies the host
 * list.
 *
 * <p>Confined to one thread.
 */
final class WorkerMonitor {
    /**
     * Maximum number of reports and renewals requested per tick, to spread them over the interval.
     */
    private static final int MAX_REQUESTS_PER_TICK = 100;

    private final OwnerState state;
    private final WriteBuffer writes;
    private final CommandBuffer commands;
    private final AttemptEndHandler attemptEnds;
    private long lastReportRequest;

    WorkerMonitor(
            OwnerState state,
            WriteBuffer writes,
            CommandBuffer commands,
            AttemptEndHandler attemptEnds) {
        this.state = state;
        this.writes = writes;
        this.commands = commands;
        this.attemptEnds = attemptEnds;
    }

    /** Applies a new host list. */
    void updateHosts(List<WorkerHost> hosts) {
        state.hosts = List.copyOf(hosts);
        state.localCapacity = Resources.ZERO;
        state.totalCapacity = Resources.ZERO;
        state.workers.values().forEach(worker -> worker.inHostList = false);
        for (WorkerHost host : hosts) {
            state.totalCapacity = state.totalCapacity.plus(host.capacity());
            if (host.dataCentre().equals(state.dataCentre())) {
                state.localCapacity = state.localCapacity.plus(host.capacity());
                Worker worker = state.worker(host.id());
                worker.allocation.resize(host.capacity());
                worker.leaving = host.leaving();
                worker.inHostList = true;
            }
        }
        state.workers
                .values()
                .removeIf(
                        worker -> {
                            worker.leaving |= !worker.inHostList;
                            return !worker.inHostList && worker.tasks.isEmpty();
                        });
    }

    /** Requests the reports and sends the renewals that are due. */
    void requestReportsAndRenewals(long nowMillis) {
        if (state.lease == null || nowMillis >= state.lease.holdEndMillis()) {
            return;
        }
        int remaining = MAX_REQUESTS_PER_TICK;
        for (Worker worker : state.workers.values()) {
            if (remaining == 0) {
                break;
            }
            if (worker.reportRequest == 0 && nowMillis >= worker.nextReportMillis) {
                worker.reportRequest = ++lastReportRequest;
                worker.nextReportMillis = nowMillis + state.settings.reportMillis();
                state.actions.add(new PlacementAction.FetchReport(worker.id, lastReportRequest));
                remaining--;
            }
            if (worker.clock != null
                    && worker.renewRequest == 0
                    && !worker.renewFailed
                    && nowMillis >= worker.nextRenewMillis) {
                worker.nextRenewMillis = nowMillis + state.settings.renewMillis();
                commands.renew(nowMillis, worker);
                remaining--;
            }
        }
    }

    /** Records that a worker did not answer a request for its report. */
    void reportFailed(Worker worker, long number) {
        if (worker.reportRequest == number) {
            worker.reportRequest = 0;
        }
    }

    /**
     * Ends attempts whose leases have expired, and marks replicas on workers that do not answer as
     * lost.
     */
    void expireLeases(long nowMillis) {
        if (!state.isReady(nowMillis)) {
            return;
        }
        long margin = state.settings.marginMillis();
        for (Worker worker : state.workers.values()) {
            if (worker.tasks.isEmpty() || nowMillis - worker.lastContactMillis <= margin) {
                continue;
            }
            boolean batchLeasesExpired = nowMillis > worker.batchLeaseBoundMillis + margin;
            boolean serviceLeasesExpired = nowMillis > worker.serviceLeaseBoundMillis + margin;
            boolean unreachable =
                    nowMillis - Math.max(worker.lastContactMillis, state.loadedMillis)
                            > OwnerSettings.BATCH_LEASE_MILLIS + margin;
            if (!batchLeasesExpired && !unreachable) {
                continue;
            }
            for (Task task : List.copyOf(worker.tasks)) {
                if (task.rowChangePending) {
                    continue;
                }
                if (task.job.replicaGroup ? serviceLeasesExpired : batchLeasesExpired) {
                    attemptEnds.recordStopped(task, TaskEvent.EXPIRED, Optional.empty());
                } else if (task.job.replicaGroup && unreachable && task.state != TaskState.LOST) {
                    writes.add(
                            RowChange.of(task, TaskChart.next(task.state, TaskEvent.UNREACHABLE)));
                }
            }
        }
    }
}
