package org.peridotcourse.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.peridotcourse.Resources;

/**
 * What each customer holds on all workers: every run from its order until it has certainly ended.
 * Filling tasks count with all the processor that they ask for. Confined to one thread.
 */
final class CustomerUsage {
    private final Map<String, Resources> held = new HashMap<>();

    void add(Run run) {
        Resources need = run.spec().need();
        run.task.job().customer.ifPresent(name -> held.merge(name, need, Resources::plus));
    }

    void remove(Run run) {
        Resources need = run.spec().need();
        run.task.job().customer.ifPresent(name -> release(name, need));
    }

    private void release(String customer, Resources need) {
        Resources rest = of(customer).minus(need);
        if (rest.equals(Resources.ZERO)) {
            held.remove(customer);
        } else {
            held.put(customer, rest);
        }
    }

    Resources of(String customer) {
        return held.getOrDefault(customer, Resources.ZERO);
    }

    /** Returns a copy of what the customers hold; those that hold nothing are left out. */
    Map<String, Resources> all() {
        return Map.copyOf(held);
    }
}
