package org.peridotcourse.dispatch;

import java.util.Arrays;
import java.util.List;

/**
 * A Bayesian estimate of how much a filling image slows down a serving image on the same worker. It
 * is a probability distribution over a few discrete interference coefficients. The coefficient is
 * the fraction of the serving image's mean headroom that is lost, divided by the fraction of the
 * worker's processor that the filling image uses. Confined to one thread.
 */
final class InterferenceEstimate {
    /**
     * The possible coefficients. Most pairs interfere weakly or several times as strongly, with
     * hardly any in between.
     */
    private static final double[] COEFFICIENTS = {0.2, 0.5, 1, 2, 4, 8};

    /** Prior probability of each coefficient, from the reports of simulated days. */
    private static final double[] PRIOR = {0.35, 0.25, 0.08, 0.12, 0.12, 0.08};

    /** Time in which the weight of the evidence halves, since images may change. */
    private static final double HALF_LIFE_MILLIS = 60_000;

    /**
     * Limit of the evidence against a coefficient, as the natural logarithm of the odds. Beyond it,
     * later evidence could not make the coefficient probable again.
     */
    private static final double MAX_LOG_ODDS = 10;

    /** The coefficient of most pairs. */
    static final double WEAK_COEFFICIENT = 0.3;

    /** Ratio of standard deviation to mean from which the estimate counts as uncertain. */
    private static final double UNCERTAIN_RATIO = 0.8;

    /** Decayed log odds of each coefficient against the most likely one, without the prior. */
    private final double[] logOdds = new double[COEFFICIENTS.length];

    private double mean;
    private double standardDeviation;
    private long updatedAt;
    private long trialStartedAt = Long.MIN_VALUE / 2;

    InterferenceEstimate() {
        updateMoments();
    }

    /**
     * Restores an estimate from the evidence that an earlier owner stored. Evidence for another
     * number of coefficients is ignored.
     */
    static InterferenceEstimate of(List<Double> logOdds, long now) {
        InterferenceEstimate estimate = new InterferenceEstimate();
        if (logOdds.size() == COEFFICIENTS.length) {
            for (int i = 0; i < COEFFICIENTS.length; i++) {
                estimate.logOdds[i] = Math.max(-MAX_LOG_ODDS, Math.min(0, logOdds.get(i)));
            }
            estimate.updatedAt = now;
            estimate.updateMoments();
        }
        return estimate;
    }

    /** Returns the log odds of each coefficient against the most likely one, without the prior. */
    List<Double> logOdds() {
        return Arrays.stream(logOdds).boxed().toList();
    }

    /** Returns whether there is any evidence, from an observation or an earlier owner. */
    boolean hasEvidence() {
        return updatedAt != 0;
    }

    /** The log-likelihood function of one observation. */
    interface Likelihood {
        /** Returns the log-likelihood of the observation for a given coefficient. */
        double of(double coefficient);
    }

    /** Returns the expected coefficient. */
    double mean() {
        return mean;
    }

    /** Returns the standard deviation of the coefficient. */
    double standardDeviation() {
        return standardDeviation;
    }

    /**
     * Returns whether the estimate is certain enough: the deviation is small, or the coefficient
     * low.
     */
    boolean isCertain() {
        return standardDeviation < UNCERTAIN_RATIO * mean || mean + standardDeviation < 1;
    }

    /** Returns the start of the latest trial of the pair. */
    long trialStartedAt() {
        return trialStartedAt;
    }

    /** Records the start of a trial of the pair. */
    void onTrialStart(long now) {
        trialStartedAt = now;
    }

    /** Updates the estimate with an observation. */
    void observe(Likelihood likelihood, long now) {
        double decay = updatedAt == 0 ? 1 : Math.pow(0.5, (now - updatedAt) / HALF_LIFE_MILLIS);
        updatedAt = now;
        double highest = -Double.MAX_VALUE;
        for (int i = 0; i < COEFFICIENTS.length; i++) {
            logOdds[i] = logOdds[i] * decay + likelihood.of(COEFFICIENTS[i]);
            highest = Math.max(highest, logOdds[i]);
        }
        for (int i = 0; i < COEFFICIENTS.length; i++) {
            logOdds[i] = Math.max(-MAX_LOG_ODDS, logOdds[i] - highest);
        }
        updateMoments();
    }

    private void updateMoments() {
        double[] weights = new double[COEFFICIENTS.length];
        double sum = 0;
        for (int i = 0; i < COEFFICIENTS.length; i++) {
            weights[i] = PRIOR[i] * Math.exp(logOdds[i]);
            sum += weights[i];
        }
        mean = 0;
        double squares = 0;
        for (int i = 0; i < COEFFICIENTS.length; i++) {
            double probability = weights[i] / sum;
            mean += probability * COEFFICIENTS[i];
            squares += probability * COEFFICIENTS[i] * COEFFICIENTS[i];
        }
        standardDeviation = Math.sqrt(Math.max(0, squares - mean * mean));
    }
}
