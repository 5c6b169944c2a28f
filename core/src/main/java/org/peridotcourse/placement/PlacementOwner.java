package org.peridotcourse.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.peridotcourse.CustomerId;
import org.peridotcourse.Resources;
import org.peridotcourse.base.LeaseHolder;

/**
 * Decides on the tasks of one data centre while its daemon holds the placement lease.
 *
 * <p>Pass every event to {@link #handle} and perform the returned actions. The daemon reads and
 * writes the lease row with {@link LeaseHolder} and {@link org.peridotcourse.base.LeaseChallenger},
 * polls the table {@code jobs}, the rows of its own data centre in the table {@code tasks}, the
 * lease rows of other data centres and the host list about once a second, and sends a tick every
 * {@link OwnerSettings#tickMillis}. An owner that has lost its lease stays usable: under the next
 * epoch it reads all rows again.
 *
 * <p>Confined to one thread.
 */
public final class PlacementOwner {
    private static final long ADMISSION_INTERVAL_MILLIS = 200;
    private static final long EXPIRY_INTERVAL_MILLIS = 500;
    private static final long REPLICA_INTERVAL_MILLIS = 1_000;
    private static final long LOAD_RETRY_MILLIS = 2_000;

    private final OwnerState state;
    private final WriteBuffer writes;
    private final CommandBuffer commands;
    private final WorkerSelector workerSelector;
    private final FairShareOrder fairShareOrder;
    private final Scheduler scheduler;
    private final Reconciler reconciler;
    private final JobAdmission admission;
    private final ReplicaController replicaController;
    private final Evacuation evacuation;
    private final Rebalancing rebalancing;
    private final WorkerMonitor workerMonitor;
    private final WriteOutcomeHandler writeOutcomes;
    private long loadCommit;
    private long loadRequestedMillis;
    private long nextAdmissionMillis;
    private long nextExpiryMillis;
    private long nextReplicasMillis;

    /**
     * Creates an owner without a lease.
     *
     * @param settings its settings
     * @param policy strategy for the choice of worker
     */
    public PlacementOwner(OwnerSettings settings, PlacementPolicy policy) {
        state = new OwnerState(settings, policy);
        writes = new WriteBuffer(state);
        commands = new CommandBuffer(state);
        InterferenceGuards guards = new InterferenceGuards(state, commands);
        AttemptEndHandler attemptEnds = new AttemptEndHandler(state, writes);
        workerSelector = new WorkerSelector(state, guards);
        fairShareOrder = new FairShareOrder(state);
        scheduler = new Scheduler(state, writes, fairShareOrder, workerSelector);
        reconciler = new Reconciler(state, writes, commands, attemptEnds, guards);
        admission = new JobAdmission(state, writes);
        replicaController = new ReplicaController(state, writes, commands);
        HandoverTargets handoverTargets = new HandoverTargets(state);
        evacuation = new Evacuation(state, writes, commands, handoverTargets);
        rebalancing = new Rebalancing(state, writes, fairShareOrder, handoverTargets);
        workerMonitor = new WorkerMonitor(state, writes, commands, attemptEnds);
        writeOutcomes = new WriteOutcomeHandler(state, writes, commands, admission);
    }

    /**
     * Returns the status for {@code /status} and metrics.
     *
     * @param nowMillis the current time
     * @return the status
     */
    public OwnerStatus status(long nowMillis) {
        int reachable = 0;
        int quarantined = 0;
        for (Worker worker : state.workers.values()) {
            reachable += worker.isUsable(nowMillis) ? 1 : 0;
            quarantined += worker.quarantine.isQuarantined() ? 1 : 0;
        }
        return new OwnerStatus(
                state.isLeaseHeld(nowMillis) ? state.lease.epoch() : 0,
                state.loaded,
                state.workers.size(),
                reachable,
                quarantined,
                state.queuedTasks,
                state.placedTasks,
                state.evictions,
                writes.writes(),
                state.starts);
    }

    /**
     * Returns the lease; the daemon checks it right before it performs each action.
     *
     * @return the lease, possibly expired, empty before the first confirmation
     */
    public Optional<LeaseHolder> lease() {
        return Optional.ofNullable(state.lease);
    }

    /**
     * Returns the free capacity of usable workers less the declared sizes of queued tasks. The
     * daemon publishes it with the lease row, and other owners hand over no more than that.
     *
     * @param nowMillis the current time
     * @return the free capacity, zero without a lease
     */
    public Resources freeCapacity(long nowMillis) {
        Resources free = Resources.ZERO;
        if (!state.mayStart(nowMillis)) {
            return free;
        }
        for (Worker worker : state.workers.values()) {
            if (worker.isUsable(nowMillis)) {
                free = free.plus(worker.allocation.free());
            }
        }
        for (Customer customer : state.customers.values()) {
            for (Job job : customer.normal()) {
                free = free.minus(times(job.size(), job.queued.size()));
            }
            for (Job job : customer.urgent()) {
                free = free.minus(times(job.size(), job.queued.size()));
            }
        }
        return free.max(Resources.ZERO);
    }

    private static Resources times(Resources size, int count) {
        return new Resources(
                size.milliCores() * count, size.memoryMib() * count, size.accelerators() * count);
    }

    /**
     * Returns the weighted dominant share of a customer's placed batch tasks.
     *
     * @param customer the customer
     * @return the dominant share in this data centre, divided by the weight
     */
    public double weightedShare(CustomerId customer) {
        return fairShareOrder.weightedShare(state.customer(customer));
    }

    /**
     * Handles one event.
     *
     * @param nowMillis the current time of a monotonic clock, never less than in an earlier call
     * @param event the event
     * @return the actions to perform, in order
     */
    public List<PlacementAction> handle(long nowMillis, PlacementEvent event) {
        state.nowMillis = nowMillis;
        state.actions = new ArrayList<>();
        if (!handleTableEvent(nowMillis, event) && !handleWorkerEvent(nowMillis, event)) {
            handleOwnerEvent(nowMillis, event);
        }
        commands.flush(nowMillis);
        return state.actions;
    }

    private boolean handleTableEvent(long nowMillis, PlacementEvent event) {
        if (event instanceof PlacementEvent.JobsSeen seen) {
            seen.rows().forEach(row -> jobSeen(nowMillis, row));
        } else if (event instanceof PlacementEvent.TaskRowsSeen seen) {
            taskRowsSeen(nowMillis, seen);
        } else if (event instanceof PlacementEvent.RowsRead read) {
            writes.removeReadBack(read.number())
                    .ifPresent(write -> writeOutcomes.applyReadBack(nowMillis, write, read));
        } else if (event instanceof PlacementEvent.WriteCommitted committed) {
            writes.removeCommitted(committed.id())
                    .ifPresent(
                            write ->
                                    writeOutcomes.applyCommitted(
                                            nowMillis, write, committed.commit()));
        } else if (event instanceof PlacementEvent.WriteConflict conflict) {
            writes.handleConflict(nowMillis, conflict.id());
        } else if (event instanceof PlacementEvent.WriteUnknown unknown) {
            writes.scheduleRetry(nowMillis, unknown.id());
        } else {
            return false;
        }
        return true;
    }

    private boolean handleWorkerEvent(long nowMillis, PlacementEvent event) {
        if (event instanceof PlacementEvent.ReportReceived received) {
            reconciler.handleReport(nowMillis, received.number(), received.report());
        } else if (event instanceof PlacementEvent.ReportFailed failed) {
            workerMonitor.reportFailed(state.worker(failed.worker()), failed.number());
        } else if (event instanceof PlacementEvent.CommandsAnswered answered) {
            reconciler.handleAnswer(nowMillis, answered);
        } else if (event instanceof PlacementEvent.CommandsFailed failed) {
            if (reconciler.handleFailure(nowMillis, failed)) {
                leaseLost();
            }
        } else if (event instanceof PlacementEvent.WorkersSeen seen) {
            workerMonitor.updateHosts(seen.workers());
            workerSelector.refresh();
        } else {
            return false;
        }
        return true;
    }

    private void handleOwnerEvent(long nowMillis, PlacementEvent event) {
        if (event instanceof PlacementEvent.Tick) {
            tick(nowMillis);
        } else if (event instanceof PlacementEvent.LeaseConfirmed confirmed) {
            leaseConfirmed(nowMillis, confirmed);
        } else if (event instanceof PlacementEvent.LeaseLost) {
            leaseLost();
        } else if (event instanceof PlacementEvent.ConfigSeen seen) {
            if (seen.config().version() >= state.config.version()) {
                state.config = seen.config();
                state.configConfirmedMillis =
                        Math.max(state.configConfirmedMillis, seen.confirmedMillis());
            }
        } else if (event instanceof PlacementEvent.PeerLeaseSeen seen) {
            PeerOwner peer =
                    state.peers.computeIfAbsent(
                            seen.dataCentre(),
                            key ->
                                    new PeerOwner(
                                            state.settings.daemon(),
                                            state.settings.marginMillis()));
            peer.challenger.observe(nowMillis, Optional.of(seen.row()), seen.commit());
            if (seen.commit() > peer.commit) {
                peer.commit = seen.commit();
                peer.free = seen.free();
            }
        }
    }

    private void tick(long nowMillis) {
        if (state.lease == null) {
            return;
        }
        if (!state.loaded
                && state.isLeaseHeld(nowMillis)
                && nowMillis - loadRequestedMillis >= LOAD_RETRY_MILLIS) {
            requestTaskRows(nowMillis);
        }
        workerMonitor.requestReportsAndRenewals(nowMillis);
        if (nowMillis >= nextExpiryMillis) {
            nextExpiryMillis = nowMillis + EXPIRY_INTERVAL_MILLIS;
            workerMonitor.expireLeases(nowMillis);
            evacuation.run(nowMillis);
            rebalancing.run(nowMillis);
        }
        if (nowMillis >= nextReplicasMillis) {
            nextReplicasMillis = nowMillis + REPLICA_INTERVAL_MILLIS;
            replicaController.run(nowMillis);
        }
        if (nowMillis >= nextAdmissionMillis) {
            nextAdmissionMillis = nowMillis + ADMISSION_INTERVAL_MILLIS;
            admission.reviewJobs(nowMillis);
        }
        writes.flush(nowMillis);
        scheduler.run(nowMillis);
        writes.flush(nowMillis);
    }

    private void leaseConfirmed(long nowMillis, PlacementEvent.LeaseConfirmed confirmed) {
        if (state.lease != null && confirmed.row().epoch() < state.lease.epoch()) {
            return;
        }
        boolean sameEpoch = state.lease != null && confirmed.row().epoch() == state.lease.epoch();
        if (sameEpoch && state.lease.isHeld(nowMillis)) {
            state.lease.onRenewalConfirmed(
                    confirmed.row(), confirmed.commit(), confirmed.sentMillis());
            return;
        }
        long earlierLeaseBoundMillis = 0;
        if (sameEpoch) {
            // After the lease expired, another data centre may have taken over tasks.
            state.lease.onRenewalConfirmed(
                    confirmed.row(), confirmed.commit(), confirmed.sentMillis());
        } else {
            state.lease =
                    new LeaseHolder(confirmed.row(), confirmed.commit(), confirmed.sentMillis());
            earlierLeaseBoundMillis = confirmed.sentMillis() + confirmed.earlierHoldMillis();
        }
        loadCommit = confirmed.commit();
        writes.clear();
        commands.clear();
        state.reset(earlierLeaseBoundMillis);
        requestTaskRows(nowMillis);
    }

    private void requestTaskRows(long nowMillis) {
        loadRequestedMillis = nowMillis;
        state.actions.add(new PlacementAction.ReadTasks(state.dataCentre()));
    }

    private void leaseLost() {
        if (state.lease != null) {
            state.lease.onSuperseded();
        }
        state.loaded = false;
    }

    private void jobSeen(long nowMillis, JobRow row) {
        Job job = state.putJob(nowMillis, row);
        if (job == null) {
            return;
        }
        admission.requestReview(job);
        List<TaskRow> taskRows = state.orphanedTaskRows.remove(job.key);
        if (taskRows != null) {
            taskRows.forEach(taskRow -> state.applyRow(nowMillis, taskRow));
        }
    }

    private void taskRowsSeen(long nowMillis, PlacementEvent.TaskRowsSeen seen) {
        if (!seen.dataCentre().equals(state.dataCentre())) {
            evacuation.takeOverRows(nowMillis, seen.dataCentre(), seen.rows());
            return;
        }
        if (!state.isLeaseHeld(nowMillis) || seen.asOf() < loadCommit) {
            return;
        }
        if (seen.complete() && !state.loaded) {
            seen.rows().forEach(row -> state.applyRow(nowMillis, row));
            state.loaded = true;
            state.loadedMillis = nowMillis;
            loadCommit = seen.asOf();
            workerSelector.refresh();
            admission.requestReviewOfAll();
        } else if (state.loaded) {
            seen.rows().forEach(row -> state.applyRowIfNewer(nowMillis, row));
            state.removalCommits.values().removeIf(commit -> commit <= seen.asOf());
        }
    }
}
