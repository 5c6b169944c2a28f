package org.peridotcourse.dispatch;

import java.util.List;
import java.util.Optional;
import org.peridotcourse.Resources;

/**
 * The specification of one step of a job: a number of identical tasks and how they run.
 *
 * <p>Create instances with {@link #builder}. Instances are immutable and thread-safe.
 */
public final class StepSpec {
    private final Builder builder;

    private StepSpec(Builder builder) {
        this.builder = builder;
    }

    /**
     * Returns a builder for a step.
     *
     * @param taskCount the number of tasks, at least 1
     * @param resources the resources of one task
     * @return the builder
     */
    public static Builder builder(int taskCount, Resources resources) {
        return new Builder(taskCount, resources);
    }

    /**
     * Returns the number of tasks.
     *
     * @return at least 1
     */
    public int taskCount() {
        return builder.taskCount;
    }

    /**
     * Returns the resources of one task.
     *
     * @return the resources
     */
    public Resources resources() {
        return builder.resources;
    }

    /**
     * Returns the resources that count against the capacity of a worker. A filling task reserves no
     * processor.
     *
     * @return the resources that a worker reserves for one task
     */
    public Resources reservedResources() {
        return builder.filling
                ? Resources.of(0, resources().memoryMib(), resources().accelerators())
                : resources();
    }

    /**
     * Returns the caller's rough estimate of the duration of a task.
     *
     * @return milliseconds, 0 if there is none
     */
    public long estimateMillis() {
        return builder.estimateMillis;
    }

    /**
     * Returns the predecessors of the step: the numbers of the steps that must be done before it
     * starts.
     *
     * @return numbers of earlier steps
     */
    public List<Integer> predecessors() {
        return builder.predecessors;
    }

    /**
     * Returns whether the tasks save checkpoints.
     *
     * @return true if a restarted task resumes from its last checkpoint
     */
    public boolean isCheckpointing() {
        return builder.checkpointing;
    }

    /**
     * Returns whether the tasks form a gang: they make progress only if all of them run at the same
     * time.
     *
     * @return true for a gang
     */
    public boolean isGang() {
        return builder.gang;
    }

    /**
     * Returns whether the tasks slow down when they run on more than one rack.
     *
     * @return true if they should run on the same rack
     */
    public boolean isRackLocal() {
        return builder.rackLocal;
    }

    /**
     * Returns whether speculative copies of a task may run in parallel.
     *
     * @return true if a task is done when its first copy finishes
     */
    public boolean isSpeculative() {
        return builder.speculative;
    }

    /**
     * Returns whether the tasks run until the job is cancelled.
     *
     * @return true for tasks that are restarted whenever they end, also after a success
     */
    public boolean isLasting() {
        return builder.lasting;
    }

    /**
     * Returns whether the tasks are filling (best-effort) tasks, which use only the processor time
     * that other tasks leave idle.
     *
     * @return true if the tasks reserve no processor
     */
    public boolean isFilling() {
        return builder.filling;
    }

    /**
     * Returns the label that a worker must have.
     *
     * @return the label, empty for none
     */
    public Optional<String> requiredLabel() {
        return builder.requiredLabel;
    }

    /**
     * Returns the rack where the data of the step is.
     *
     * @return the label of the rack, empty for none
     */
    public Optional<String> preferredRack() {
        return builder.preferredRack;
    }

    /**
     * Returns the image that the tasks run.
     *
     * @return the name of the image, empty if the caller gave none
     */
    public Optional<String> image() {
        return builder.image;
    }

    /**
     * Returns the maximum number of tasks of the step on one worker.
     *
     * @return the limit, 0 for none
     */
    public int maxPerWorker() {
        return builder.maxPerWorker;
    }

    /**
     * Returns the latency target of a serving task: the tail latency that it must not exceed.
     *
     * @return milliseconds, 0 for none
     */
    public long latencyTargetMillis() {
        return builder.latencyTargetMillis;
    }

    /**
     * Returns the maximum number of tasks that orders of this system may make unavailable at the
     * same time.
     *
     * @return the limit, 0 for none
     */
    public int maxUnavailable() {
        return builder.maxUnavailable;
    }

    /** A builder of steps. Not thread-safe. */
    public static final class Builder {
        private final int taskCount;
        private final Resources resources;
        private long estimateMillis;
        private List<Integer> predecessors = List.of();
        private boolean checkpointing;
        private boolean gang;
        private boolean rackLocal;
        private boolean speculative;
        private boolean lasting;
        private boolean filling;
        private Optional<String> requiredLabel = Optional.empty();
        private Optional<String> preferredRack = Optional.empty();
        private Optional<String> image = Optional.empty();
        private int maxPerWorker;
        private long latencyTargetMillis;
        private int maxUnavailable;

        private Builder(int taskCount, Resources resources) {
            this.taskCount = taskCount;
            this.resources = resources;
        }

        /**
         * Sets the estimated duration of a task.
         *
         * @param millis milliseconds, 0 for none
         * @return this builder
         */
        public Builder estimateMillis(long millis) {
            estimateMillis = millis;
            return this;
        }

        /**
         * Sets the predecessors of the step.
         *
         * @param steps numbers of earlier steps
         * @return this builder
         */
        public Builder predecessors(List<Integer> steps) {
            predecessors = List.copyOf(steps);
            return this;
        }

        /**
         * Sets whether the tasks save checkpoints.
         *
         * @param value true if they do
         * @return this builder
         */
        public Builder checkpointing(boolean value) {
            checkpointing = value;
            return this;
        }

        /**
         * Sets whether the tasks form a gang.
         *
         * @param value true for a gang
         * @return this builder
         */
        public Builder gang(boolean value) {
            gang = value;
            return this;
        }

        /**
         * Sets whether the tasks should run on the same rack.
         *
         * @param value true if they should
         * @return this builder
         */
        public Builder rackLocal(boolean value) {
            rackLocal = value;
            return this;
        }

        /**
         * Sets whether speculative copies of a task may run in parallel.
         *
         * @param value true if they may
         * @return this builder
         */
        public Builder speculative(boolean value) {
            speculative = value;
            return this;
        }

        /**
         * Sets whether the tasks run until the job is cancelled.
         *
         * @param value true if they do
         * @return this builder
         */
        public Builder lasting(boolean value) {
            lasting = value;
            return this;
        }

        /**
         * Sets whether the tasks are filling tasks, which reserve no processor.
         *
         * @param value true for filling tasks
         * @return this builder
         */
        public Builder filling(boolean value) {
            filling = value;
            return this;
        }

        /**
         * Sets the label that a worker must have.
         *
         * @param label the label, empty for none
         * @return this builder
         */
        public Builder requiredLabel(Optional<String> label) {
            requiredLabel = label;
            return this;
        }

        /**
         * Sets the rack where the data of the step is.
         *
         * @param rack the label of the rack, empty for none
         * @return this builder
         */
        public Builder preferredRack(Optional<String> rack) {
            preferredRack = rack;
            return this;
        }

        /**
         * Sets the image that the tasks run.
         *
         * @param name the name of the image, empty if there is none
         * @return this builder
         */
        public Builder image(Optional<String> name) {
            image = name;
            return this;
        }

        /**
         * Sets the maximum number of tasks of the step on one worker.
         *
         * @param limit the limit, 0 for none
         * @return this builder
         */
        public Builder maxPerWorker(int limit) {
            maxPerWorker = limit;
            return this;
        }

        /**
         * Sets the latency target of a serving task.
         *
         * @param millis milliseconds, 0 for none
         * @return this builder
         */
        public Builder latencyTargetMillis(long millis) {
            latencyTargetMillis = millis;
            return this;
        }

        /**
         * Sets the maximum number of tasks that orders may make unavailable at the same time.
         *
         * @param limit the limit, 0 for none
         * @return this builder
         */
        public Builder maxUnavailable(int limit) {
            maxUnavailable = limit;
            return this;
        }

        /**
         * Builds the step. The builder must not be used afterwards.
         *
         * @return the step
         */
        public StepSpec build() {
            return new StepSpec(this);
        }
    }
}
