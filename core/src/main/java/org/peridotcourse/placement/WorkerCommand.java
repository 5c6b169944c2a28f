package org.peridotcourse.placement;

import java.util.Optional;
import org.peridotcourse.Resources;
import org.peridotcourse.TaskId;
import org.peridotcourse.WorkloadId;

/** A command to a worker. Implementations are immutable and thread-safe. */
public sealed interface WorkerCommand {
    /**
     * Starts an attempt. The worker refuses it if the lease has already expired or if it has
     * received a start or stop of this attempt or of a later one.
     *
     * @param task the task
     * @param attempt number of the attempt
     * @param leaseUntilMillis end of the lease on the worker's clock
     * @param workload the workload
     * @param latencyCritical true if the workload is latency-critical, false for batch work
     * @param size the declared size
     * @param checkpoint the checkpoint to resume from
     * @param payload opaque text of the job
     */
    record Start(
            TaskId task,
            int attempt,
            long leaseUntilMillis,
            WorkloadId workload,
            boolean latencyCritical,
            Resources size,
            Optional<String> checkpoint,
            String payload)
            implements WorkerCommand {}

    /**
     * Extends the leases of all running tasks; it never shortens one.
     *
     * @param batchUntilMillis end of the leases of batch tasks on the worker's clock
     * @param serviceUntilMillis end of the leases of latency-critical tasks on the worker's clock
     */
    record Renew(long batchUntilMillis, long serviceUntilMillis) implements WorkerCommand {}

    /**
     * Stops an attempt. A worker that does not run the attempt also answers ok; in both cases it
     * refuses to start this attempt or an earlier one afterwards. Without {@code release}, an
     * attempt that has already finished or failed stays in the report and the answer is the error
     * {@code already-ended}, so that its outcome is not lost. With {@code release} it leaves the
     * report.
     *
     * @param task the task
     * @param attempt number of the attempt
     * @param release true if the outcome is recorded or not needed
     */
    record Stop(TaskId task, int attempt, boolean release) implements WorkerCommand {}

    /**
     * Makes a checkpoint; the result names the object.
     *
     * @param task the task
     * @param attempt number of the attempt
     */
    record Checkpoint(TaskId task, int attempt) implements WorkerCommand {}

    /**
     * Limits the processor time of an attempt.
     *
     * @param task the task
     * @param attempt number of the attempt
     * @param percent share of its declared size, 100 for no limit
     */
    record Throttle(TaskId task, int attempt, int percent) implements WorkerCommand {}
}
