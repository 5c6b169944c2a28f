package org.peridotcourse.dispatch;

import java.util.List;
import org.peridotcourse.Failure;
import org.peridotcourse.Resources;
import org.peridotcourse.Result;
import org.peridotcourse.base.Codes;

/**
 * A job as submitted by a caller: a payload for its tasks, steps with dependencies, and a schedule.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param payload the text that is passed to the worker with each start of a task
 * @param steps the steps; the predecessors of a step are earlier steps in this list
 * @param schedule when the steps run
 */
public record JobSpec(String payload, List<StepSpec> steps, Schedule schedule) {
    /**
     * Largest number of tasks of one step; the progress of larger steps does not fit into a row.
     */
    public static final int MAX_TASKS_PER_STEP = 10_000;

    /**
     * Largest number of tasks in all occurrences of one job; bounds the memory that a job takes.
     */
    public static final long MAX_TASKS_PER_JOB = 100_000;

    /**
     * Largest amount of each resource that a task requests: far above any worker, and small enough
     * that sums over all tasks do not overflow.
     */
    public static final long MAX_RESOURCE_AMOUNT = 1_000_000_000_000L;

    /** The reasons to reject a job. Constants are immutable and thread-safe. */
    public enum Fault implements Failure {
        /** The request body does not describe a job. */
        MALFORMED("the body does not describe a job"),
        /** The job has no steps. */
        NO_STEPS("a job has at least one step"),
        /** The number of tasks of a step is out of range. */
        TASK_COUNT("a step has 1 to " + MAX_TASKS_PER_STEP + " tasks"),
        /** The job has more tasks in all its occurrences than an owner can keep in memory. */
        JOB_SIZE("a job has at most " + MAX_TASKS_PER_JOB + " tasks"),
        /** A predecessor is not an earlier step. */
        ORDER("a step comes after earlier steps only"),
        /** An amount of a resource is out of range. */
        RESOURCES("each resource is from 0 to " + MAX_RESOURCE_AMOUNT);

        private final String message;

        Fault(String message) {
            this.message = message;
        }

        @Override
        public String code() {
            return "job-" + Codes.of(this);
        }

        @Override
        public String message() {
            return message;
        }
    }

    /**
     * Makes a defensive copy of the steps.
     *
     * @param payload the text that is passed to the worker with each start of a task
     * @param steps the steps
     * @param schedule when the steps run
     */
    public JobSpec {
        steps = List.copyOf(steps);
    }

    /**
     * Validates the job.
     *
     * @return this job, or the first {@link Fault} found
     */
    public Result<JobSpec> validate() {
        if (steps.isEmpty()) {
            return Result.failed(Fault.NO_STEPS);
        }
        long tasks = 0;
        for (int i = 0; i < steps.size(); i++) {
            StepSpec step = steps.get(i);
            tasks += step.taskCount();
            if (step.taskCount() < 1 || step.taskCount() > MAX_TASKS_PER_STEP) {
                return Result.failed(Fault.TASK_COUNT);
            }
            int number = i;
            if (step.predecessors().stream()
                    .anyMatch(predecessor -> predecessor < 0 || predecessor >= number)) {
                return Result.failed(Fault.ORDER);
            }
            Resources resources = step.resources();
            if (isOutOfRange(resources.milliCores())
                    || isOutOfRange(resources.memoryMib())
                    || isOutOfRange(resources.accelerators())) {
                return Result.failed(Fault.RESOURCES);
            }
        }
        // The checks above bound the number of tasks, so the product does not overflow.
        if (tasks * schedule.occurrences() > MAX_TASKS_PER_JOB) {
            return Result.failed(Fault.JOB_SIZE);
        }
        return Result.ok(this);
    }

    private static boolean isOutOfRange(long amount) {
        return amount < 0 || amount > MAX_RESOURCE_AMOUNT;
    }

    /**
     * Returns whether some step runs until the job is cancelled.
     *
     * @return true for a job that does not complete by itself
     */
    public boolean isLasting() {
        return steps.stream().anyMatch(StepSpec::isLasting);
    }

    /**
     * Returns the estimated duration of the critical path: the longest chain of dependent steps.
     *
     * @param from the number of the step at which the chain starts, or 0 for the longest chain of
     *     all steps
     * @return the duration in milliseconds
     */
    public long criticalPathMillis(int from) {
        return criticalPathsMillis()[Math.max(0, from)];
    }

    /** Returns, by the number of the step, the results of {@link #criticalPathMillis}. */
    long[] criticalPathsMillis() {
        long[] longest = new long[steps.size()];
        long chain = 0;
        for (int i = steps.size() - 1; i >= 0; i--) {
            longest[i] += steps.get(i).estimateMillis();
            for (int predecessor : steps.get(i).predecessors()) {
                longest[predecessor] = Math.max(longest[predecessor], longest[i]);
            }
            chain = Math.max(chain, longest[i]);
        }
        longest[0] = chain;
        return longest;
    }

    /**
     * Returns a summary of the steps for the log: the number of tasks, the processor and the
     * estimate of each step, followed by its options.
     *
     * @return the summary, which contains no blanks
     */
    public String toSummary() {
        StringBuilder text = new StringBuilder();
        for (StepSpec step : steps) {
            text.append(text.length() == 0 ? "" : ",").append(step.taskCount()).append('x');
            text.append(step.resources().milliCores()).append('m');
            text.append(step.estimateMillis()).append("ms");
            text.append(step.isFilling() ? "+fills" : "").append(step.isGang() ? "+gang" : "");
            text.append(step.isLasting() ? "+lasting" : "");
            text.append(step.isSpeculative() ? "+copies" : "");
            text.append(step.isCheckpointing() ? "+saves" : "");
            text.append(step.maxPerWorker() > 0 ? "+per" + step.maxPerWorker() : "");
            text.append(
                    step.latencyTargetMillis() > 0 ? "+target" + step.latencyTargetMillis() : "");
            text.append(step.maxUnavailable() > 0 ? "+missing" + step.maxUnavailable() : "");
            step.image().ifPresent(image -> text.append('+').append(image));
        }
        return text.toString();
    }
}
