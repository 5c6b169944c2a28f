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

    boolean isDone() {
        for (Step step : steps) {
            if (step.remainingTasks > 0) {
                return false;
            }
        }
        return true;
    }
}
