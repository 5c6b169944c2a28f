package org.peridotcourse.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.peridotcourse.Resources;

/**
 * Checks that work does not wait while there is free capacity for it. Without recent faults, a job
 * without runs waits at most {@link #MAX_WAIT_MILLIS} for a worker, and so does each lasting task.
 * The check uses only the runs on the workers and the contents of the store.
 */
final class WaitCheck {
    static final long MAX_WAIT_MILLIS = 3_000;

    /** Time since the last fault from which a wait counts. */
    static final long FAULT_FREE_BEFORE_COUNTING_MILLIS = 4_000;

    /** Time within which a lasting task is restarted after its last run. */
    static final long LASTING_RESTART_MILLIS = 6_000;

    private static final long CHECK_INTERVAL_MILLIS = DispatchSimulation.TICK_MILLIS;

    /** Capacity that must be free, as a multiple of what the waiting work needs. */
    private static final int SPARE_CAPACITY_FACTOR = 2;

    private static final double BUSY_SHARE = 0.5;

    private final DispatchSimulation simulation;
    private final Map<TaskRef, Long> waitingSince = new HashMap<>();
    private final Map<TaskRef, Long> lastActiveAt = new HashMap<>();
    private final Set<TaskRef> activeTasks = new HashSet<>();
    private final Set<String> activeJobs = new HashSet<>();
    private boolean busy;
    private long checkedAt;
    private long lastFaultAt = Long.MIN_VALUE / 2;

    WaitCheck(DispatchSimulation simulation) {
        this.simulation = simulation;
    }

    /** Records that a fault is present now. */
    void onFault() {
        lastFaultAt = simulation.now;
    }

    /** Returns a description of a task that has waited too long, or empty. */
    Optional<String> check() {
        if (simulation.now - checkedAt < CHECK_INTERVAL_MILLIS) {
            return Optional.empty();
        }
        checkedAt = simulation.now;
        if (simulation.storeDown
                || !simulation.unreachableWorkers.isEmpty()
                || simulation.lateOrderShare > 0) {
            onFault();
        }
        activeTasks.clear();
        activeJobs.clear();
        for (FakeWorker worker : simulation.workers.values()) {
            worker.active.keySet().forEach(key -> activeTasks.add(key.task()));
        }
        for (TaskRef task : activeTasks) {
            lastActiveAt.put(task, simulation.now);
            activeJobs.add(task.job());
        }
        busy = isBusy();
        for (StoredJob job : simulation.jobs.values()) {
            Optional<String> violation = check(job);
            if (violation.isPresent()) {
                return violation;
            }
        }
        return Optional.empty();
    }

    private Optional<String> check(StoredJob job) {
        boolean ended =
                simulation.cancelled.contains(job.id()) || simulation.state(job.id()).isFinal();
        if (ended) {
            return Optional.empty();
        }
        boolean runs = activeJobs.contains(job.id());
        List<StepSpec> steps = job.spec().steps();
        for (int step = 0; step < steps.size(); step++) {
            StepSpec spec = steps.get(step);
            boolean open = isOpen(job, step);
            for (int i = 0; i < spec.taskCount(); i++) {
                TaskRef task = new TaskRef(job.id(), 0, step, i);
                boolean waits = open && !activeTasks.contains(task) && !isDone(task, spec);
                boolean counts =
                        waits && (spec.isLasting() ? isRestartOverdue(task) : !runs && !busy);
                if (!counts || !hasFreeCapacity(spec, job.id(), step)) {
                    waitingSince.remove(task);
                    continue;
                }
                long since = waitingSince.computeIfAbsent(task, key -> simulation.now);
                long countedFrom = Math.max(since, lastFaultAt + FAULT_FREE_BEFORE_COUNTING_MILLIS);
                if (simulation.now - countedFrom > MAX_WAIT_MILLIS) {
                    return Optional.of(
                            task
                                    + " has waited since "
                                    + since
                                    + " at "
                                    + simulation.now
                                    + " "
                                    + spec);
                }
            }
        }
        return Optional.empty();
    }

    private boolean isRestartOverdue(TaskRef task) {
        return simulation.now - lastActiveAt.getOrDefault(task, Long.MIN_VALUE / 2)
                >= LASTING_RESTART_MILLIS;
    }

    private boolean isOpen(StoredJob job, int step) {
        for (int before : job.spec().steps().get(step).predecessors()) {
            StepSpec spec = job.spec().steps().get(before);
            for (int i = 0; i < spec.taskCount(); i++) {
                if (!isDone(new TaskRef(job.id(), 0, before, i), spec)) {
                    return false;
                }
            }
        }
        return true;
    }

    private boolean isDone(TaskRef task, StepSpec spec) {
        if (!spec.isGang()) {
            return simulation.reportedDone.contains(task);
        }
        for (int i = 0; i < spec.taskCount(); i++) {
            if (simulation.reportedDone.contains(new TaskRef(task.job(), 0, task.step(), i))) {
                return true;
            }
        }
        return false;
    }

    private boolean isBusy() {
        long used = 0;
        long capacity = 0;
        for (FakeWorker worker : simulation.workers.values()) {
            if (worker.up) {
                used += worker.reserved().milliCores();
                capacity += worker.capacity.milliCores();
            }
        }
        return used >= BUSY_SHARE * capacity;
    }

    private boolean hasFreeCapacity(StepSpec spec, String job, int step) {
        int neededSlots = SPARE_CAPACITY_FACTOR * (spec.isGang() ? spec.taskCount() : 1);
        int slots = 0;
        for (FakeWorker worker : simulation.workers.values()) {
            slots += freeSlots(worker, spec, job, step, neededSlots);
            if (slots >= neededSlots) {
                return true;
            }
        }
        return false;
    }

    private static int freeSlots(
            FakeWorker worker, StepSpec spec, String job, int step, int maxSlots) {
        boolean hasLabel = spec.requiredLabel().map(worker.labels::contains).orElse(true);
        if (!worker.up || worker.draining || !hasLabel) {
            return 0;
        }
        int existing = spec.maxPerWorker() == 0 ? 0 : runsOfStep(worker, job, step);
        Resources used = worker.reserved();
        int slots = 0;
        while (slots < maxSlots
                && (spec.maxPerWorker() == 0 || existing + slots < spec.maxPerWorker())
                && used.plus(spec.reservedResources()).isWithin(worker.capacity)) {
            used = used.plus(spec.reservedResources());
            slots++;
        }
        return slots;
    }

    private static int runsOfStep(FakeWorker worker, String job, int step) {
        int count = 0;
        for (Run.Key key : worker.active.keySet()) {
            if (key.task().job().equals(job) && key.task().step() == step) {
                count++;
            }
        }
        return count;
    }
}
