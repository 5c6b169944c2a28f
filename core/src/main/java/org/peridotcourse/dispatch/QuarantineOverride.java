package org.peridotcourse.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds how long a task waits because of quarantines. Jobs that fail on every worker put sound
 * workers into quarantine too, and a label or a limit per worker may leave a task no others. A task
 * that has waited while there is room therefore uses workers that are in quarantine or on
 * probation. Confined to one thread.
 */
final class QuarantineOverride {
    /** Wait after which a task is tried on a quarantined worker. */
    static final long MIN_WAIT_MILLIS = 1_000;

    /** Wait after which a task is tried again on a quarantined worker where it failed. */
    static final long RETRY_THERE_MILLIS = 2_000;

    /** From this share of the service's capacity on, tasks wait for room. */
    private static final double BUSY_SHARE = 0.5;

    private final OwnerState state;
    private final Map<String, Load> loads = new HashMap<>();

    /** Processor of a service. */
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

    /** Measures anew how much of each service is in use. */
    void refresh() {
        loads.clear();
        for (Worker worker : state.workers.values()) {
            if (worker.reachable) {
                Load load = loads.computeIfAbsent(worker.info.service(), key -> new Load());
                load.used += worker.used().milliCores();
                load.capacity += worker.info.capacity().milliCores();
            }
        }
    }

    /** Tells whether a task may use workers in quarantine. */
    boolean applies(Task task, String service, long waited) {
        if (waited < MIN_WAIT_MILLIS) {
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

    /** Tells whether a task to which this applies may use a worker in quarantine. */
    boolean admits(Worker worker, Task task, long waited) {
        return !task.failedOn.contains(worker.id) || waited >= RETRY_THERE_MILLIS;
    }
}
