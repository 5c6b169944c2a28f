package org.peridotcourse.dispatch;

import java.util.List;
import java.util.Map;

/**
 * What an owner has learned and its successor need not learn anew: how strongly images press on
 * each other, the usual response times of images, and how far the estimates of queues are right.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param period number of the period of the own loads
 * @param imageMeans usual headroom by serving image, in the inverse of milliseconds
 * @param pairs evidence on pairs of images
 * @param estimates errors of the estimates by queue
 */
public record Learned(
        int period,
        Map<String, Double> imageMeans,
        List<Pair> pairs,
        Map<String, EstimateError> estimates) {
    /** Nothing is known. */
    public static final Learned NOTHING = new Learned(0, Map.of(), List.of(), Map.of());

    /**
     * Copies the collections.
     *
     * @param period number of the period
     * @param imageMeans usual headroom by image
     * @param pairs evidence on pairs
     * @param estimates errors by queue
     */
    public Learned {
        imageMeans = Map.copyOf(imageMeans);
        pairs = List.copyOf(pairs);
        estimates = Map.copyOf(estimates);
    }

    /**
     * Evidence on a pair of images.
     *
     * @param serving the image that is pressed on
     * @param filling the image that presses
     * @param evidence logarithms of the odds of each strength, 0 for the likeliest
     */
    public record Pair(String serving, String filling, List<Double> evidence) {
        /**
         * Copies the list.
         *
         * @param serving the image that is pressed on
         * @param filling the image that presses
         * @param evidence logarithms of the odds
         */
        public Pair {
            evidence = List.copyOf(evidence);
        }
    }

    /**
     * How far the estimates of a queue are right.
     *
     * @param error mean error as a natural logarithm
     * @param ends the ends that told it
     */
    public record EstimateError(double error, int ends) {}
}
