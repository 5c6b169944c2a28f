package org.peridotcourse.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Predicts how long the tasks of a step take: the mean duration of its completed runs, or the
 * caller's estimate if the estimates in the queue have been accurate so far. Confined to one
 * thread.
 */
final class DurationPredictor {
    /**
     * Number of completed runs of a step from which their mean duration is used as the prediction.
     */
    private static final int MIN_COMPLETED_RUNS = 2;

    /** Number of completed runs of a queue below which its estimates are not used. */
    private static final int MIN_ERROR_SAMPLES = 8;

    /**
     * Mean error below which estimates are used. An error is the absolute natural logarithm of the
     * ratio of actual to estimated duration.
     */
    private static final double MAX_ACCEPTED_ERROR = 0.35;

    /** Weight of a new error in the moving average. */
    private static final double ERROR_WEIGHT = 0.1;

    private final Map<String, QueueErrors> queues = new HashMap<>();

    /**
     * The mean error of the estimates of one queue and the number of runs that it was computed
     * from.
     */
    private static final class QueueErrors {
        double meanLogError;
        int sampleCount;
    }

    /**
     * Records the duration of a completed run. Ignores runs that resumed from a checkpoint or were
     * slowed down by an order, since they do not show the duration of a whole task.
     */
    void onRunDone(Run run, long now) {
        boolean fromStart = run.firstPercent <= 0 || run.task.checkpoint.isEmpty();
        if (run.spec().isLasting() || !fromStart || run.wasThrottled) {
            return;
        }
        long durationMillis = Math.max(1, now - run.orderedAt);
        Step step = run.task.step;
        step.completedRunMillis += durationMillis;
        step.completedRuns++;
        long estimate = run.spec().estimateMillis();
        if (estimate > 0) {
            QueueErrors queue =
                    queues.computeIfAbsent(
                            step.job().rulesAtAcceptance.name(), key -> new QueueErrors());
            double error = Math.abs(Math.log((double) durationMillis / estimate));
            double weight =
                    queue.sampleCount < MIN_ERROR_SAMPLES
                            ? 1.0 / (queue.sampleCount + 1)
                            : ERROR_WEIGHT;
            queue.meanLogError += weight * (error - queue.meanLogError);
            queue.sampleCount++;
        }
    }

    /** Returns the predicted duration of a task in milliseconds, or empty if there is none. */
    OptionalLong predictMillis(Step step) {
        if (step.completedRuns >= MIN_COMPLETED_RUNS) {
            return OptionalLong.of(step.completedRunMillis / step.completedRuns);
        }
        QueueErrors queue = queues.get(step.job().rulesAtAcceptance.name());
        boolean isReliable =
                queue != null
                        && queue.sampleCount >= MIN_ERROR_SAMPLES
                        && queue.meanLogError < MAX_ACCEPTED_ERROR;
        return isReliable && step.spec.estimateMillis() > 0
                ? OptionalLong.of(step.spec.estimateMillis())
                : OptionalLong.empty();
    }

    Map<String, ModelSnapshot.EstimateError> estimateErrors() {
        Map<String, ModelSnapshot.EstimateError> errors = new HashMap<>();
        queues.forEach(
                (name, queue) ->
                        errors.put(
                                name,
                                new ModelSnapshot.EstimateError(
                                        queue.meanLogError, queue.sampleCount)));
        return errors;
    }

    void restore(Map<String, ModelSnapshot.EstimateError> errors) {
        errors.forEach(
                (name, restored) -> {
                    QueueErrors queue = new QueueErrors();
                    queue.meanLogError = restored.meanLogError();
                    queue.sampleCount = restored.sampleCount();
                    queues.putIfAbsent(name, queue);
                });
    }
}
