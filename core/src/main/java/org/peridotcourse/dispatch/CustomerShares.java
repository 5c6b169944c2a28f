package org.peridotcourse.dispatch;

import java.util.HashSet;
import java.util.Set;
import org.peridotcourse.Resources;

/**
 * Determines which customers use at least their weighted fair share of the usable workers. The fair
 * share of a customer is its weight divided by the sum of the weights of all customers that have
 * runs or waiting tasks. Its use is measured as its dominant share, as in dominant resource
 * fairness. Confined to one thread.
 */
final class CustomerShares {
    private final OwnerState state;
    private final WorkerSelector selector;
    private Resources capacity = Resources.ZERO;
    private long totalWeight;

    CustomerShares(OwnerState state, WorkerSelector selector) {
        this.state = state;
        this.selector = selector;
    }

    /**
     * Recomputes the total capacity and the sum of the weights before a planning round.
     *
     * @param waiting the customers that have waiting tasks
     */
    void refresh(Set<String> waiting, long now) {
        Set<String> customers = new HashSet<>(waiting);
        customers.addAll(state.usage.snapshot().keySet());
        capacity = Resources.ZERO;
        totalWeight = 0;
        if (customers.isEmpty()) {
            return;
        }
        for (Worker worker : state.workers.values()) {
            if (selector.isUsable(worker, now)) {
                capacity = capacity.plus(worker.info.capacity());
            }
        }
        customers.forEach(customer -> totalWeight += weight(customer));
    }

    /** Returns whether a job belongs to a customer that uses its fair share or more. */
    boolean hasReachedShare(Job job) {
        if (job.customer.isEmpty()) {
            return false;
        }
        String customer = job.customer.get();
        double share = state.usage.of(customer).dominantShare(capacity);
        return share * totalWeight >= weight(customer);
    }

    private int weight(String customer) {
        return state.config.customer(customer).orElse(CustomerRules.UNLIMITED).weight();
    }
}
