package org.peridotcourse.placement;

import org.peridotcourse.Resources;

/**
 * Chooses a worker for a task.
 *
 * <p>Confined to one thread.
 */
final class WorkerSelector {
    /**
     * Number of fitting workers among which the best is chosen. The search starts where the last
     * one ended, so that all workers are considered in turn; a full scan of 1,800 workers would
     * take most of the time of a decision.
     */
    private static final int MAX_CANDIDATES = 64;

    /** Maximum expected interference of a placement, except for rare probes. */
    private static final double MAX_INTERFERENCE = WorkerGuard.HIGH_RATIO - 1;

    private final OwnerState state;
    private final InterferenceGuards guards;
    private Worker[] workers = new Worker[0];
    private int searchStart;

    WorkerSelector(OwnerState state, InterferenceGuards guards) {
        this.state = state;
        this.guards = guards;
    }

    /** Applies a changed list of workers. */
    void refresh() {
        workers = state.workers.values().toArray(new Worker[0]);
        searchStart = 0;
    }

    /** Returns a worker for a task of a job, null if none fits now. */
    Worker choose(long nowMillis, Job job) {
        return state.policy.takesFirstFit()
                ? firstFit(nowMillis, job)
                : leastInterference(nowMillis, job);
    }

    private Worker firstFit(long nowMillis, Job job) {
        for (Worker worker : workers) {
            if (worker.isUsable(nowMillis) && worker.allocation.fitsDeclared(job.size())) {
                return worker;
            }
        }
        return null;
    }

    private Worker leastInterference(long nowMillis, Job job) {
        Resources size = job.size();
        UsageEstimate estimate = state.estimator(job.workload()).estimate(size);
        Worker best = null;
        double bestScore = Double.MAX_VALUE;
        int candidates = 0;
        for (int i = 0; i < workers.length && candidates < MAX_CANDIDATES; i++) {
            Worker worker = workers[(searchStart + i) % workers.length];
            if (!worker.allocation.fits(size, estimate)
                    || !worker.isUsable(nowMillis)
                    || (!job.replicaGroup
                            && (!guards.allowsGrowth(worker, job.workload())
                                    || !guards.mayCoLocate(nowMillis, worker, job)))) {
                continue;
            }
            double interference =
                    job.replicaGroup
                            ? 0
                            : guards.expectedSlowdown(nowMillis, worker, job.workload());
            if (job.failedOn.contains(worker.id)
                    || (interference > MAX_INTERFERENCE
                            && !guards.mayProbe(nowMillis, worker, job.workload()))) {
                continue;
            }
            candidates++;
            double score = Math.round(interference * 100) * 10 + worker.allocation.freeShare();
            if (score < bestScore) {
                bestScore = score;
                best = worker;
            }
        }
        if (candidates == MAX_CANDIDATES) {
            searchStart = (searchStart + MAX_CANDIDATES) % workers.length;
        }
        if (best != null && !job.replicaGroup) {
            guards.recordPlacement(
                    nowMillis, best, job.workload(), bestScore >= MAX_INTERFERENCE * 1_000);
        }
        return best;
    }
}
