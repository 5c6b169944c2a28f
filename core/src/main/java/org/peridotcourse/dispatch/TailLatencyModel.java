package org.peridotcourse.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates how the tail latencies of serving tasks depend on their own load and on the filling
 * images on the same worker.
 *
 * <p>The model treats a serving task as a queueing system, in which the inverse of the tail latency
 * is proportional to the headroom: the capacity that the task has left. The load that the requests
 * to a job cause (its own load) is modelled as a sine wave whose period is the same for all jobs;
 * all tasks of a step have the same load at any time. Each filling image on the worker takes
 * headroom in proportion to the fraction of the worker's processor that it uses; the factor is its
 * interference coefficient. Headrooms are given as multiples of the mean headroom of the job
 * without neighbours, that is, without filling tasks on the worker. Confined to one thread.
 */
final class TailLatencyModel {
    /** Separates the id of a job from the number of its step in the key of a load. */
    static final char STEP_SEPARATOR = '/';

    /** Interference coefficient from which a pair of images counts as harmful. */
    static final double HARMFUL_COEFFICIENT = 0.8;

    /**
     * Assumed headroom that a task needs to stay below its latency target, before there are
     * samples.
     */
    private static final double DEFAULT_REQUIRED_HEADROOM = 0.45;

    /** Assumed standard deviation of the headroom of a job whose wave has not been fitted yet. */
    private static final double DEFAULT_DEVIATION = 0.28;

    /** Weight of the assumed deviation, as a number of samples. */
    private static final double DEFAULT_DEVIATION_WEIGHT = 4;

    /** Fraction of a period that must be observed before a wave is extrapolated. */
    private static final double MIN_OBSERVED_SHARE = 0.6;

    /** Safety margin for filling tasks, as a multiple of the deviation of the headroom. */
    private static final double SAFETY_MARGIN = 1;

    /** Headroom below which a tail latency shows only that the task is overloaded. */
    private static final double SATURATION_HEADROOM = 0.1;

    /** Lower bound of the deviation, for errors that every sample has. */
    private static final double MIN_DEVIATION = 0.05;

    /** Standard deviation of the rounding error: tail latencies are whole milliseconds. */
    private static final double ROUNDING_MILLIS = 0.3;

    /**
     * Weight of the evidence of one sample on a coefficient. It is below 1 because the samples of
     * the tasks of a job on one worker, and those of successive reports, are correlated.
     */
    private static final double EVIDENCE_WEIGHT = 0.3;

    /**
     * Headroom lost to neighbours that halves the weight of a sample when the own load is fitted.
     */
    private static final double HALF_WEIGHT_LOSS = 0.1;

    /** Residual, in deviations, that halves the weight of a sample when the own load is fitted. */
    private static final double HALF_WEIGHT_DEVIATIONS = 2;

    /** Lower bound of the weight of a sample, so that a real change of the load is learned. */
    private static final double MIN_WEIGHT = 0.03;

    /** Fraction of the processor from which the use by an image provides evidence on a pair. */
    private static final double MIN_USE = 0.005;

    /** Weight of a job's fitted mean in the moving average of its image. */
    private static final double IMAGE_WEIGHT = 0.02;

    /** Interval at which the period is chosen, which takes one fit for each load and period. */
    private static final long PERIOD_CHOICE_INTERVAL_MILLIS = 1_000;

    /** Interval between forecast headrooms, a small part of the shortest period. */
    private static final long FORECAST_STEP_MILLIS = 250;

    /** Number of forecast headrooms; filling tasks are planned for at most 5 s ahead. */
    private static final int FORECAST_STEPS = 21;

    /** Time after which reports show the interference of a pair that is being tried. */
    private static final long TRIAL_MILLIS = 1_500;

    private final Map<String, Load> loads = new HashMap<>();
    private final Map<String, Double> meanHeadroomByImage = new HashMap<>();
    private final Map<String, Map<String, InterferenceEstimate>> interference = new HashMap<>();
    private final InterferenceEstimate defaultEstimate = new InterferenceEstimate();
    private int period;
    private long trialCount;
    private long periodChosenAt;

    /** The own load of the tasks of one step, with a cached wave and forecast. */
    private static final class Load {
        final PeriodicFit fit = new PeriodicFit();
        final long firstSampleAt;
        double expectedMean;
        private final double[] minHeadroomByStep = new double[FORECAST_STEPS];
        private PeriodicFit.Wave wave;
        private int period = -1;
        private double deviation = DEFAULT_DEVIATION;
        private long forecastAt;

        Load(long firstSampleAt, double expectedMean) {
            this.firstSampleAt = firstSampleAt;
            this.expectedMean = expectedMean;
        }

        void add(double value, double weight, long now) {
            fit.addSample(value, weight, now);
            wave = null;
        }

        double headroom(int chosenPeriod, double atMillis) {
            PeriodicFit.Wave fitted = wave(chosenPeriod);
            return Math.max(
                    2 * SATURATION_HEADROOM,
                    fitted.valueAt(chosenPeriod, atMillis) / fitted.mean());
        }

        /** Returns the standard deviation of the headroom. */
        double deviation(int chosenPeriod, long now) {
            if (now - firstSampleAt < MIN_OBSERVED_SHARE * PeriodicFit.periodMillis(chosenPeriod)) {
                return DEFAULT_DEVIATION;
            }
            PeriodicFit.Wave fitted = wave(chosenPeriod);
            double error = fitted.squaredError() / (fitted.mean() * fitted.mean());
            error += DEFAULT_DEVIATION_WEIGHT * DEFAULT_DEVIATION * DEFAULT_DEVIATION;
            double variance = error / (fit.totalWeight() + DEFAULT_DEVIATION_WEIGHT);
            return Math.max(MIN_DEVIATION, Math.sqrt(variance));
        }

        /** Returns the minimum of the forecast headroom from now on, less the safety margin. */
        double minHeadroom(int chosenPeriod, long now, long forMillis) {
            if (now - forecastAt >= FORECAST_STEP_MILLIS || forecastAt == 0) {
                forecastAt = now;
                deviation = deviation(chosenPeriod, now);
                double lowest = Double.MAX_VALUE;
                for (int i = 0; i < FORECAST_STEPS; i++) {
                    lowest =
                            Math.min(
                                    lowest, headroom(chosenPeriod, now + i * FORECAST_STEP_MILLIS));
                    minHeadroomByStep[i] = lowest;
                }
            }
            int steps = (int) Math.min(FORECAST_STEPS - 1, forMillis / FORECAST_STEP_MILLIS);
            return minHeadroomByStep[steps] - SAFETY_MARGIN * deviation;
        }

        PeriodicFit.Wave wave(int chosenPeriod) {
            if (wave == null || period != chosenPeriod) {
                period = chosenPeriod;
                wave = fit.fit(chosenPeriod, expectedMean);
            }
            return wave;
        }
    }

    /** Returns the expected headroom of a task without neighbours. */
    double expectedHeadroom(String loadKey, double atMillis) {
        Load load = loads.get(loadKey);
        return load == null ? 1 : load.headroom(period, atMillis);
    }

    /** Returns the headroom that a task needs to stay below its latency target. */
    double requiredHeadroom(String loadKey, String image, long targetMillis) {
        Load load = loads.get(loadKey);
        double mean = load == null ? expectedMean(image, targetMillis) : load.wave(period).mean();
        return 1.0 / targetMillis / mean;
    }

    /**
     * Returns the headroom that filling tasks may take for a given time from now.
     *
     * @param forMillis the duration for which they will run
     */
    double spareHeadroom(
            String loadKey, String image, long targetMillis, long now, long forMillis) {
        Load load = loads.get(loadKey);
        double least =
                load == null
                        ? 1 - SAFETY_MARGIN * DEFAULT_DEVIATION
                        : load.minHeadroom(period, now, forMillis);
        return least - requiredHeadroom(loadKey, image, targetMillis);
    }

    /** Returns the expected interference coefficient of a pair of images. */
    double interferenceCoefficient(String image, String filling) {
        return estimate(image, filling).mean();
    }

    /**
     * Returns whether a pair is certain to interfere so weakly that any number of filling tasks may
     * run.
     */
    boolean isHarmless(String image, String filling) {
        InterferenceEstimate estimate = estimate(image, filling);
        return estimate.isCertain() && estimate.mean() < HARMFUL_COEFFICIENT;
    }

    /**
     * Returns the expected headroom that a serving image loses to a filling image.
     *
     * @param use the fraction of the worker's processor that the filling image uses
     */
    double expectedLoss(String image, String filling, double use) {
        return estimate(image, filling).mean() * use;
    }

    /**
     * Returns the loss of headroom to assume when a filling task is placed. While the estimate for
     * a pair is uncertain, the first start counts as a pair with weak interference, so that the
     * pair is tried. Until the end of that trial, the expected interference is assumed for other
     * starts.
     *
     * @param use the fraction of the worker's processor that the filling image uses
     */
    double plannedLoss(String image, String filling, double use, long now) {
        InterferenceEstimate estimate = estimate(image, filling);
        if (estimate.isCertain()) {
            return estimate.mean() * use;
        }
        boolean inTrial = now - estimate.trialStartedAt() < TRIAL_MILLIS;
        return (inTrial ? estimate.mean() : InterferenceEstimate.WEAK_COEFFICIENT) * use;
    }

    /** Records that a filling image starts on the worker of a serving image; may begin a trial. */
    void onFillingStart(String image, String filling, long now) {
        InterferenceEstimate estimate =
                interference
                        .computeIfAbsent(image, key -> new HashMap<>())
                        .computeIfAbsent(filling, key -> new InterferenceEstimate());
        if (!estimate.isCertain() && now - estimate.trialStartedAt() >= TRIAL_MILLIS) {
            estimate.onTrialStart(now);
            trialCount++;
        }
    }

    /** Returns the number of trials that have begun. */
    long trialCount() {
        return trialCount;
    }

    private InterferenceEstimate estimate(String image, String filling) {
        Map<String, InterferenceEstimate> byFilling = interference.get(image);
        return byFilling == null
                ? defaultEstimate
                : byFilling.getOrDefault(filling, defaultEstimate);
    }

    private double expectedMean(String image, long targetMillis) {
        return meanHeadroomByImage.getOrDefault(
                image, 1.0 / targetMillis / DEFAULT_REQUIRED_HEADROOM);
    }

    /** Returns the evidence on all pairs of images, to be stored for the next owner. */
    List<ModelSnapshot.ImagePair> imagePairs() {
        List<ModelSnapshot.ImagePair> pairs = new ArrayList<>();
        interference.forEach(
                (serving, byFilling) ->
                        byFilling.forEach(
                                (filling, estimate) -> {
                                    if (estimate.hasEvidence()) {
                                        pairs.add(
                                                new ModelSnapshot.ImagePair(
                                                        serving, filling, estimate.logOdds()));
                                    }
                                }));
        return pairs;
    }

    Map<String, Double> meanHeadroomByImage() {
        return meanHeadroomByImage;
    }

    int periodIndex() {
        return period;
    }

    /**
     * Adds the estimates of an earlier owner for images and pairs without an estimate of this
     * owner.
     */
    void restore(ModelSnapshot snapshot, long now) {
        if (snapshot.periodIndex() >= 0 && snapshot.periodIndex() < PeriodicFit.PERIOD_COUNT) {
            period = snapshot.periodIndex();
        }
        snapshot.meanHeadroomByImage().forEach(meanHeadroomByImage::putIfAbsent);
        for (ModelSnapshot.ImagePair pair : snapshot.imagePairs()) {
            interference
                    .computeIfAbsent(pair.serving(), key -> new HashMap<>())
                    .putIfAbsent(pair.filling(), InterferenceEstimate.of(pair.logOdds(), now));
        }
    }

    /** Removes the loads of a job that has ended. */
    void removeJob(String job) {
        loads.keySet().removeIf(loadKey -> loadKey.startsWith(job + STEP_SEPARATOR));
    }

    /**
     * Updates the model with a tail latency that a worker reported for a serving task.
     *
     * @param loadKey the key of the load that all tasks of the step share
     * @param image the image of the task
     * @param targetMillis its latency target
     * @param tailMillis the reported tail latency
     * @param fillShares by filling image on the worker, the fraction of the processor that it uses
     */
    void onTailLatency(
            String loadKey,
            String image,
            long targetMillis,
            double tailMillis,
            Map<String, Double> fillShares,
            long now) {
        if (tailMillis <= 0) {
            return;
        }
        choosePeriod(now);
        double expectedMean = expectedMean(image, targetMillis);
        Load load = loads.computeIfAbsent(loadKey, absent -> new Load(now, expectedMean));
        load.expectedMean = expectedMean;
        double mean = load.wave(period).mean();
        double observedHeadroom = Math.max(SATURATION_HEADROOM, 1 / tailMillis / mean);
        double ownHeadroom = load.headroom(period, now);
        double rounding = ROUNDING_MILLIS / tailMillis * observedHeadroom;
        double deviation = Math.hypot(load.deviation(period, now), rounding);
        updateInterference(image, ownHeadroom, observedHeadroom, deviation, fillShares, now);
        double expectedLoss = 0;
        for (Map.Entry<String, Double> use : fillShares.entrySet()) {
            expectedLoss += expectedLoss(image, use.getKey(), use.getValue());
        }
        double weight = 1 / (1 + square(expectedLoss / HALF_WEIGHT_LOSS));
        if (!fillShares.isEmpty()) {
            weight /=
                    1
                            + square(
                                    (ownHeadroom - expectedLoss - observedHeadroom)
                                            / (HALF_WEIGHT_DEVIATIONS * deviation));
        }
        load.add((observedHeadroom + expectedLoss) * mean, Math.max(MIN_WEIGHT, weight), now);
        double fitted = load.wave(period).mean();
        meanHeadroomByImage.merge(
                image, fitted, (average, sample) -> average + IMAGE_WEIGHT * (sample - average));
    }

    private void updateInterference(
            String image,
            double ownHeadroom,
            double observedHeadroom,
            double deviation,
            Map<String, Double> fillShares,
            long now) {
        double expectedLoss = 0;
        double variance = deviation * deviation;
        for (Map.Entry<String, Double> use : fillShares.entrySet()) {
            expectedLoss += expectedLoss(image, use.getKey(), use.getValue());
            variance += square(estimate(image, use.getKey()).standardDeviation() * use.getValue());
        }
        for (Map.Entry<String, Double> entry : fillShares.entrySet()) {
            double use = entry.getValue();
            if (use < MIN_USE) {
                continue;
            }
            InterferenceEstimate estimate = estimate(image, entry.getKey());
            double headroomBesideOthers = ownHeadroom - (expectedLoss - estimate.mean() * use);
            double otherVariance = variance - square(estimate.standardDeviation() * use);
            interference
                    .computeIfAbsent(image, key -> new HashMap<>())
                    .computeIfAbsent(entry.getKey(), key -> new InterferenceEstimate())
                    .observe(
                            coefficient ->
                                    logLikelihood(
                                            observedHeadroom,
                                            headroomBesideOthers - coefficient * use,
                                            otherVariance),
                            now);
        }
    }

    private static double logLikelihood(double observedHeadroom, double expected, double variance) {
        double error = observedHeadroom - Math.max(SATURATION_HEADROOM, expected);
        return -EVIDENCE_WEIGHT * error * error / (2 * variance);
    }

    /** Chooses the candidate period with the least error over all loads. */
    private void choosePeriod(long now) {
        if (now - periodChosenAt < PERIOD_CHOICE_INTERVAL_MILLIS) {
            return;
        }
        periodChosenAt = now;
        double least = Double.MAX_VALUE;
        int best = period;
        for (int i = 0; i < PeriodicFit.PERIOD_COUNT; i++) {
            double sum = 0;
            for (Load load : loads.values()) {
                double mean = load.wave(period).mean();
                sum += load.fit.fit(i, mean).squaredError() / (mean * mean);
            }
            if (sum < least) {
                least = sum;
                best = i;
            }
        }
        period = best;
    }

    private static double square(double value) {
        return value * value;
    }
}
