package org.peridotcourse.dispatch;

import java.util.List;

/** One execution of all steps of a job, as given by its schedule. Confined to one thread. */
final class Occurrence {
    final Job job;
    final int number;

    /** Monotonic time before which no task of this occurrence starts. */
    final long dueAt;

    final Step[] steps;

    Occurrence(Job job, int number, long dueAt, int lastEarlierAttempt, long now) {
        this.job = job;
        this.number = number;
        this.dueAt = dueAt;
        List<StepSpec> specs = job.spec.steps();
        this.steps = new Step[specs.size()];
        for (int i = 0; i < steps.length; i++) {
            steps[i] = new Step(this, i, specs.get(i), lastEarlierAttempt, now);
        }
    }

    /**
     * Marks all steps that come after a step, directly or not, as not opened by an earlier owner:
     * this owner has started a task of the step, or has adopted one that was not done. A copy of a
     * speculative task or another member of a gang may have ended before, so these show nothing.
     *
     * <p>Predecessors have lower numbers, so one pass in the order of the numbers finds all steps.
     */
    void onTaskStartedOrAdopted(Step step) {
        boolean showsNothing = step.spec.isGang() || step.spec.isSpeculative();
        if (!job.inherited || step.precedesUnopenedSteps || showsNothing) {
            return;
        }
        step.precedesUnopenedSteps = true;
        for (int i = step.number + 1; i < steps.length; i++) {
            steps[i].opensUnderThisOwner |= hasUnopenedPredecessor(steps[i]);
        }
    }

    private boolean hasUnopenedPredecessor(Step step) {
        if (step.opensUnderThisOwner) {
            return true;
        }
        for (int predecessor : step.spec.predecessors()) {
            Step earlier = steps[predecessor];
            if (earlier.precedesUnopenedSteps || earlier.opensUnderThisOwner) {
                return true;
            }
        }
        return false;
    }

    boolean isDone() {
        for (Step step : steps) {
            if (step.remainingTasks > 0) {
                return false;
            }
        }
        return true;
    }
}
