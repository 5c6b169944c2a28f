package org.peridotcourse.placement;

import java.util.Optional;
import org.peridotcourse.Resources;

/**
 * Orders customers by weighted dominant share, within their quotas.
 *
 * <p>The shares count the placed batch tasks of this data centre. Confined to one thread.
 */
final class FairShareOrder {
    private final OwnerState state;

    FairShareOrder(OwnerState state) {
        this.state = state;
    }

    /** Returns the dominant share of a customer divided by its weight. */
    double weightedShare(Customer customer) {
        return customer.allocated.dominantShare(state.localCapacity) / weight(customer);
    }

    /** Computes all shares before a pass, because configuration and capacity may have changed. */
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
     * Returns the customer with the least weighted share among those that have queued batch jobs,
     * or queued urgent ones if {@code urgentOnly}, and are not blocked in this pass. The policy
     * {@link PlacementPolicy#FIRST_FIT} takes the customer whose job was read first. Returns null
     * if there is no such customer.
     */
    Customer next(long pass, boolean urgentOnly) {
        Customer best = null;
        double leastSortKey = Double.MAX_VALUE;
        for (Customer customer : state.customers.values()) {
            if (customer.queuedTasks == 0 || customer.blockedPass == pass) {
                continue;
            }
            if (urgentOnly ? !customer.hasUrgent() : customer.hasNoBatchJobs()) {
                continue;
            }
            double sortKey =
                    state.policy.isGuarded()
                            ? customer.weightedShare
                            : customer.firstSeenMillis(urgentOnly);
            if (sortKey < leastSortKey) {
                leastSortKey = sortKey;
                best = customer;
            }
        }
        return best;
    }

    /**
     * Returns whether a customer stays within its quota with one more task. Each data centre
     * enforces a part of the quota in proportion to its capacity, so that the sum never exceeds the
     * quota.
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

    private static long proportion(long quota, long local, long total) {
        return total == 0 || local == total ? quota : (long) ((double) quota * local / total);
    }
}
