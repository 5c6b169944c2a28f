package org.peridotcourse.dispatch;

import java.util.Arrays;
import java.util.List;

/**
 * A Bayesian estimate of how much a filling image slows down a serving image on the same worker. It
 * is a probability distribution over a few discrete interference coefficients. The coefficient is
 * the fraction of the serving image's mean headroom that is lost, divided by the fraction of the
 * worker's processor that the filling image uses. Confined to one thread.
 */
final class StrengthBelief {
    /**
     * The possible coefficients. Most pairs interfere weakly or several times as strongly, with
     * hardly any in between.
     */
    private static final double[] STRENGTHS = {0.2, 0.5, 1, 2, 4, 8};

    /** Prior probability of each coefficient, from the reports of simulated days. */
    private static final double[] PRIOR = {0.35, 0.25, 0.08, 0.12, 0.12, 0.08};

    /** Time in which the weight of the evidence halves, since images may change. */
    private static final double HALF_LIFE_MILLIS = 60_000;

    /**
     * Limit of the evidence against a coefficient, as the natural logarithm of the odds. Beyond it,
     * later evidence could not make the coefficient probable again.
     */
    private static final double MOST_EVIDENCE = 10;

    /** The coefficient of most pairs. */
    static final double WEAK = 0.3;

    /** Ratio of standard deviation to mean from which the estimate counts as uncertain. */
    private static final double UNKNOWN_SHARE = 0.8;

    /** Decayed log odds of each coefficient against the most likely one, without the prior. */
    private final double[] evidence = new double[STRENGTHS.length];

    private double mean;
    private double deviation;
    private long at;
    private long triedAt = Long.MIN_VALUE / 2;

    StrengthBelief() {
        update();
    }

    /**
     * Restores an estimate from the evidence that an earlier owner stored. Evidence for another
     * number of coefficients is ignored.
     */
    static StrengthBelief of(List<Double> evidence, long now) {
        StrengthBelief estimate = new StrengthBelief();
        if (evidence.size() == STRENGTHS.length) {
            for (int i = 0; i < STRENGTHS.length; i++) {
                estimate.evidence[i] = Math.max(-MOST_EVIDENCE, Math.min(0, evidence.get(i)));
            }
            estimate.at = now;
            estimate.update();
        }
        return estimate;
    }

    /** Returns the log odds of each coefficient against the most likely one, without the prior. */
    List<Double> evidence() {
        return Arrays.stream(evidence).boxed().toList();
    }

    /** Returns whether there is any evidence, from an observation or an earlier owner. */
    boolean hasEvidence() {
        return at != 0;
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
    double deviation() {
        return deviation;
    }

    /**
     * Returns whether the estimate is certain enough: the deviation is small, or the coefficient
     * low.
     */
    boolean isKnown() {
        return deviation < UNKNOWN_SHARE * mean || mean + deviation < 1;
    }

    /** Returns the start of the latest trial of the pair. */
    long triedAt() {
        return triedAt;
    }

    /** Records the start of a trial of the pair. */
    void onTry(long now) {
        triedAt = now;
    }

    /** Updates the estimate with an observation. */
    void observe(Likelihood likelihood, long now) {
        double decay = at == 0 ? 1 : Math.pow(0.5, (now - at) / HALF_LIFE_MILLIS);
        at = now;
        double highest = -Double.MAX_VALUE;
        for (int i = 0; i < STRENGTHS.length; i++) {
            evidence[i] = evidence[i] * decay + likelihood.of(STRENGTHS[i]);
            highest = Math.max(highest, evidence[i]);
        }
        for (int i = 0; i < STRENGTHS.length; i++) {
            evidence[i] = Math.max(-MOST_EVIDENCE, evidence[i] - highest);
        }
        update();
    }

    private void update() {
        double[] weights = new double[STRENGTHS.length];
        double sum = 0;
        for (int i = 0; i < STRENGTHS.length; i++) {
            weights[i] = PRIOR[i] * Math.exp(evidence[i]);
            sum += weights[i];
        }
        mean = 0;
        double squares = 0;
        for (int i = 0; i < STRENGTHS.length; i++) {
            double probability = weights[i] / sum;
            mean += probability * STRENGTHS[i];
            squares += probability * STRENGTHS[i] * STRENGTHS[i];
        }
        deviation = Math.sqrt(Math.max(0, squares - mean * mean));
    }
}
