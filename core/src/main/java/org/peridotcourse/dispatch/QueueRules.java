package org.peridotcourse.dispatch;

import java.util.Optional;

/**
 * How the jobs of a queue are treated.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param name the name of the queue
 * @param service the service whose workers run the tasks
 * @param priority 0 comes first and may preempt others
 * @param maxAttempts failures of one task that end the job
 * @param slackFactor factor of the longest chain in the objective
 * @param targetMillis time added to the objective
 * @param advice the rules of the advice service, empty if the queue needs no tickets
 */
public record QueueRules(
        String name,
        String service,
        int priority,
        int maxAttempts,
        double slackFactor,
        long targetMillis,
        Optional<AdviceRules> advice) {
    /**
     * Returns the time in which a job should complete.
     *
     * @param spec the job
     * @return milliseconds from its first sending
     */
    public long objectiveMillis(JobSpec spec) {
        return Math.round(slackFactor * spec.chainMillis(0)) + targetMillis;
    }
}
