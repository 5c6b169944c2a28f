package org.peridotcourse.dispatch;

import java.util.Optional;

/**
 * The scheduling rules of a queue.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param name the name of the queue
 * @param service the service whose workers run the tasks
 * @param priority the priority; 0 is the highest, and jobs may preempt those with a larger number
 * @param maxAttempts the number of failures of one task after which the job fails
 * @param slackFactor factor by which the critical path is multiplied in the objective
 * @param objectiveBaseMillis constant part of the objective
 * @param advice the settings of the advice service, empty if the queue needs no tickets
 */
public record QueueRules(
        String name,
        String service,
        int priority,
        int maxAttempts,
        double slackFactor,
        long objectiveBaseMillis,
        Optional<AdviceRules> advice) {
    /**
     * Returns the completion time objective of a job.
     *
     * @param spec the job
     * @return milliseconds from the first submission of the job
     */
    public long objectiveMillis(JobSpec spec) {
        return objectiveMillis(spec.criticalPathMillis(0));
    }

    /** Returns the completion time objective of a job with a critical path of this duration. */
    long objectiveMillis(long criticalPathMillis) {
        return Math.round(slackFactor * criticalPathMillis) + objectiveBaseMillis;
    }
}
