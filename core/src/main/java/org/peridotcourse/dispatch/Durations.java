package org.peridotcourse.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Tells how long the tasks of a step probably take: as long as those that are done, or as long as
 * estimated if the estimates of the queue have proved right. Confined to one thread.
 */
final class Durations {
    /** Done tasks of a step that show the duration of the others. */
    private static final int ENOUGH_DONE = 2;

    /** Ends of a queue from which its estimates are judged. */
    private static final int ENOUGH_ENDS = 8;

    /** Mean error of trusted estimates, as a natural logarithm. */
    private static final double TRUSTED_ERROR = 0.35;

    private static final double ERROR_WEIGHT = 0.1;

    private final Map<String, Queue> queues = new HashMap<>();

    /** The error of the estimates of one queue. */
    private static final class Queue {
        double error;
        int ends;
    }

    /** Takes the duration of a run that began anew, at full speed, and is done. */
    void onDone(Run run, long now) {
        boolean whole = run.firstPercent <= 0 || run.task.checkpoint.isEmpty();
        if (run.spec().isLasting() || !whole || run.wasPaced) {
            return;
        }
        long took = Math.max(1, now - run.orderedAt);
        Step step = run.task.step;
        step.doneMillis += took;
        step.doneRuns++;
        long estimate = run.spec().estimateMillis();
        if (estimate > 0) {
            Queue queue =
                    queues.computeIfAbsent(step.job().acceptedUnder.name(), key -> new Queue());
            double error = Math.abs(Math.log((double) took / estimate));
            double weight = queue.ends < ENOUGH_ENDS ? 1.0 / (queue.ends + 1) : ERROR_WEIGHT;
            queue.error += weight * (error - queue.error);
            queue.ends++;
        }
    }

    /** Returns the probable duration, or empty if nothing tells it. */
    OptionalLong of(Step step) {
        if (step.doneRuns >= ENOUGH_DONE) {
            return OptionalLong.of(step.doneMillis / step.doneRuns);
        }
        Queue queue = queues.get(step.job().acceptedUnder.name());
        boolean trusted = queue != null && queue.ends >= ENOUGH_ENDS && queue.error < TRUSTED_ERROR;
        return trusted && step.spec.estimateMillis() > 0
                ? OptionalLong.of(step.spec.estimateMillis())
                : OptionalLong.empty();
    }

    Map<String, Learned.EstimateError> errors() {
        Map<String, Learned.EstimateError> errors = new HashMap<>();
        queues.forEach(
                (name, queue) ->
                        errors.put(name, new Learned.EstimateError(queue.error, queue.ends)));
        return errors;
    }

    void restore(Map<String, Learned.EstimateError> errors) {
        errors.forEach(
                (name, known) -> {
                    Queue queue = new Queue();
                    queue.error = known.error();
                    queue.ends = known.ends();
                    queues.putIfAbsent(name, queue);
                });
    }
}
