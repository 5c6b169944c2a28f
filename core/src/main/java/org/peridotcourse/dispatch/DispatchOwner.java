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
 * Decides for one ownership where and when tasks run.
 *
 * <p>Feed it with what happens and with the present time, then call {@link #decide} and carry out
 * the orders. Store what {@link #takeChanges} returns and report it by {@link #onStored}; only then
 * does a lease call acknowledge the ends behind it. Monotonic times are of one process. Confined to
 * one thread.
 */
public final class DispatchOwner {
    /** How often rates are compared and slow runs are looked for. */
    private static final long WATCH_MILLIS = 200;

    /** Time after which waiting tasks are looked at although nothing has changed. */
    private static final long PLAN_MILLIS = 100;

    private final OwnerState state;
    private final JobBook jobs;
    private final RunBook runs;
    private final ReportReader reports;
    private final WorkerChoice choice;
    private final Planner planner;
    private final RunWatch watch;
    private final FillPacing pacing;
    private long watchedAt;
    private long plannedAt;

    /**
     * Creates the state of a new ownership.
     *
     * @param term the ownership
     * @param sink takes decisions for the log
     */
    public DispatchOwner(OwnerTerm term, Decision.Sink sink) {
        this.state = new OwnerState(term, sink);
        this.jobs = new JobBook(state);
        this.runs = new RunBook(state, jobs);
        this.reports = new ReportReader(state, jobs, runs);
        this.choice = new WorkerChoice(state);
        this.planner = new Planner(state, choice, runs);
        this.watch = new RunWatch(state, runs, choice, planner);
        this.pacing = new FillPacing(state, runs, choice);
    }

    /**
     * Returns the ownership.
     *
     * @return the term
     */
    public OwnerTerm term() {
        return state.term;
    }

    /**
     * Tells whether a worker has refused an order because it has seen a later owner.
     *
     * @return true once this owner must stop
     */
    public boolean isDeposed() {
        return state.deposed;
    }

    /**
     * Returns the workers to which lease calls go.
     *
     * @return their ids
     */
    public List<String> workers() {
        return new ArrayList<>(state.workers.keySet());
    }

    /**
     * Tells whether lease calls go to a worker.
     *
     * @param id its id
     * @return false once it is forgotten
     */
    public boolean knows(String id) {
        return state.workers.containsKey(id);
    }

    /**
     * Returns the workers that may run tasks of this owner.
     *
     * @return what they said of themselves
     */
    public List<WorkerInfo> fleet() {
        List<WorkerInfo> fleet = new ArrayList<>();
        state.workers.values().forEach(worker -> fleet.add(worker.info));
        return fleet;
    }

    /**
     * Returns the number of accepted jobs of each queue of which no task has started, leaving timed
     * jobs aside.
     *
     * @return numbers by name of the queue
     */
    public Map<String, Integer> pending() {
        Map<String, Integer> pending = new HashMap<>();
        for (Job job : state.jobs.values()) {
            if (job.isActive() && !job.begun && !job.spec.schedule().isTimed()) {
                pending.merge(job.acceptedUnder.name(), 1, Integer::sum);
            }
        }
        return pending;
    }

    /**
     * Returns figures for gauges.
     *
     * @param now the present time
     * @return the figures
     */
    public OwnerFigures figures(long now) {
        return OwnerFigures.of(state, choice, now);
    }

    /**
     * Takes the news that no earlier owner gives orders any more, so that workers which do not
     * answer are waited for less.
     *
     * @param now the present time
     */
    public void onEarlierOwnersEnded(long now) {
        state.term = state.term.withEarlierOwnersEnded(now);
        long until = state.term.earlierRunsUntil();
        for (Worker worker : state.workers.values()) {
            if (!worker.counted) {
                worker.leaseOverAt = Math.min(worker.leaseOverAt, until);
            }
        }
    }

    /**
     * Returns what a successor need not learn anew.
     *
     * @return what this owner has learned
     */
    public Learned learned() {
        return new Learned(
                state.tails.period(),
                state.tails.imageMeans(),
                state.tails.pairs(),
                state.durations.errors());
    }

    /**
     * Takes what an earlier owner has learned.
     *
     * @param learned what it stored
     * @param now the present time
     */
    public void onLearned(Learned learned, long now) {
        state.tails.restore(learned, now);
        state.durations.restore(learned.estimates());
    }

    /**
     * Takes the time until which this owner may give orders. Leases end soon after it.
     *
     * @param until monotonic time
     */
    public void onHold(long until) {
        state.orderUntil = until;
    }

    /**
     * Takes a configuration.
     *
     * @param config the configuration
     */
    public void onConfig(ClusterConfig config) {
        state.config = config;
        state.planDue = true;
    }

    /**
     * Takes the data centres in which nothing may start.
     *
     * @param dataCentres their names
     */
    public void onEvacuated(Set<String> dataCentres) {
        state.evacuated = Set.copyOf(dataCentres);
        state.planDue = true;
    }

    /**
     * Takes what a worker says of itself in the list of workers.
     *
     * @param info the worker
     * @param now the present time
     */
    public void onWorker(WorkerInfo info, long now) {
        Worker worker = state.workers.get(info.id());
        if (worker == null) {
            boolean newer = state.census.isComplete();
            long over = newer ? now : state.term.earlierRunsUntil();
            state.workers.put(info.id(), new Worker(info, over, state.usage));
            return;
        }
        worker.info = info;
        worker.listed = true;
    }

    /**
     * Takes a worker that an earlier owner recorded. It is asked for its runs, and gets no task
     * unless it is listed too, since it may have left.
     *
     * @param info the worker
     * @param now the present time
     */
    public void onRecordedWorker(WorkerInfo info, long now) {
        onWorker(info, now);
        onWorkerGone(info.id(), now - WorkerChoice.UNLISTED_MILLIS);
    }

    /**
     * Takes the news that a worker left the list of workers.
     *
     * @param id its id
     * @param now the present time
     */
    public void onWorkerGone(String id, long now) {
        Worker worker = state.workers.get(id);
        if (worker != null && worker.listed) {
            worker.listed = false;
            worker.unlistedAt = now;
        }
    }

    /**
     * Takes a job.
     *
     * @param entry the job as stored
     * @param inherited true if an earlier owner may have started tasks
     * @param now the present time
     * @param wallNow the present wall-clock time
     */
    public void onJob(JobEntry entry, boolean inherited, long now, long wallNow) {
        jobs.add(entry, inherited, now, wallNow);
    }

    /**
     * Takes a stored cancellation.
     *
     * @param job the id of the job
     * @param now the present time
     */
    public void onCancel(String job, long now) {
        jobs.cancel(job, now);
    }

    /**
     * Takes the news that a job ended under an earlier owner.
     *
     * @param job the id of the job
     */
    public void onEnded(String job) {
        jobs.onEnded(job);
    }

    /**
     * Forgets a job whose rows were removed from the store.
     *
     * @param job the id of the job
     */
    public void forget(String job) {
        jobs.forget(job);
    }

    /**
     * Returns the next lease call to a worker. A worker that does not answer gets no longer lease.
     *
     * @param id the id of the worker
     * @param waitMillis how long the worker may wait for an end
     * @param now the present time
     * @return the call, or empty if the worker is not known
     */
    public Optional<LeaseCall> leaseCall(String id, long waitMillis, long now) {
        Worker worker = state.workers.get(id);
        if (worker == null) {
            return Optional.empty();
        }
        boolean urgent = worker.hasUnstoredEnds() || worker.hasUnansweredStart();
        boolean renews = worker.hasClock() && worker.reachable;
        OptionalLong lease =
                renews
                        ? OptionalLong.of(worker.grant(now, state.term.times(), state.orderUntil))
                        : OptionalLong.empty();
        return Optional.of(
                new LeaseCall(
                        worker.info,
                        state.term.epoch(),
                        lease,
                        worker.storedEnd,
                        urgent || !renews ? 0 : waitMillis));
    }

    /**
     * Tells whether ends of a worker wait to be stored, so that a lease call returns at once.
     *
     * @param id the id of the worker
     * @return true if the next call should wait for the store
     */
    public boolean hasUnstoredEnds(String id) {
        Worker worker = state.workers.get(id);
        return worker != null && worker.hasUnstoredEnds();
    }

    /**
     * Tells whether a worker runs filling tasks beside serving ones, so that reports matter.
     *
     * @param id the id of the worker
     * @return true if reports should come often
     */
    public boolean isMixed(String id) {
        Worker worker = state.workers.get(id);
        return worker != null && worker.fillMilliCores > 0 && worker.sensitiveRuns() > 0;
    }

    /**
     * Takes the answer to a lease call.
     *
     * @param id the id of the worker
     * @param report the answer
     * @param sentAt when the call was sent
     * @param now the present time
     */
    public void onReport(String id, WorkerReport report, long sentAt, long now) {
        Worker worker = state.workers.get(id);
        if (worker != null) {
            reports.read(worker, report, sentAt, now);
            pacing.onReport(worker, now);
        }
    }

    /**
     * Takes the news that a lease call has no report.
     *
     * @param id the id of the worker
     * @param reply why
     * @param now the present time
     */
    public void onNoReport(String id, OrderReply reply, long now) {
        Worker worker = state.workers.get(id);
        if (worker == null) {
            return;
        }
        if (reply == OrderReply.STALE_EPOCH) {
            runs.depose(worker);
            return;
        }
        if (worker.reachable) {
            worker.reachable = false;
            state.log(
                    Decision.Kind.WORKER_LOST,
                    id,
                    worker,
                    "reply="
                            + reply
                            + " silent="
                            + (now - worker.lastReportAt)
                            + " runs="
                            + worker.runs.size()
                            + " leasesOverIn="
                            + (worker.leaseOverAt - now));
        }
    }

    /**
     * Takes the answer to an order.
     *
     * @param order the order
     * @param reply the answer
     * @param now the present time
     */
    public void onReply(Order order, OrderReply reply, long now) {
        runs.onReply(order, reply, now);
        pacing.onReply(order, reply);
    }

    /**
     * Decides what to do now.
     *
     * @param now the present time
     * @return orders to send, in this order
     */
    public List<Order> decide(long now) {
        if (state.deposed) {
            return List.of();
        }
        jobs.openDue(now);
        runs.expire(now);
        dropWorkers(now);
        state.census.update(now);
        state.limits.refresh(now);
        if (now - watchedAt >= WATCH_MILLIS) {
            watchedAt = now;
            choice.refresh();
            watch.look(now);
            jobs.forgetEnded();
        }
        if (state.planDue || now - plannedAt >= PLAN_MILLIS) {
            plannedAt = now;
            state.planDue = planner.plan(now);
        }
        runs.sendStops(now);
        return state.takeOrders();
    }

    /**
     * Returns what must be stored.
     *
     * @param limit the largest number of jobs
     * @param leftOut tells which jobs wait for a later batch
     * @param now the present time
     * @param wallNow the present wall-clock time
     * @return the batch, possibly empty
     */
    public RecordBatch takeChanges(int limit, Predicate<String> leftOut, long now, long wallNow) {
        return jobs.takeChanges(limit, leftOut, now, wallNow);
    }

    /**
     * Takes note that a batch is stored.
     *
     * @param batch the batch
     */
    public void onStored(RecordBatch batch) {
        jobs.onStored(batch);
    }

    /**
     * Takes note that a batch is not stored and must be taken again.
     *
     * @param batch the batch
     */
    public void onNotStored(RecordBatch batch) {
        jobs.onNotStored(batch);
    }

    /** Returns the state, for checks of its sums. */
    OwnerState state() {
        return state;
    }

    private void dropWorkers(long now) {
        List<Worker> leaving = new ArrayList<>();
        for (Worker worker : state.workers.values()) {
            boolean away =
                    !worker.listed && now - worker.unlistedAt >= WorkerChoice.UNLISTED_MILLIS;
            if (away && worker.runs.isEmpty() && now >= worker.leaseOverAt) {
                leaving.add(worker);
            }
        }
        leaving.forEach(worker -> state.workers.remove(worker.id));
    }
}
