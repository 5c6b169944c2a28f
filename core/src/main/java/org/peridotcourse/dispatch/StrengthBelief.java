package org.peridotcourse.dispatch;

import java.util.Arrays;
import java.util.List;

/**
 * What is known of how strongly a filling image presses on a serving one: a probability for each of
 * a few strengths. A strength is the share of the serving image's mean headroom that is lost for
 * each share of the worker's processor that the filling image uses. Confined to one thread.
 */
final class StrengthBelief {
    /** A pair presses weakly, or several times as strongly; hardly any lies between. */
    private static final double[] STRENGTHS = {0.2, 0.5, 1, 2, 4, 8};

    /** Shares of all pairs, from the reports of played days. */
    private static final double[] PRIOR = {0.35, 0.25, 0.08, 0.12, 0.12, 0.08};

    /** Half of the evidence is forgotten in this time, since images may change. */
    private static final double HALF_LIFE_MILLIS = 60_000;

    /** Evidence beyond this leaves no way back, as natural logarithm of the odds. */
    private static final double MOST_EVIDENCE = 10;

    /** The strength of most pairs. */
    static final double WEAK = 0.3;

    /** Deviation, as a share of the mean, from which a pair counts as unknown. */
    private static final double UNKNOWN_SHARE = 0.8;

    private final double[] evidence = new double[STRENGTHS.length];
    private double mean;
    private double deviation;
    private long at;
    private long triedAt = Long.MIN_VALUE / 2;

    StrengthBelief() {
        update();
    }

    /** Returns a belief from evidence of an earlier owner; other lengths tell nothing. */
    static StrengthBelief of(List<Double> evidence, long now) {
        StrengthBelief belief = new StrengthBelief();
        if (evidence.size() == STRENGTHS.length) {
            for (int i = 0; i < STRENGTHS.length; i++) {
                belief.evidence[i] = Math.max(-MOST_EVIDENCE, Math.min(0, evidence.get(i)));
            }
            belief.at = now;
            belief.update();
        }
        return belief;
    }

    /** Returns the logarithms of the odds of each strength. */
    List<Double> evidence() {
        return Arrays.stream(evidence).boxed().toList();
    }

    /** Tells whether a reading was taken. */
    boolean hasEvidence() {
        return at != 0;
    }

    /** Tells how well a strength explains a reading. */
    interface Likelihood {
        /** Returns the logarithm of the likelihood of a strength. */
        double of(double strength);
    }

    /** Returns the strength to expect. */
    double mean() {
        return mean;
    }

    /** Returns the standard deviation of the strength. */
    double deviation() {
        return deviation;
    }

    /** Tells whether readings have told the strength. */
    boolean isKnown() {
        return deviation < UNKNOWN_SHARE * mean || mean + deviation < 1;
    }

    /** Returns when a trial of the pair began. */
    long triedAt() {
        return triedAt;
    }

    /** Takes note that a trial begins. */
    void onTry(long now) {
        triedAt = now;
    }

    /** Takes a reading. */
    void observe(Likelihood likelihood, long now) {
        double kept = at == 0 ? 1 : Math.pow(0.5, (now - at) / HALF_LIFE_MILLIS);
        at = now;
        double best = -Double.MAX_VALUE;
        for (int i = 0; i < STRENGTHS.length; i++) {
            evidence[i] = evidence[i] * kept + likelihood.of(STRENGTHS[i]);
            best = Math.max(best, evidence[i]);
        }
        for (int i = 0; i < STRENGTHS.length; i++) {
            evidence[i] = Math.max(-MOST_EVIDENCE, evidence[i] - best);
        }
        update();
    }

    private void update() {
        double[] shares = new double[STRENGTHS.length];
        double sum = 0;
        for (int i = 0; i < STRENGTHS.length; i++) {
            shares[i] = PRIOR[i] * Math.exp(evidence[i]);
            sum += shares[i];
        }
        mean = 0;
        double squares = 0;
        for (int i = 0; i < STRENGTHS.length; i++) {
            double share = shares[i] / sum;
            mean += share * STRENGTHS[i];
            squares += share * STRENGTHS[i] * STRENGTHS[i];
        }
        deviation = Math.sqrt(Math.max(0, squares - mean * mean));
    }
}
