package org.peridotcourse.dispatch;

import java.util.List;

/**
 * The answer of a worker to a lease call: its clock, its active runs and the runs that ended.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param clockMillis reading of the worker's monotonic clock
 * @param startedAtMillis wall-clock time at which the worker's process started, which identifies
 *     its incarnation; 0 if not given
 * @param running the active runs
 * @param ended ends of runs that have not been acknowledged, oldest first
 * @param complete false if some entries could not be parsed, so that a run that is not listed may
 *     still be active
 * @param mayHaveMoreEnds true if the worker may have ends that the list has no room for, so that a
 *     run that is not listed may have ended in any way
 */
public record WorkerReport(
        long clockMillis,
        long startedAtMillis,
        List<ActiveRun> running,
        List<EndedRun> ended,
        boolean complete,
        boolean mayHaveMoreEnds) {
    /**
     * Copies the lists.
     *
     * @param clockMillis reading of the worker's monotonic clock
     * @param startedAtMillis wall-clock time at which the worker's process started
     * @param running the active runs
     * @param ended ends of runs that have not been acknowledged
     * @param complete false if some entries could not be parsed
     * @param mayHaveMoreEnds true if the worker may have ends that the list has no room for
     */
    public WorkerReport {
        running = List.copyOf(running);
        ended = List.copyOf(ended);
    }

    /**
     * An active run.
     *
     * @param task the task
     * @param attempt the attempt number
     * @param checkpoint the newest checkpoint, empty for none
     * @param percent progress, 0 to 100; a lasting task is operational at 100
     * @param measurement tail response time in milliseconds for a serving task, processor use in
     *     milli-cores for others
     */
    public record ActiveRun(
            TaskRef task, int attempt, String checkpoint, int percent, double measurement) {}

    /**
     * A run that ended.
     *
     * @param number sequence number of the end, counted from 1 in each incarnation of the worker
     * @param task the task
     * @param attempt the attempt number
     * @param outcome how it ended
     * @param checkpoint the newest checkpoint, empty for none
     */
    public record EndedRun(
            long number, TaskRef task, int attempt, RunOutcome outcome, String checkpoint) {}
}
