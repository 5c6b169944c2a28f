package org.peridotcourse.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Schedules tasks on workers for the duration of one placement ownership.
 *
 * <p>Callers pass events together with the current time, then call {@link #decide} and send the
 * orders that it returns. They store the batches of {@link #takeChanges} and confirm them with
 * {@link #onStored}; lease calls acknowledge the ends of runs only after that. Unless stated
 * otherwise, times are milliseconds of this process's monotonic clock. Confined to one thread.
 */
public final class DispatchOwner {
    /**
     * Interval at which worker speeds are compared and runs are checked for stalls and slowness.
     */
    private static final long CHECK_INTERVAL_MILLIS = 200;

    /** Longest interval between two planning passes, even if nothing has changed. */
    private static final long MAX_PLAN_INTERVAL_MILLIS = 100;

    /** How long a worker that is kept free for a trial waits before it reports. */
    private static final long TRIAL_REPORT_WAIT_MILLIS = 250;

    private final OwnerState state;
    private final JobRegistry jobs;
    private final RunLifecycle runs;
    private final WorkerRegistry workers;
    private final ReportProcessor reportProcessor;
    private final WorkerSelector selector;
    private final CrashTrials trials;
    private final RecordedStarts recordedStarts;
    private final Planner planner;
    private final RunMonitor monitor;
    private final FillThrottle throttle;
    private long lastCheckAt;
    private long lastPlanAt;

    /**
     * Creates the scheduler of a new ownership.
     *
     * @param term the ownership and its epoch
     * @param sink receives each decision, for the log
     */
    public DispatchOwner(OwnerTerm term, Decision.Sink sink) {
        this.state = new OwnerState(term, sink);
        this.jobs = new JobRegistry(state);
        this.runs = new RunLifecycle(state, jobs);
        this.workers = new WorkerRegistry(state, runs);
        this.reportProcessor = new ReportProcessor(state, jobs, runs);
        this.selector = new WorkerSelector(state);
        this.trials = new CrashTrials(state, selector);
        this.recordedStarts = new RecordedStarts(state, selector, runs);
        this.planner = new Planner(state, selector, runs, trials, recordedStarts);
        this.monitor = new RunMonitor(state, runs, selector, planner);
        this.throttle = new FillThrottle(state, runs, selector);
    }

    /**
     * Returns the ownership and its epoch.
     *
     * @return the term
     */
    public OwnerTerm term() {
        return state.term;
    }

    /**
     * Returns whether a worker has rejected a call because it has received the epoch of a later
     * owner.
     *
     * @return true once this owner must stop
     */
    public boolean isDeposed() {
        return state.deposed;
    }

    /**
     * Returns the ids of the workers that receive lease calls.
     *
     * @return the worker ids
     */
    public List<String> workerIds() {
        return new ArrayList<>(state.workers.keySet());
    }

    /**
     * Returns whether a worker receives lease calls.
     *
     * @param id the id of the worker
     * @return false once the worker has been removed
     */
    public boolean hasWorker(String id) {
        return state.workers.containsKey(id);
    }

    /**
     * Returns the workers that may run tasks of this owner.
     *
     * @return their entries in the worker list
     */
    public List<WorkerInfo> workerInfos() {
        List<WorkerInfo> infos = new ArrayList<>();
        state.workers.values().forEach(worker -> infos.add(worker.info));
        return infos;
    }

    /**
     * Returns, for each queue, the number of accepted jobs none of whose tasks has started. Timed
     * jobs are not counted.
     *
     * @return number of jobs by queue name
     */
    public Map<String, Integer> pendingJobsByQueue() {
        Map<String, Integer> jobsByQueue = new HashMap<>();
        for (Job job : state.jobs.values()) {
            if (job.isActive() && !job.started && !job.spec.schedule().isTimed()) {
                jobsByQueue.merge(job.rulesAtAcceptance.name(), 1, Integer::sum);
            }
        }
        return jobsByQueue;
    }

    /**
     * Returns the values of the owner's gauges.
     *
     * @param now the current time
     * @return the values
     */
    public OwnerMetrics metrics(long now) {
        return OwnerMetrics.of(state, selector, now);
    }

    /**
     * Handles the confirmation that no earlier owner sends orders any more. This shortens the wait
     * for the leases of workers that have not reported yet.
     *
     * @param now the current time
     */
    public void onEarlierOwnersEnded(long now) {
        state.term = state.term.withEarlierOwnersEnded(now);
        long runsMayLastUntil = state.term.earlierRunsMayLastUntil();
        for (Worker worker : state.workers.values()) {
            if (!worker.hasReported) {
                worker.leaseExpiresAt = Math.min(worker.leaseExpiresAt, runsMayLastUntil);
            }
        }
    }

    /**
     * Returns a snapshot of the learned models, with which the next owner starts.
     *
     * @return the snapshot
     */
    public ModelSnapshot modelSnapshot() {
        return new ModelSnapshot(
                state.tailModel.periodIndex(),
                state.tailModel.meanHeadroomByImage(),
                state.tailModel.imagePairs(),
                state.durationPredictor.estimateErrors());
    }

    /**
     * Restores the learned models from the snapshot of an earlier owner.
     *
     * @param snapshot the stored snapshot
     * @param now the current time
     */
    public void onModelSnapshot(ModelSnapshot snapshot, long now) {
        state.tailModel.restore(snapshot, now);
        state.durationPredictor.restore(snapshot.estimateErrors());
    }

    /**
     * Updates the times that follow from the last confirmed renewal of the ownership.
     *
     * @param mayOrderUntil monotonic time until which this owner may send orders; the leases that
     *     it grants end soon after
     * @param soleOwnerUntil monotonic time before which no later owner can exist; a lease of a
     *     worker that expires later may have been renewed by a later owner, and a job that is read
     *     later may have been started by one
     */
    public void onOwnershipExtended(long mayOrderUntil, long soleOwnerUntil) {
        state.mayOrderUntil = mayOrderUntil;
        state.planDue |= soleOwnerUntil > state.soleOwnerUntil;
        state.soleOwnerUntil = soleOwnerUntil;
    }

    /**
     * Replaces the configuration.
     *
     * @param config the new configuration
     */
    public void onConfig(ClusterConfig config) {
        state.config = config;
        state.planDue = true;
    }

    /**
     * Replaces the set of evacuated data centres, in which no task may start.
     *
     * @param dataCentres names of the data centres
     */
    public void onEvacuated(Set<String> dataCentres) {
        state.evacuatedDataCentres = Set.copyOf(dataCentres);
        state.planDue = true;
    }

    /**
     * Adds or updates a worker from its entry in the worker list.
     *
     * @param info the entry
     * @param now the current time
     */
    public void onWorkerListed(WorkerInfo info, long now) {
        workers.onListed(info, now);
    }

    /**
     * Adds a worker that an earlier owner recorded. It receives lease calls, so that it reports its
     * runs, but no task until it is in the worker list too, since it may have left.
     *
     * @param info the recorded entry
     * @param now the current time
     */
    public void onRecordedWorker(WorkerInfo info, long now) {
        workers.onRecorded(info, now);
    }

    /**
     * Marks a worker that is no longer in the worker list.
     *
     * @param id the id of the worker
     * @param now the current time
     */
    public void onWorkerUnlisted(String id, long now) {
        workers.onUnlisted(id, now);
    }

    /**
     * Adds a job that was read from the store.
     *
     * @param storedJob the stored job
     * @param inherited true if an earlier owner may have started tasks of the job
     * @param now the current time
     * @param wallNow the current wall-clock time
     */
    public void onJob(StoredJob storedJob, boolean inherited, long now, long wallNow) {
        jobs.add(storedJob, inherited, now, wallNow);
    }

    /**
     * Applies a stored cancellation of a job.
     *
     * @param job the id of the job
     * @param now the current time
     */
    public void onCancel(String job, long now) {
        jobs.cancel(job, now);
    }

    /**
     * Records that a job ended under an earlier owner.
     *
     * @param job the id of the job
     */
    public void onJobEnded(String job) {
        jobs.onJobEnded(job);
    }

    /**
     * Removes what is still held about a job whose rows were deleted from the store.
     *
     * @param job the id of the job
     */
    public void onJobDeleted(String job) {
        jobs.onJobDeleted(job);
    }

    /**
     * Returns the next lease call to a worker. The lease of a worker that does not answer is not
     * extended.
     *
     * @param id the id of the worker
     * @param waitMillis how long the worker may wait for the end of a run before it answers
     * @param now the current time
     * @return the call, or empty if the worker has been removed
     */
    public Optional<LeaseCall> leaseCall(String id, long waitMillis, long now) {
        Worker worker = state.workers.get(id);
        if (worker == null) {
            return Optional.empty();
        }
        worker.calledAddress = worker.info.address();
        boolean urgent = worker.hasUnstoredEnds() || worker.hasUnansweredStart();
        long maxWaitMillis =
                worker.trialTask.isPresent()
                        ? Math.min(waitMillis, TRIAL_REPORT_WAIT_MILLIS)
                        : waitMillis;
        boolean renewsLease = worker.hasClockReading() && worker.reachable;
        OptionalLong lease =
                renewsLease
                        ? OptionalLong.of(
                                worker.grantLease(
                                        now, state.term.leaseTimes(), state.mayOrderUntil))
                        : OptionalLong.empty();
        worker.calledAt = now;
        worker.calledWaitMillis = urgent || !renewsLease ? 0 : maxWaitMillis;
        return Optional.of(
                new LeaseCall(
                        worker.info,
                        state.term.epoch(),
                        lease,
                        worker.lastStoredEnd,
                        worker.lastReportSentAt,
                        worker.calledWaitMillis));
    }

    /**
     * Returns whether a worker has listed ends of runs that are not stored yet. It lists them until
     * they are acknowledged, so a lease call returns at once.
     *
     * @param id the id of the worker
     * @return true if the next call should wait for the store
     */
    public boolean hasUnstoredEnds(String id) {
        Worker worker = state.workers.get(id);
        return worker != null && worker.hasUnstoredEnds();
    }

    /**
     * Returns whether a worker runs filling tasks beside serving ones. The response times of
     * serving tasks then have to be checked often.
     *
     * @param id the id of the worker
     * @return true if reports should be requested often
     */
    public boolean hasFillingBesideServing(String id) {
        Worker worker = state.workers.get(id);
        return worker != null && worker.fillDemandMilliCores > 0 && worker.servingRunCount() > 0;
    }

    /**
     * Applies the report that a worker returned to a lease call.
     *
     * @param id the id of the worker
     * @param report the report
     * @param sentAt when the lease call was sent
     * @param now the current time
     */
    public void onReport(String id, WorkerReport report, long sentAt, long now) {
        Worker worker = state.workers.get(id);
        if (worker != null) {
            reportProcessor.apply(worker, report, sentAt, now);
            throttle.onReport(worker, now);
        }
    }

    /**
     * Handles a lease call that returned no report.
     *
     * @param id the id of the worker
     * @param reply why there is no report
     * @param now the current time
     */
    public void onLeaseCallFailed(String id, OrderReply reply, long now) {
        Worker worker = state.workers.get(id);
        if (worker != null) {
            workers.onLeaseCallFailed(worker, reply, now);
        }
    }

    /**
     * Handles the reply of a worker to an order.
     *
     * @param order the order
     * @param reply the reply
     * @param now the current time
     */
    public void onOrderReply(Order order, OrderReply reply, long now) {
        state.orderWindow.onReply(order, reply, now);
        runs.onReply(order, reply, now);
        throttle.onOrderReply(order, reply, now);
    }

    /**
     * Plans starts, stops and paces of runs.
     *
     * @param now the current time
     * @return the orders, to be sent in this sequence
     */
    public List<Order> decide(long now) {
        if (state.deposed) {
            return List.of();
        }
        state.orderWindow.removeOld(now);
        jobs.openDueOccurrences(now);
        handleCrashes(now);
        runs.endRunsOfExpiredLeases(now);
        workers.removeUnlisted(now);
        state.reconciliation.update(now);
        state.limits.refresh(now);
        if (now - lastCheckAt >= CHECK_INTERVAL_MILLIS) {
            lastCheckAt = now;
            selector.refresh();
            monitor.check(now);
            jobs.removeStoredEndedJobs();
        }
        // Stops come first, since they reduce the number of starts that the order window allows.
        runs.sendStops(now);
        recordedStarts.send(now);
        if (state.planDue || now - lastPlanAt >= MAX_PLAN_INTERVAL_MILLIS) {
            lastPlanAt = now;
            state.planDue = planner.startWaitingTasks(now);
        }
        runs.sendStops(now);
        return state.takeOrders(now);
    }

    private void handleCrashes(long now) {
        state.crashes.recordLosses(now);
        state.crashes.expireLosses(now);
        trials.update(now);
        state.crashes.takeCrashingTasks().forEach(task -> jobs.failForCrashes(task, now));
    }

    /**
     * Returns the changed records of jobs, which must be stored.
     *
     * @param limit the largest number of jobs in the batch
     * @param deferred true for jobs whose changes must wait for a later batch
     * @param now the current time
     * @param wallNow the current wall-clock time
     * @return the batch, possibly empty
     */
    public RecordBatch takeChanges(int limit, Predicate<String> deferred, long now, long wallNow) {
        return jobs.takeChanges(limit, deferred, now, wallNow);
    }

    /**
     * Confirms that a batch is stored.
     *
     * @param batch the batch
     */
    public void onStored(RecordBatch batch) {
        jobs.onStored(batch);
    }

    /**
     * Handles a batch that could not be stored. Its changes become part of a later batch.
     *
     * @param batch the batch
     */
    public void onNotStored(RecordBatch batch) {
        jobs.onNotStored(batch);
    }

    /** Returns the internal state, so that tests can check its totals. */
    OwnerState state() {
        return state;
    }
}
