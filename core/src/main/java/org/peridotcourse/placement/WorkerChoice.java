package org.peridotcourse.placement;

import org.peridotcourse.Resources;

/**
 * Chooses a worker for a task.
 *
 * <p>Confined to one thread.
 */
final class WorkerChoice {
    /**
     * Number of fitting workers among which the best is taken. The search starts at a moving place,
     * so every worker gets its turn; a full scan of 1,800 workers would take most of a decision.
     */
    private static final int CANDIDATES = 64;

    /** Interference above this is not risked but for rare probes. */
    private static final double MOST_INTERFERENCE = WorkerGuard.HIGH - 1;

    private final Book book;
    private final Guards guards;
    private Worker[] order = new Worker[0];
    private int start;

    WorkerChoice(Book book, Guards guards) {
        this.book = book;
        this.guards = guards;
    }

    /** Takes over a changed list of workers. */
    void refresh() {
        order = book.workers.values().toArray(new Worker[0]);
        start = 0;
    }

    /** Returns a worker for a task of a job, null if none fits now. */
    Worker choose(long nowMillis, Job job) {
        return book.policy.takesFirst() ? first(nowMillis, job) : best(nowMillis, job);
    }

    private Worker first(long nowMillis, Job job) {
        for (Worker worker : order) {
            if (worker.isUsable(nowMillis) && worker.ledger.fitsDeclared(job.size())) {
                return worker;
            }
        }
        return null;
    }

    private Worker best(long nowMillis, Job job) {
        Resources size = job.size();
        Estimate estimate = book.estimator(job.workload()).estimate(size);
        Worker best = null;
        double bestScore = Double.MAX_VALUE;
        int candidates = 0;
        for (int i = 0; i < order.length && candidates < CANDIDATES; i++) {
            Worker worker = order[(start + i) % order.length];
            if (!worker.ledger.fits(size, estimate)
                    || !worker.isUsable(nowMillis)
                    || (!job.replicas
                            && (!guards.allowsGrowth(worker, job.workload())
                                    || !guards.mayMeet(nowMillis, worker, job)))) {
                continue;
            }
            double interference =
                    job.replicas ? 0 : guards.expected(nowMillis, worker, job.workload());
            if (job.failedOn.contains(worker.id)
                    || (interference > MOST_INTERFERENCE
                            && !guards.mayProbe(nowMillis, worker, job.workload()))) {
                continue;
            }
            candidates++;
            double score = Math.round(interference * 100) * 10 + worker.ledger.slack();
            if (score < bestScore) {
                bestScore = score;
                best = worker;
            }
        }
        if (candidates == CANDIDATES) {
            start = (start + CANDIDATES) % order.length;
        }
        if (best != null && !job.replicas) {
            guards.chosen(nowMillis, best, job.workload(), bestScore >= MOST_INTERFERENCE * 1_000);
        }
        return best;
    }
}
