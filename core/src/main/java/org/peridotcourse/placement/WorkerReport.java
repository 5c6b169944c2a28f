package org.peridotcourse.placement;

import java.util.List;
import java.util.Optional;
import org.peridotcourse.TaskId;
import org.peridotcourse.WorkerId;
import org.peridotcourse.WorkloadId;

/**
 * The complete answer of a worker to {@code GET /v1/report}.
 *
 * <p>A worker lists an ended attempt until a {@link WorkerCommand.Stop} removes it. Instances are
 * immutable and thread-safe.
 *
 * @param worker the worker
 * @param clockMillis its monotonic clock when it made the report
 * @param epoch the highest epoch of an owner that it has received in a command
 * @param usageAgeMillis age of the usage figures
 * @param tasks all tasks
 * @param services latency of the services on it
 */
public record WorkerReport(
        WorkerId worker,
        long clockMillis,
        long epoch,
        long usageAgeMillis,
        List<TaskReport> tasks,
        List<ServiceReport> services) {
    /** State of an attempt on its worker. */
    public enum AttemptState {
        /** It runs. */
        RUNNING,
        /** It ended successfully. */
        FINISHED,
        /** It failed. */
        FAILED,
        /** It was stopped, by a command or because its lease expired. */
        STOPPED
    }

    /**
     * One attempt.
     *
     * @param task the task
     * @param attempt number of the attempt
     * @param state its state
     * @param checkpoint its newest checkpoint object, if it made one
     * @param progress units of work done by the task so far
     * @param usedMilliCores processor time in use
     * @param usedMemoryMib memory in use
     */
    public record TaskReport(
            TaskId task,
            int attempt,
            AttemptState state,
            Optional<String> checkpoint,
            long progress,
            long usedMilliCores,
            long usedMemoryMib) {}

    /**
     * Latency of a service on this worker.
     *
     * @param workload the service's workload
     * @param p99Millis the 99th percentile of its latency
     */
    public record ServiceReport(WorkloadId workload, double p99Millis) {}
}
