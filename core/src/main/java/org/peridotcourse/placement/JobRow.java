package org.peridotcourse.placement;

import java.util.Optional;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.JobId;
import org.peridotcourse.Resources;
import org.peridotcourse.WorkloadId;

/**
 * A row of the table {@code jobs}.
 *
 * <p>The entry host writes the specification and sets {@code cancel}; owners write the progress.
 * Instances are immutable and thread-safe.
 *
 * @param spec what was submitted
 * @param cancel true once the customer has cancelled the job
 * @param progress progress recorded by the owners
 * @param commit the commit that wrote the row, 0 in a row to be written
 */
public record JobRow(Spec spec, boolean cancel, Progress progress, long commit) {
    /**
     * Returns the row of a new job.
     *
     * @param spec what was submitted
     * @return the row to insert
     */
    public static JobRow submitted(Spec spec) {
        return new JobRow(spec, false, Progress.NONE, 0);
    }

    /**
     * Returns this row with changed progress.
     *
     * @param changed the progress
     * @return the row to write
     */
    public JobRow withProgress(Progress changed) {
        return new JobRow(spec, cancel, changed, commit);
    }

    /**
     * Returns this row with the commit that wrote it.
     *
     * @param written the commit
     * @return the row as stored
     */
    public JobRow withCommit(long written) {
        return new JobRow(spec, cancel, progress, written);
    }

    /**
     * What a customer submitted.
     *
     * @param id the job
     * @param workload its workload
     * @param tasks number of tasks
     * @param size declared size of each task
     * @param urgent true if it is scheduled before the customer's other jobs
     * @param payload opaque text that each start command carries
     */
    public record Spec(
            JobId id,
            WorkloadId workload,
            int tasks,
            Resources size,
            boolean urgent,
            String payload) {}

    /**
     * Progress of a job as recorded by owners.
     *
     * @param state the state
     * @param dataCentre the data centre that creates the task rows; empty if any may do so
     * @param created number of task rows created so far, in the order of the index
     * @param finished number of tasks that ended successfully
     * @param cancelled number of tasks that were cancelled
     * @param reason why the job was refused or held
     */
    public record Progress(
            JobState state,
            Optional<DataCentreId> dataCentre,
            int created,
            int finished,
            int cancelled,
            Optional<String> reason) {
        /** The progress of a new job. */
        public static final Progress NONE =
                new Progress(JobState.SUBMITTED, Optional.empty(), 0, 0, 0, Optional.empty());
    }
}
