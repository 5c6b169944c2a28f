package org.peridotcourse.dispatch;

import java.util.Optional;

/** An order of the owner to a worker. Implementations are immutable and thread-safe. */
public sealed interface Order permits Order.Start, Order.Stop, Order.Pace {
    /**
     * Returns the worker that receives the order.
     *
     * @return the worker
     */
    WorkerInfo worker();

    /**
     * Returns the task.
     *
     * @return the task
     */
    TaskRef task();

    /**
     * Returns the attempt number of the run.
     *
     * @return the number, at least 1
     */
    int attempt();

    /**
     * Returns the epoch of the owner, which workers use as a fencing token.
     *
     * @return the epoch
     */
    long epoch();

    /**
     * Starts a run.
     *
     * @param worker the receiver
     * @param task the task
     * @param attempt the attempt number of the run
     * @param epoch the epoch of the owner
     * @param payload the payload of the job
     * @param leaseEndClockMillis end of the lease on the worker's clock, in milliseconds
     * @param checkpoint checkpoint from which to resume, empty to start from the beginning
     * @param ticket the ticket that the advice service issued, empty for none
     */
    record Start(
            WorkerInfo worker,
            TaskRef task,
            int attempt,
            long epoch,
            String payload,
            long leaseEndClockMillis,
            String checkpoint,
            Optional<String> ticket)
            implements Order {}

    /**
     * Stops a run, and makes the worker reject starts of the task with this or a lower attempt
     * number.
     *
     * @param worker the receiver
     * @param task the task
     * @param attempt the attempt number of the run
     * @param epoch the epoch of the owner
     * @param reason why the run is stopped
     */
    record Stop(WorkerInfo worker, TaskRef task, int attempt, long epoch, StopReason reason)
            implements Order {}

    /**
     * Sets the pace of a run, as a percentage of its full speed.
     *
     * @param worker the receiver
     * @param task the task
     * @param attempt the attempt number of the run
     * @param epoch the epoch of the owner
     * @param percent the pace, 0 to 100
     */
    record Pace(WorkerInfo worker, TaskRef task, int attempt, long epoch, int percent)
            implements Order {}
}
