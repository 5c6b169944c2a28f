package org.peridotcourse.dispatch;

import java.util.HashSet;
import java.util.Set;
import org.peridotcourse.Resources;

/**
 * Tells which customers hold at least their weighted fair share: the part of the usable workers
 * that their weight is of the weights of all customers with work. What a customer holds is measured
 * by its dominant share. Confined to one thread.
 */
final class CustomerShares {
    private final OwnerState state;
    private final WorkerChoice choice;
    private Resources capacity = Resources.ZERO;
    private long weights;

    CustomerShares(OwnerState state, WorkerChoice choice) {
        this.state = state;
        this.choice = choice;
    }

    /** Measures the workers and weighs the customers, ahead of a round. */
    void refresh(Set<String> waiting, long now) {
        Set<String> customers = new HashSet<>(waiting);
        customers.addAll(state.usage.all().keySet());
        capacity = Resources.ZERO;
        weights = 0;
        if (customers.isEmpty()) {
            return;
        }
        for (Worker worker : state.workers.values()) {
            if (choice.isUsable(worker, now)) {
                capacity = capacity.plus(worker.info.capacity());
            }
        }
        customers.forEach(customer -> weights += weight(customer));
    }

    /** Tells whether a job belongs to a customer that holds its share or more. */
    boolean isAtShare(Job job) {
        if (job.customer.isEmpty()) {
            return false;
        }
        String customer = job.customer.get();
        double share = state.usage.of(customer).dominantShare(capacity);
        return share * weights >= weight(customer);
    }

    private int weight(String customer) {
        return state.config.customer(customer).orElse(CustomerRules.UNLIMITED).weight();
    }
}
