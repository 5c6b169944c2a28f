package org.peridotcourse.dispatch;

/**
 * Values of the gauges of an owner.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param activeJobs jobs that have not ended
 * @param waitingTasks tasks of open steps that wait for a worker
 * @param activeRuns runs that may be active
 * @param usableWorkers workers to which tasks may be assigned
 * @param knownWorkers all workers that receive lease calls
 * @param customersAtLimit customers with tasks that wait because of the customer's limits
 * @param usedShare share of the usable workers' processors that is reserved
 */
public record OwnerMetrics(
        int activeJobs,
        int waitingTasks,
        int activeRuns,
        int usableWorkers,
        int knownWorkers,
        int customersAtLimit,
        double usedShare) {
    /** Values of a host that is not the owner. */
    public static final OwnerMetrics NONE = new OwnerMetrics(0, 0, 0, 0, 0, 0, 0);

    static OwnerMetrics of(OwnerState state, WorkerSelector choice, long now) {
        int runs = 0;
        int usable = 0;
        long used = 0;
        long capacity = 0;
        for (Worker worker : state.workers.values()) {
            runs += worker.runs.size();
            if (choice.isUsable(worker, now)) {
                usable++;
                used += worker.reserved().milliCores();
                capacity += worker.info.capacity().milliCores();
            }
        }
        int waiting = 0;
        int active = 0;
        for (Job job : state.jobs.values()) {
            active += job.isActive() ? 1 : 0;
            for (Occurrence occurrence : job.occurrences) {
                for (Step step : occurrence.steps) {
                    waiting += job.isActive() && step.isOpen() ? step.startableTasks(now) : 0;
                }
            }
        }
        double share = capacity == 0 ? 0 : (double) used / capacity;
        int heldBack = state.limits.customersAtLimit();
        return new OwnerMetrics(
                active, waiting, runs, usable, state.workers.size(), heldBack, share);
    }
}
