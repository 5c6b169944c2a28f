package org.peridotcourse.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Orders the steps that wait: higher priority first; then those that can still meet their
 * objective, the most urgent first; then those that can still be worth something; then the rest,
 * the smallest first. Confined to one thread.
 */
final class StepOrder {
    /** Completion after this many objectives is worth nothing to the caller. */
    private static final int WORTHLESS_AFTER = 3;

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
            if (job.isActive() && (state.censusComplete || !job.inherited)) {
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
                if (step.isOpen() && step.waiting(now) > 0) {
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
        if (step.spec.isLasting() || age + rest <= objective) {
            return new Candidate(step, rules.priority(), 0, objective - age - rest);
        }
        if (age + rest <= WORTHLESS_AFTER * objective) {
            return new Candidate(step, rules.priority(), 1, Math.round(job.spec.coreMillis()));
        }
        return new Candidate(step, rules.priority(), 2, Math.round(job.spec.coreMillis()));
    }
}
