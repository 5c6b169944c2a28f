package org.peridotcourse.dispatch;

import java.util.List;

/**
 * What a worker answers to a renewal of its lease: its clock, what runs and what ended.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param clockMillis the worker's steady clock
 * @param bornMillis wall-clock start of this life, 0 if not told
 * @param running what runs
 * @param ended ends that were not acknowledged, oldest first
 * @param whole false if some entries could not be read, so that a run which is missing may be there
 */
public record WorkerReport(
        long clockMillis,
        long bornMillis,
        List<Running> running,
        List<Ended> ended,
        boolean whole) {
    /**
     * Copies the lists.
     *
     * @param clockMillis the worker's steady clock
     * @param bornMillis start of this life
     * @param running what runs
     * @param ended ends that were not acknowledged
     * @param whole false if some entries could not be read
     */
    public WorkerReport {
        running = List.copyOf(running);
        ended = List.copyOf(ended);
    }

    /**
     * A run that is there.
     *
     * @param task the task
     * @param attempt the number of the start
     * @param checkpoint the newest checkpoint, empty for none
     * @param percent progress; a lasting task is at work at 100
     * @param figure tail of response times in milliseconds for a serving task, cores for others
     */
    public record Running(
            TaskRef task, int attempt, String checkpoint, int percent, double figure) {}

    /**
     * A run that ended.
     *
     * @param number counts the ends of this life from 1
     * @param task the task
     * @param attempt the number of the start
     * @param kind how it ended
     * @param checkpoint the newest checkpoint, empty for none
     */
    public record Ended(long number, TaskRef task, int attempt, EndKind kind, String checkpoint) {}
}
