package org.peridotcourse.dispatch;

import java.util.List;
import java.util.Map;

/**
 * Snapshot of the models that an owner has learned, from which its successor starts: how strongly
 * filling images interfere with serving ones, the mean headroom of serving images, and the errors
 * of the duration estimates of queues.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param period index of the period of the load that jobs have without interference
 * @param imageMeans mean headroom by serving image, in 1/ms
 * @param pairs interference between pairs of images
 * @param estimates errors of the duration estimates by queue
 */
public record Learned(
        int period,
        Map<String, Double> imageMeans,
        List<Pair> pairs,
        Map<String, EstimateError> estimates) {
    /** A snapshot without content. */
    public static final Learned NOTHING = new Learned(0, Map.of(), List.of(), Map.of());

    /**
     * Copies the collections.
     *
     * @param period index of the period
     * @param imageMeans mean headroom by serving image
     * @param pairs interference between pairs of images
     * @param estimates errors of the duration estimates by queue
     */
    public Learned {
        imageMeans = Map.copyOf(imageMeans);
        pairs = List.copyOf(pairs);
        estimates = Map.copyOf(estimates);
    }

    /**
     * Interference of a filling image with a serving one.
     *
     * @param serving the serving image
     * @param filling the filling image
     * @param evidence natural logarithm of the odds of each interference strength, relative to the
     *     most likely strength, which has 0
     */
    public record Pair(String serving, String filling, List<Double> evidence) {
        /**
         * Copies the list.
         *
         * @param serving the serving image
         * @param filling the filling image
         * @param evidence natural logarithms of the odds
         */
        public Pair {
            evidence = List.copyOf(evidence);
        }
    }

    /**
     * Error of the duration estimates of a queue.
     *
     * @param error mean error, as a natural logarithm of the ratio
     * @param ends number of ended runs from which it was measured
     */
    public record EstimateError(double error, int ends) {}
}
