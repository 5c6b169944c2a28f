package org.peridotcourse.dispatch;

import java.util.ArrayList;
import java.util.List;

/**
 * The stored progress of a job.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param state the state
 * @param endedAtMillis wall-clock time at which the job ended, 0 if it has not
 * @param tasks progress of the tasks that are done, have failed or have a checkpoint
 */
public record JobRecord(JobState state, long endedAtMillis, List<TaskRecord> tasks) {
    /** The record of a job that has just been accepted. */
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
     * Returns this record without checkpoints, so that tasks that are not done start from the
     * beginning.
     *
     * @return the record of done tasks, failed attempts and lost runs
     */
    public JobRecord withoutCheckpoints() {
        List<TaskRecord> remaining = new ArrayList<>();
        for (TaskRecord task : tasks) {
            boolean hasOtherProgress =
                    task.done() || !task.failedAttempts().isEmpty() || !task.lostRuns().isEmpty();
            if (hasOtherProgress) {
                remaining.add(task.withoutCheckpoint());
            }
        }
        return new JobRecord(state, endedAtMillis, remaining);
    }

    /**
     * The stored progress of one task.
     *
     * @param occurrence the occurrence
     * @param step the number of the step
     * @param index the number of the task within its step
     * @param done true if it is done
     * @param failedAttempts numbers of the attempts that failed, each listed once
     * @param checkpoint checkpoint from which to resume, empty to start from the beginning
     * @param lostRuns runs that may have crashed their workers
     */
    public record TaskRecord(
            int occurrence,
            int step,
            int index,
            boolean done,
            List<Integer> failedAttempts,
            String checkpoint,
            List<LostRun> lostRuns) {
        /**
         * Copies the lists.
         *
         * @param occurrence the occurrence
         * @param step the number of the step
         * @param index the number of the task within its step
         * @param done true if it is done
         * @param failedAttempts numbers of the attempts that failed
         * @param checkpoint checkpoint from which to resume
         * @param lostRuns runs that may have crashed their workers
         */
        public TaskRecord {
            failedAttempts = List.copyOf(failedAttempts);
            lostRuns = List.copyOf(lostRuns);
        }

        /**
         * Creates the progress of a task without lost runs.
         *
         * @param occurrence the occurrence
         * @param step the number of the step
         * @param index the number of the task within its step
         * @param done true if it is done
         * @param failedAttempts numbers of the attempts that failed
         * @param checkpoint checkpoint from which to resume
         */
        public TaskRecord(
                int occurrence,
                int step,
                int index,
                boolean done,
                List<Integer> failedAttempts,
                String checkpoint) {
            this(occurrence, step, index, done, failedAttempts, checkpoint, List.of());
        }

        private TaskRecord withoutCheckpoint() {
            return new TaskRecord(occurrence, step, index, done, failedAttempts, "", lostRuns);
        }
    }
}
