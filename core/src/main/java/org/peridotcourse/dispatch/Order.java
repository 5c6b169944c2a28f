package org.peridotcourse.dispatch;

import java.util.Optional;

/** What the owner tells a worker. Implementations are immutable and thread-safe. */
public sealed interface Order permits Order.Start, Order.Stop, Order.Pace {
    /**
     * Returns the receiver.
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
     * Returns the number of the start.
     *
     * @return at least 1
     */
    int attempt();

    /**
     * Returns the epoch of the owner, which workers use as fencing token.
     *
     * @return the epoch
     */
    long epoch();

    /**
     * Starts a run.
     *
     * @param worker the receiver
     * @param task the task
     * @param attempt the number of the start
     * @param epoch the epoch of the owner
     * @param payload the text of the job
     * @param leaseClock end of the lease on the worker's clock
     * @param checkpoint where to resume, empty for the beginning
     * @param ticket the ticket of the advice service
     */
    record Start(
            WorkerInfo worker,
            TaskRef task,
            int attempt,
            long epoch,
            String payload,
            long leaseClock,
            String checkpoint,
            Optional<String> ticket)
            implements Order {}

    /**
     * Stops a run, and makes the worker refuse this start and older ones from now on.
     *
     * @param worker the receiver
     * @param task the task
     * @param attempt the number of the start
     * @param epoch the epoch of the owner
     * @param reason why
     */
    record Stop(WorkerInfo worker, TaskRef task, int attempt, long epoch, StopReason reason)
            implements Order {}

    /**
     * Sets the share of its speed at which a run works.
     *
     * @param worker the receiver
     * @param task the task
     * @param attempt the number of the start
     * @param epoch the epoch of the owner
     * @param percent the share, 0 to 100
     */
    record Pace(WorkerInfo worker, TaskRef task, int attempt, long epoch, int percent)
            implements Order {}
}
