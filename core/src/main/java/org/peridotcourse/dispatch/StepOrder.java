package org.peridotcourse.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * Orders the steps that wait: higher priority first; then those of jobs within the rate of their
 * customers; then those of customers below their shares; then those that can still meet their
 * objective, then those whose late completion still counts, then the rest; within these, the urgent
 * and the small ones first. Jobs without a customer are within their rate and below their share.
 * Confined to one thread.
 */
final class StepOrder {
    /** Completion after this many objectives is worth nothing to the caller. */
    private static final int WORTHLESS_AFTER = 3;

    /** Hope of a step whose completion is worth nothing any more. */
    private static final int HOPELESS = 2;

    /**
     * Milliseconds of urgency that a core millisecond of remaining work costs. Small jobs are worth
     * more for each core second, but large ones must not starve.
     */
    private static final double WORK_WEIGHT = 0.05;

    private static final Comparator<Candidate> ORDER =
            Comparator.comparingInt(Candidate::priority)
                    .thenComparing(Candidate::beyondRate)
                    .thenComparing(Candidate::atShare)
                    .thenComparingInt(Candidate::hope)
                    .thenComparingLong(Candidate::urgency)
                    .thenComparingInt(Candidate::sequence);

    private final OwnerState state;
    private final CustomerShares shares;

    StepOrder(OwnerState state, CustomerShares shares) {
        this.state = state;
        this.shares = shares;
    }

    /**
     * A step with waiting tasks.
     *
     * @param step the step
     * @param sequence orders steps that are equal otherwise
     * @param priority priority of its queue, 0 first
     * @param beyondRate true if its customer sent the job beyond its rate
     * @param atShare true if its customer holds its share or more
     * @param hope 0 if the objective can be met, 1 if a late completion counts, 2 otherwise
     * @param urgency orders steps of the same hope
     */
    record Candidate(
            Step step,
            int sequence,
            int priority,
            boolean beyondRate,
            boolean atShare,
            int hope,
            long urgency) {
        /** Returns the candidate once its customer holds its share. */
        Candidate withShareReached() {
            return new Candidate(step, sequence, priority, beyondRate, true, hope, urgency);
        }
    }

    /** Returns the steps that have waiting tasks, in the order in which they get workers. */
    PriorityQueue<Candidate> waiting(long now) {
        state.rates.judge();
        List<Candidate> candidates = new ArrayList<>();
        for (Job job : state.jobs.values()) {
            if (job.isActive()) {
                collect(job, now, candidates);
            }
        }
        shares.refresh(customers(candidates), now);
        PriorityQueue<Candidate> ordered = new PriorityQueue<>(ORDER);
        for (Candidate candidate : candidates) {
            boolean atShare = shares.isAtShare(candidate.step().job());
            ordered.add(atShare ? candidate.withShareReached() : candidate);
        }
        return ordered;
    }

    private static Set<String> customers(List<Candidate> candidates) {
        Set<String> customers = new HashSet<>();
        candidates.forEach(candidate -> candidate.step().job().customer.ifPresent(customers::add));
        return customers;
    }

    private void collect(Job job, long now, List<Candidate> candidates) {
        for (Occurrence occurrence : job.occurrences) {
            if (occurrence.dueAt > now) {
                continue;
            }
            for (Step step : occurrence.steps) {
                if (step.isOpen() && step.waiting(now) > 0 && state.census.hasFree(step)) {
                    step.openedAt = step.openedAt == 0 ? now : step.openedAt;
                    candidates.add(rank(job, step, candidates.size(), now));
                }
            }
        }
    }

    private Candidate rank(Job job, Step step, int sequence, long now) {
        QueueRules rules = state.rules(job);
        long objective = rules.objectiveMillis(job.spec);
        long age = now - Math.max(step.occurrence.dueAt, job.acceptedAt);
        long rest = job.spec.chainMillis(step.number);
        int hope = hope(step, age + rest, objective);
        long left = millisLeft(hope, age + rest, objective);
        long weight = Math.round(WORK_WEIGHT * remainingCoreMillis(step.occurrence));
        return new Candidate(
                step, sequence, rules.priority(), job.beyondRate, false, hope, left + weight);
    }

    private static int hope(Step step, long end, long objective) {
        if (step.spec.isLasting() || end <= objective) {
            return 0;
        }
        return end <= WORTHLESS_AFTER * objective ? 1 : HOPELESS;
    }

    /** Time by which a step may be later without a worse class of completion. */
    private static long millisLeft(int hope, long end, long objective) {
        if (hope == HOPELESS) {
            return 0;
        }
        long latest = hope == 0 ? objective : WORTHLESS_AFTER * objective;
        return latest - end;
    }

    /** Estimated work of the tasks that are not done, in core milliseconds. */
    private static double remainingCoreMillis(Occurrence occurrence) {
        double sum = 0;
        for (Step step : occurrence.steps) {
            double cores = step.spec.need().milliCores() / 1e3;
            sum += cores * step.remaining * step.spec.estimateMillis();
        }
        return sum;
    }
}
