package org.peridotcourse.dispatch;

/**
 * Values of the gauges of an owner.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param jobs jobs that have not ended
 * @param waitingTasks tasks of open steps that wait for a worker
 * @param runs runs that may be active
 * @param usableWorkers workers to which tasks may be assigned
 * @param workers all workers that receive lease calls
 * @param heldBackCustomers customers with tasks that wait because of the customer's limits
 * @param usedShare share of the usable workers' processors that is reserved
 */
public record OwnerFigures(
        int jobs,
        int waitingTasks,
        int runs,
        int usableWorkers,
        int workers,
        int heldBackCustomers,
        double usedShare) {
    /** Values of a host that is not the owner. */
    public static final OwnerFigures NONE = new OwnerFigures(0, 0, 0, 0, 0, 0, 0);

    static OwnerFigures of(OwnerState state, WorkerChoice choice, long now) {
        int runs = 0;
        int usable = 0;
        long used = 0;
        long capacity = 0;
        for (Worker worker : state.workers.values()) {
            runs += worker.runs.size();
            if (choice.isUsable(worker, now)) {
                usable++;
                used += worker.used().milliCores();
                capacity += worker.info.capacity().milliCores();
            }
        }
        int waiting = 0;
        int active = 0;
        for (Job job : state.jobs.values()) {
            active += job.isActive() ? 1 : 0;
            for (Occurrence occurrence : job.occurrences) {
                for (Step step : occurrence.steps) {
                    waiting += job.isActive() && step.isOpen() ? step.waiting(now) : 0;
                }
            }
        }
        double share = capacity == 0 ? 0 : (double) used / capacity;
        int heldBack = state.limits.heldBack();
        return new OwnerFigures(
                active, waiting, runs, usable, state.workers.size(), heldBack, share);
    }
}
