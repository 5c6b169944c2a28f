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
 * @param periodIndex index of the period of the load that jobs have without interference
 * @param meanHeadroomByImage mean headroom by serving image, in 1/ms
 * @param imagePairs interference between pairs of images
 * @param estimateErrors errors of the duration estimates by queue
 */
public record ModelSnapshot(
        int periodIndex,
        Map<String, Double> meanHeadroomByImage,
        List<ImagePair> imagePairs,
        Map<String, EstimateError> estimateErrors) {
    /** A snapshot without content. */
    public static final ModelSnapshot EMPTY = new ModelSnapshot(0, Map.of(), List.of(), Map.of());

    /**
     * Copies the collections.
     *
     * @param periodIndex index of the period
     * @param meanHeadroomByImage mean headroom by serving image
     * @param imagePairs interference between pairs of images
     * @param estimateErrors errors of the duration estimates by queue
     */
    public ModelSnapshot {
        meanHeadroomByImage = Map.copyOf(meanHeadroomByImage);
        imagePairs = List.copyOf(imagePairs);
        estimateErrors = Map.copyOf(estimateErrors);
    }

    /**
     * Interference of a filling image with a serving one.
     *
     * @param serving the serving image
     * @param filling the filling image
     * @param logOdds natural logarithm of the odds of each interference coefficient, relative to
     *     the most likely coefficient, which has 0
     */
    public record ImagePair(String serving, String filling, List<Double> logOdds) {
        /**
         * Copies the list.
         *
         * @param serving the serving image
         * @param filling the filling image
         * @param logOdds natural logarithms of the odds
         */
        public ImagePair {
            logOdds = List.copyOf(logOdds);
        }
    }

    /**
     * Error of the duration estimates of a queue.
     *
     * @param meanLogError mean absolute natural logarithm of the ratio of actual to estimated
     *     duration
     * @param sampleCount number of completed runs from which the mean was computed
     */
    public record EstimateError(double meanLogError, int sampleCount) {}
}
