package org.peridotcourse.placement;

import java.util.Optional;
import org.peridotcourse.Resources;

/**
 * Order of customers by weighted dominant share, within their quotas.
 *
 * <p>The shares count the placed batch tasks of this data centre. Confined to one thread.
 */
final class FairShareOrder {
    private final OwnerState state;

    FairShareOrder(OwnerState book) {
        this.state = book;
    }

    /** Returns the dominant share of a customer divided by its weight. */
    double weightedShare(Customer customer) {
        return customer.allocated.dominantShare(state.localCapacity) / weight(customer);
    }

    /** Computes all shares, ahead of a pass; configuration and capacity may have changed. */
    void refresh() {
        state.customers.values().forEach(this::refresh);
    }

    /** Computes the share of a customer after a placement. */
    void refresh(Customer customer) {
        customer.weightedShare = weightedShare(customer);
    }

    private int weight(Customer customer) {
        PlacementConfig.CustomerRule rule = state.config.customers().get(customer.id);
        return rule == null ? 1 : Math.max(1, rule.weight());
    }

    /**
     * Returns the next customer with queued batch work that was not given up in this pass: first
     * those with urgent work, then the one with the least weighted share. The plain policy serves
     * the customer whose job came first.
     */
    Customer next(long pass, boolean urgentOnly) {
        Customer best = null;
        double least = Double.MAX_VALUE;
        for (Customer customer : state.customers.values()) {
            if (customer.queuedTasks == 0 || customer.blockedPass == pass) {
                continue;
            }
            if (urgentOnly ? !customer.hasUrgent() : customer.hasNoBatchJobs()) {
                continue;
            }
            double share =
                    state.policy.isGuarded()
                            ? customer.weightedShare
                            : customer.firstSeenMillis(urgentOnly);
            if (share < least) {
                least = share;
                best = customer;
            }
        }
        return best;
    }

    /**
     * Tells whether a task keeps its customer within the quota. Each data centre enforces the part
     * of the quota that corresponds to its part of the capacity, so that the sum never exceeds it.
     */
    boolean isWithinQuota(Customer customer, Resources size) {
        PlacementConfig.CustomerRule rule = state.config.customers().get(customer.id);
        Optional<Resources> quota = rule == null ? Optional.empty() : rule.quota();
        return quota.isEmpty() || customer.allocated.plus(size).isWithin(localQuota(quota.get()));
    }

    private Resources localQuota(Resources quota) {
        return new Resources(
                proportion(
                        quota.milliCores(),
                        state.localCapacity.milliCores(),
                        state.totalCapacity.milliCores()),
                proportion(
                        quota.memoryMib(),
                        state.localCapacity.memoryMib(),
                        state.totalCapacity.memoryMib()),
                proportion(
                        quota.accelerators(),
                        state.localCapacity.accelerators(),
                        state.totalCapacity.accelerators()));
    }

    private static long proportion(long quota, long here, long all) {
        return all == 0 || here == all ? quota : (long) ((double) quota * here / all);
    }
}
