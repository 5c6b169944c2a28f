package org.peridotcourse.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Orders the steps that wait: higher priority first; then those that can still meet their
 * objective, then those whose late completion still counts, then the rest; within these, the urgent
 * and the small ones first. Confined to one thread.
 */
final class StepOrder {
    /** Completion after this many objectives is worth nothing to the caller. */
    private static final int WORTHLESS_AFTER = 3;

    /**
     * Milliseconds of urgency that a core millisecond of remaining work costs. Small jobs are worth
     * more for each core second, but large ones must not starve.
     */
    private static final double WORK_WEIGHT = 0.05;

    private static final Comparator<Candidate> ORDER =
            Comparator.comparingInt(Candidate::priority)
                    .thenComparingInt(Candidate::hope)
                    .thenComparingLong(Candidate::urgency);

    private final OwnerState state;

    StepOrder(OwnerState state) {
        this.state = state;
    }

    /**
     * A step with waiting tasks.
     *
     * @param step the step
     * @param priority priority of its queue, 0 first
     * @param hope 0 if the objective can be met, 1 if a late completion counts, 2 otherwise
     * @param urgency orders steps of the same hope
     */
    record Candidate(Step step, int priority, int hope, long urgency) {}

    /** Returns the steps that have waiting tasks, in the order in which they get workers. */
    List<Step> waiting(long now) {
        List<Candidate> candidates = new ArrayList<>();
        for (Job job : state.jobs.values()) {
            if (job.isActive()) {
                collect(job, now, candidates);
            }
        }
        candidates.sort(ORDER);
        List<Step> steps = new ArrayList<>(candidates.size());
        candidates.forEach(candidate -> steps.add(candidate.step()));
        return steps;
    }

    private void collect(Job job, long now, List<Candidate> candidates) {
        for (Occurrence occurrence : job.occurrences) {
            if (occurrence.dueAt > now) {
                continue;
            }
            for (Step step : occurrence.steps) {
                if (step.isOpen() && step.waiting(now) > 0 && state.census.hasFree(step)) {
                    step.openedAt = step.openedAt == 0 ? now : step.openedAt;
                    candidates.add(rank(job, step, now));
                }
            }
        }
    }

    private Candidate rank(Job job, Step step, long now) {
        QueueRules rules = state.rules(job);
        long objective = rules.objectiveMillis(job.spec);
        long age = now - Math.max(step.occurrence.dueAt, job.acceptedAt);
        long rest = job.spec.chainMillis(step.number);
        long weight = Math.round(WORK_WEIGHT * remainingCoreMillis(step.occurrence));
        if (step.spec.isLasting() || age + rest <= objective) {
            return new Candidate(step, rules.priority(), 0, objective - age - rest + weight);
        }
        if (age + rest <= WORTHLESS_AFTER * objective) {
            long left = WORTHLESS_AFTER * objective - age - rest;
            return new Candidate(step, rules.priority(), 1, left + weight);
        }
        return new Candidate(step, rules.priority(), 2, weight);
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
