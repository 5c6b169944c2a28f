package org.peridotcourse.dispatch;

/**
 * A run that had just started when its worker was lost, so that it may have crashed the worker. It
 * is part of the stored progress, since a successor cannot learn of it from the workers: a worker
 * that has crashed reports nothing about its runs.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param attempt the attempt number of the run
 * @param worker the id of its worker
 * @param incarnation the incarnation of the worker at the start, 0 if unknown
 * @param alone true if no other task had just started on the worker, so that no other one can have
 *     crashed it
 * @param crashed true once it is known that the worker has crashed; false while the worker may only
 *     be unreachable
 */
public record LostRun(
        int attempt, String worker, long incarnation, boolean alone, boolean crashed) {
    static LostRun of(Run run) {
        return new LostRun(run.attempt, run.worker.id, run.worker.incarnation, run.alone, false);
    }

    LostRun withAlone(boolean newAlone) {
        return new LostRun(attempt, worker, incarnation, newAlone, crashed);
    }

    LostRun withCrashed() {
        return new LostRun(attempt, worker, incarnation, alone, true);
    }
}
