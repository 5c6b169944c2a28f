package org.peridotcourse.dispatch;

import java.util.ArrayList;
import java.util.List;

/**
 * The stored progress of a job.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param state the state
 * @param endedAtMillis wall-clock time at which the job ended, 0 before
 * @param tasks tasks that are done, have failed or have a checkpoint
 */
public record JobRecord(JobState state, long endedAtMillis, List<TaskRecord> tasks) {
    /** A job that was just accepted. */
    public static final JobRecord NEW = new JobRecord(JobState.QUEUED, 0, List.of());

    /**
     * Copies the list.
     *
     * @param state the state
     * @param endedAtMillis wall-clock time of the end
     * @param tasks the tasks
     */
    public JobRecord {
        tasks = List.copyOf(tasks);
    }

    /**
     * Returns this record without checkpoints, so that tasks begin anew.
     *
     * @return what is done and what has failed
     */
    public JobRecord withoutCheckpoints() {
        List<TaskRecord> shorter = new ArrayList<>();
        for (TaskRecord task : tasks) {
            if (task.done() || !task.failedAttempts().isEmpty()) {
                shorter.add(
                        new TaskRecord(
                                task.occurrence(),
                                task.step(),
                                task.index(),
                                task.done(),
                                task.failedAttempts(),
                                ""));
            }
        }
        return new JobRecord(state, endedAtMillis, shorter);
    }

    /**
     * The stored progress of one task.
     *
     * @param occurrence the occurrence
     * @param step the step
     * @param index the task
     * @param done true if it is done
     * @param failedAttempts the starts that failed, each counted once
     * @param checkpoint where to resume, empty for the beginning
     */
    public record TaskRecord(
            int occurrence,
            int step,
            int index,
            boolean done,
            List<Integer> failedAttempts,
            String checkpoint) {
        /**
         * Copies the list.
         *
         * @param occurrence the occurrence
         * @param step the step
         * @param index the task
         * @param done true if it is done
         * @param failedAttempts the starts that failed
         * @param checkpoint where to resume
         */
        public TaskRecord {
            failedAttempts = List.copyOf(failedAttempts);
        }
    }
}
