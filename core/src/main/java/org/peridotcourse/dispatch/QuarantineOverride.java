package org.peridotcourse.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds how long a task waits because of quarantines. Jobs that fail on every worker cause healthy
 * workers to be quarantined too, and a required label or a limit per worker may leave a task no
 * other workers. A task that has waited long although there is free capacity may therefore run on
 * workers that are quarantined or on probation. Confined to one thread.
 */
final class QuarantineOverride {
    /** Wait after which a task may run on a quarantined worker. */
    static final long MIN_WAIT_MILLIS = 1_000;

    /** Wait after which a task may run on a quarantined worker on which it has failed before. */
    static final long RETRY_SAME_WORKER_MILLIS = 2_000;

    /**
     * Fraction of a service's capacity in use from which waits are attributed to a lack of capacity
     * and not to quarantines.
     */
    private static final double BUSY_SHARE = 0.5;

    private final OwnerState state;
    private final Map<String, Load> loads = new HashMap<>();

    /** Used processor and capacity of the reachable workers of a service, in milli-cores. */
    private static final class Load {
        long used;
        long capacity;

        boolean isBusy() {
            return used >= BUSY_SHARE * capacity;
        }
    }

    QuarantineOverride(OwnerState state) {
        this.state = state;
    }

    /** Recomputes the load of each service. */
    void refresh() {
        loads.clear();
        for (Worker worker : state.workers.values()) {
            if (worker.reachable) {
                Load load = loads.computeIfAbsent(worker.info.service(), key -> new Load());
                load.used += worker.reserved().milliCores();
                load.capacity += worker.info.capacity().milliCores();
            }
        }
    }

    /** Returns whether a task has waited long enough to use quarantined workers. */
    boolean applies(Task task, String service, long waitedMillis) {
        if (waitedMillis < MIN_WAIT_MILLIS) {
            return false;
        }
        StepSpec spec = task.step.spec;
        if (spec.isLasting()) {
            return true;
        }
        Load load = loads.get(service);
        boolean busy = load == null || load.isBusy();
        return !busy && (spec.isGang() || !task.job().hasRuns());
    }

    /** Returns whether a task to which the override applies may use a given quarantined worker. */
    boolean admits(Worker worker, Task task, long waitedMillis) {
        return !task.failedOnWorkers.contains(worker.id)
                || waitedMillis >= RETRY_SAME_WORKER_MILLIS;
    }
}
