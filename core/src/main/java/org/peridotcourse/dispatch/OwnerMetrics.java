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
 * @param orderWindow largest number of orders that may be without a reply, except stops and paces
 * @param outstandingOrders orders without a reply
 * @param usedShare share of the usable workers' processors that is reserved
 */
public record OwnerMetrics(
        int activeJobs,
        int waitingTasks,
        int activeRuns,
        int usableWorkers,
        int knownWorkers,
        int customersAtLimit,
        int orderWindow,
        int outstandingOrders,
        double usedShare) {
    /** Values of a host that is not the owner. */
    public static final OwnerMetrics NONE = new OwnerMetrics(0, 0, 0, 0, 0, 0, 0, 0, 0);

    static OwnerMetrics of(OwnerState state, WorkerSelector selector, long now) {
        int activeRuns = 0;
        int usableWorkers = 0;
        long reservedMilliCores = 0;
        long capacityMilliCores = 0;
        for (Worker worker : state.workers.values()) {
            activeRuns += worker.runs.size();
            if (selector.isUsable(worker, now)) {
                usableWorkers++;
                reservedMilliCores += worker.reserved().milliCores();
                capacityMilliCores += worker.info.capacity().milliCores();
            }
        }
        int waitingTasks = 0;
        int activeJobs = 0;
        for (Job job : state.jobs.values()) {
            activeJobs += job.isActive() ? 1 : 0;
            for (Occurrence occurrence : job.occurrences) {
                for (Step step : occurrence.steps) {
                    waitingTasks += job.isActive() && step.isOpen() ? step.startableTasks(now) : 0;
                }
            }
        }
        double usedShare =
                capacityMilliCores == 0 ? 0 : (double) reservedMilliCores / capacityMilliCores;
        int customersAtLimit = state.limits.customersAtLimit();
        return new OwnerMetrics(
                activeJobs,
                waitingTasks,
                activeRuns,
                usableWorkers,
                state.workers.size(),
                customersAtLimit,
                state.orderWindow.size(),
                state.orderWindow.outstanding(),
                usedShare);
    }
}
