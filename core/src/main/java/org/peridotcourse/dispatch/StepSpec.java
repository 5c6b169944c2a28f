package org.peridotcourse.dispatch;

import java.util.List;
import java.util.Optional;
import org.peridotcourse.Resources;

/**
 * What a caller asks for in one step of a job: a number of equal tasks and how they run.
 *
 * <p>Build it with {@link #builder}. Instances are immutable and thread-safe.
 */
public final class StepSpec {
    private final Builder parts;

    private StepSpec(Builder parts) {
        this.parts = parts;
    }

    /**
     * Returns a builder.
     *
     * @param count the number of tasks, at least 1
     * @param need the resources of one task
     * @return the builder
     */
    public static Builder builder(int count, Resources need) {
        return new Builder(count, need);
    }

    /**
     * Returns the number of tasks.
     *
     * @return at least 1
     */
    public int count() {
        return parts.count;
    }

    /**
     * Returns the resources of one task.
     *
     * @return the resources
     */
    public Resources need() {
        return parts.need;
    }

    /**
     * Returns what counts against the capacity of a worker: a task that fills takes no processor.
     *
     * @return the resources that a worker reserves
     */
    public Resources reserved() {
        return parts.fills ? Resources.of(0, need().memoryMib(), need().accelerators()) : need();
    }

    /**
     * Returns the caller's rough estimate of the duration of a task.
     *
     * @return milliseconds
     */
    public long estimateMillis() {
        return parts.estimateMillis;
    }

    /**
     * Returns the numbers of the steps that must be done first.
     *
     * @return numbers of earlier steps
     */
    public List<Integer> after() {
        return parts.after;
    }

    /**
     * Tells whether tasks save checkpoints.
     *
     * @return true if a restart resumes
     */
    public boolean isCheckpointing() {
        return parts.checkpointing;
    }

    /**
     * Tells whether the tasks work only together.
     *
     * @return true for a gang
     */
    public boolean isGang() {
        return parts.gang;
    }

    /**
     * Tells whether the tasks slow down when they run on more than one rack.
     *
     * @return true if they belong on one rack
     */
    public boolean isRackLocal() {
        return parts.rackLocal;
    }

    /**
     * Tells whether copies of a task may run in parallel.
     *
     * @return true if the first copy to finish counts
     */
    public boolean isSpeculative() {
        return parts.speculative;
    }

    /**
     * Tells whether the tasks run until the job is cancelled.
     *
     * @return true for tasks that are restarted however they end
     */
    public boolean isLasting() {
        return parts.lasting;
    }

    /**
     * Tells whether the tasks use only the processor time that others leave.
     *
     * @return true if they take no processor capacity
     */
    public boolean isFilling() {
        return parts.fills;
    }

    /**
     * Returns the label that a worker must have.
     *
     * @return the label, empty for none
     */
    public Optional<String> requiredLabel() {
        return parts.requiredLabel;
    }

    /**
     * Returns the rack where the data of the step is.
     *
     * @return the label of the rack, empty for none
     */
    public Optional<String> preferredRack() {
        return parts.preferredRack;
    }

    /**
     * Returns what the tasks run.
     *
     * @return the image, empty if not named
     */
    public Optional<String> image() {
        return parts.image;
    }

    /**
     * Returns how many tasks of the step may run on one worker.
     *
     * @return the limit, 0 for none
     */
    public int maxPerWorker() {
        return parts.maxPerWorker;
    }

    /**
     * Returns the bound of the response time that a serving task keeps to its own users.
     *
     * @return milliseconds, 0 for none
     */
    public long targetMillis() {
        return parts.targetMillis;
    }

    /**
     * Returns how many tasks may be away at once by orders of this system.
     *
     * @return the limit, 0 for none
     */
    public int maxMissing() {
        return parts.maxMissing;
    }

    /** Collects the parts of a step. Not thread-safe. */
    public static final class Builder {
        private final int count;
        private final Resources need;
        private long estimateMillis;
        private List<Integer> after = List.of();
        private boolean checkpointing;
        private boolean gang;
        private boolean rackLocal;
        private boolean speculative;
        private boolean lasting;
        private boolean fills;
        private Optional<String> requiredLabel = Optional.empty();
        private Optional<String> preferredRack = Optional.empty();
        private Optional<String> image = Optional.empty();
        private int maxPerWorker;
        private long targetMillis;
        private int maxMissing;

        private Builder(int count, Resources need) {
            this.count = count;
            this.need = need;
        }

        /**
         * Sets the estimated duration of a task.
         *
         * @param millis milliseconds
         * @return this builder
         */
        public Builder estimateMillis(long millis) {
            estimateMillis = millis;
            return this;
        }

        /**
         * Sets the steps that must be done first.
         *
         * @param steps numbers of earlier steps
         * @return this builder
         */
        public Builder after(List<Integer> steps) {
            after = List.copyOf(steps);
            return this;
        }

        /**
         * Sets whether tasks save checkpoints.
         *
         * @param value true if they do
         * @return this builder
         */
        public Builder checkpointing(boolean value) {
            checkpointing = value;
            return this;
        }

        /**
         * Sets whether the tasks work only together.
         *
         * @param value true for a gang
         * @return this builder
         */
        public Builder gang(boolean value) {
            gang = value;
            return this;
        }

        /**
         * Sets whether the tasks belong on one rack.
         *
         * @param value true if they do
         * @return this builder
         */
        public Builder rackLocal(boolean value) {
            rackLocal = value;
            return this;
        }

        /**
         * Sets whether copies of a task may run in parallel.
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
         * Sets whether the tasks take no processor capacity.
         *
         * @param value true if they fill
         * @return this builder
         */
        public Builder fills(boolean value) {
            fills = value;
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
         * Sets the rack where the data is.
         *
         * @param rack the label of the rack, empty for none
         * @return this builder
         */
        public Builder preferredRack(Optional<String> rack) {
            preferredRack = rack;
            return this;
        }

        /**
         * Sets what the tasks run.
         *
         * @param name the image, empty if not named
         * @return this builder
         */
        public Builder image(Optional<String> name) {
            image = name;
            return this;
        }

        /**
         * Sets how many tasks may run on one worker.
         *
         * @param limit the limit, 0 for none
         * @return this builder
         */
        public Builder maxPerWorker(int limit) {
            maxPerWorker = limit;
            return this;
        }

        /**
         * Sets the bound of the response time of a serving task.
         *
         * @param millis milliseconds, 0 for none
         * @return this builder
         */
        public Builder targetMillis(long millis) {
            targetMillis = millis;
            return this;
        }

        /**
         * Sets how many tasks may be away at once by orders.
         *
         * @param limit the limit, 0 for none
         * @return this builder
         */
        public Builder maxMissing(int limit) {
            maxMissing = limit;
            return this;
        }

        /**
         * Returns the step. The builder must not be used afterwards.
         *
         * @return the step
         */
        public StepSpec build() {
            return new StepSpec(this);
        }
    }
}
