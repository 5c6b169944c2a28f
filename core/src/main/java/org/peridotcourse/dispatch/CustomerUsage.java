package org.peridotcourse.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.peridotcourse.Resources;

/**
 * Sums up the resources that each customer uses on all workers. A run counts from the moment it is
 * ordered until it has certainly ended. Filling tasks count with all the processor that they
 * request, although they reserve none. Confined to one thread.
 */
final class CustomerUsage {
    private final Map<String, Resources> usage = new HashMap<>();

    void add(Run run) {
        Resources resources = run.spec().resources();
        run.task.job().customer.ifPresent(name -> usage.merge(name, resources, Resources::plus));
    }

    void remove(Run run) {
        Resources resources = run.spec().resources();
        run.task.job().customer.ifPresent(name -> release(name, resources));
    }

    private void release(String customer, Resources resources) {
        Resources remaining = of(customer).minus(resources);
        if (remaining.equals(Resources.ZERO)) {
            usage.remove(customer);
        } else {
            usage.put(customer, remaining);
        }
    }

    Resources of(String customer) {
        return usage.getOrDefault(customer, Resources.ZERO);
    }

    /** Returns a snapshot of the usage by customer, without customers that use nothing. */
    Map<String, Resources> snapshot() {
        return Map.copyOf(usage);
    }
}
