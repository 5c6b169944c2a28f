package org.peridotcourse.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Mutable state that the components of {@link DispatchOwner} share. Confined to one thread. */
final class OwnerState {
    OwnerTerm term;
    final Map<String, Job> jobs = new LinkedHashMap<>();
    final Map<String, Worker> workers = new LinkedHashMap<>();
    final TailLatencyModel tailModel = new TailLatencyModel();
    final DurationPredictor durationPredictor = new DurationPredictor();
    final CustomerUsage usage = new CustomerUsage();
    final CustomerLimits limits = new CustomerLimits(this);
    final CustomerRates rates = new CustomerRates(this);
    final CrashAttribution crashes = new CrashAttribution(this);
    final OrderWindow orderWindow = new OrderWindow();
    private final Decision.Sink sink;
    private final OrderQueue orders = new OrderQueue(orderWindow);

    ClusterConfig config = ClusterConfig.EMPTY;

    /** Names of the data centres in which no task may start. */
    Set<String> evacuatedDataCentres = Set.of();

    final TakeoverReconciliation reconciliation = new TakeoverReconciliation(this);

    /** True once a worker has received a later epoch, so that this owner must stop. */
    boolean deposed;

    /**
     * Monotonic time until which this owner may send orders. The initial value is half of the
     * range, so that sums do not overflow.
     */
    long mayOrderUntil = Long.MAX_VALUE / 2;

    /**
     * Monotonic time before which no later owner can exist, by the last confirmed renewal. From
     * then on, another host may have taken over and renewed the leases of workers that do not
     * answer this owner.
     */
    long soleOwnerUntil = Long.MAX_VALUE / 2;

    /** True if a change may allow a waiting task to start, so that a planning pass is due. */
    boolean planDue = true;

    OwnerState(OwnerTerm term, Decision.Sink sink) {
        this.term = term;
        this.sink = sink;
    }

    /**
     * Returns the rules of a job's queue: those of the current configuration, or those at its
     * acceptance if the queue is no longer configured.
     */
    QueueRules queueRules(Job job) {
        return config.queue(job.rulesAtAcceptance.name()).orElse(job.rulesAtAcceptance);
    }

    /** Returns the configured rules of a job's customer, without limits if there are none. */
    CustomerRules customerRules(Job job) {
        return job.customer.flatMap(config::customer).orElse(CustomerRules.UNLIMITED);
    }

    /**
     * Returns whether the lease of a worker has certainly expired, so that no run is active there.
     * A lease that expires after {@link #soleOwnerUntil} is not known to: a later owner may have
     * renewed it.
     */
    boolean isLeaseOver(Worker worker, long now) {
        return hasPassed(worker.leaseExpiresAt, now);
    }

    /** Returns whether a time has passed and no later owner can have existed until then. */
    boolean hasPassed(long time, long now) {
        return now >= time && time <= soleOwnerUntil;
    }

    Optional<Task> task(TaskRef ref) {
        Job job = jobs.get(ref.job());
        return job == null ? Optional.empty() : job.task(ref);
    }

    void addOrder(Order order) {
        orders.add(order);
    }

    /** Returns how many stops may be ordered now. */
    int availableStops() {
        return orders.availableForStops();
    }

    /** Returns how many starts may be ordered now. */
    int availableStarts() {
        return orders.availableForStarts();
    }

    /** Returns the orders that are to be sent now, in this sequence. */
    List<Order> takeOrders(long now) {
        return orders.take(now);
    }

    void log(Decision.Kind kind, String subject, Worker worker, String detail) {
        sink.onDecision(new Decision(kind, subject, worker == null ? "" : worker.id, detail));
    }

    void log(Decision.Kind kind, Run run, String detail) {
        log(kind, run.task.ref + "#" + run.attempt, run.worker, detail);
    }
}
