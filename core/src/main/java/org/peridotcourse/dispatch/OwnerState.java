package org.peridotcourse.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The state that the parts of {@link DispatchOwner} share. Confined to one thread. */
final class OwnerState {
    OwnerTerm term;
    final Map<String, Job> jobs = new LinkedHashMap<>();
    final Map<String, Worker> workers = new LinkedHashMap<>();
    final TailModel tails = new TailModel();
    final Durations durations = new Durations();
    final CustomerUsage usage = new CustomerUsage();
    final CustomerLimits limits = new CustomerLimits(this);
    final CustomerRates rates = new CustomerRates(this);
    private final Decision.Sink sink;
    private List<Order> orders = new ArrayList<>();

    ClusterConfig config = ClusterConfig.NONE;
    Set<String> evacuated = Set.of();

    final Census census = new Census(this);

    boolean deposed;

    /** Until when this owner may give orders; half of the range, so that sums do not overflow. */
    long orderUntil = Long.MAX_VALUE / 2;

    /** True if something has changed that may let a waiting task start. */
    boolean planDue = true;

    OwnerState(OwnerTerm term, Decision.Sink sink) {
        this.term = term;
        this.sink = sink;
    }

    /** The rules of a job's queue: the present ones, or those of its acceptance. */
    QueueRules rules(Job job) {
        return config.queue(job.acceptedUnder.name()).orElse(job.acceptedUnder);
    }

    /** The present rules of a job's customer. */
    CustomerRules customerRules(Job job) {
        return job.customer.flatMap(config::customer).orElse(CustomerRules.UNLIMITED);
    }

    Optional<Task> task(TaskRef ref) {
        Job job = jobs.get(ref.job());
        return job == null ? Optional.empty() : job.task(ref);
    }

    void order(Order order) {
        orders.add(order);
    }

    List<Order> takeOrders() {
        List<Order> taken = orders;
        orders = new ArrayList<>();
        return taken;
    }

    void log(Decision.Kind kind, String subject, Worker worker, String detail) {
        sink.decided(new Decision(kind, subject, worker == null ? "" : worker.id, detail));
    }

    void log(Decision.Kind kind, Run run, String detail) {
        log(kind, run.task.ref + "#" + run.attempt, run.worker, detail);
    }
}
