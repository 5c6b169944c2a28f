package org.peridotcourse.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns which filling images press on which serving ones, from the tails of response times that
 * serving tasks report.
 *
 * <p>A tail is taken as that of a queue, {@code base / (1 - pressure)}, so {@code 1 - base / tail}
 * is a pressure: the task's own load, and for each harmful filling image beside it the share of the
 * worker's processor that the image uses times a common strength. A pair of images is either
 * harmful or not, and the model keeps the log-odds of that. Confined to one thread.
 */
final class TailModel {
    /** Pressure above which a tail says only that it is high. */
    private static final double SATURATED = 0.95;

    /** Share of the shortest tail that an idle task would have. */
    private static final double BASE_OF_SHORTEST = 0.8;

    private static final double PRIOR_LOAD = 0.5;
    private static final double LOAD_WEIGHT = 0.02;

    /** Share of pairs that are harmful. */
    private static final double PRIOR_HARMFUL = 0.35;

    private static final double PRIOR_STRENGTH = 1.8;
    private static final double LEAST_STRENGTH = 0.6;
    private static final double MOST_STRENGTH = 6;
    private static final double STRENGTH_WEIGHT = 0.03;

    /** Strong pairs press about this much more than the mean of all harmful ones. */
    private static final double SAFETY = 2.4;

    /** Standard deviation of a pressure, since the own load swings within seconds. */
    private static final double DEVIATION = 0.17;

    /** Reports that follow each other say much the same. */
    private static final double EVIDENCE_WEIGHT = 0.5;

    private static final double MOST_LOG_ODDS = 5;
    private static final double HALF_LIFE_MILLIS = 60_000;

    /** Probability from which a pair counts as certain. */
    private static final double CERTAIN = 0.9;

    private final Map<String, Serving> serving = new HashMap<>();
    private double strength = PRIOR_STRENGTH;

    /** What is known of one serving image. */
    private static final class Serving {
        final Map<String, Belief> beliefs = new HashMap<>();
        double shortest = Double.MAX_VALUE;
        double load = PRIOR_LOAD;
    }

    /** Evidence that a pair is harmful, beyond the share of harmful pairs. */
    private static final class Belief {
        double evidence;
        long at;

        double faded(long now) {
            return evidence * Math.pow(0.5, (now - at) / HALF_LIFE_MILLIS);
        }
    }

    /** Returns the pressure that a tail shows, between 0 and 1. */
    double pressure(String image, double tailMillis) {
        Serving known = serving.get(image);
        if (known == null || known.shortest == Double.MAX_VALUE || tailMillis <= 0) {
            return PRIOR_LOAD;
        }
        return Math.max(0, 1 - BASE_OF_SHORTEST * known.shortest / tailMillis);
    }

    /** Returns the usual load of a serving image. */
    double load(String image) {
        Serving known = serving.get(image);
        return known == null ? PRIOR_LOAD : known.load;
    }

    /**
     * Returns the pressure to plan for from a filling image: more than to expect, since the common
     * strength is a mean.
     *
     * @param use the share of the worker's processor that it uses
     */
    double planned(String image, String filling, double use, long now) {
        return SAFETY * added(image, filling, use, now);
    }

    /** Returns the probability that a filling image is harmful to a serving one. */
    double harmful(String image, String filling, long now) {
        Serving known = serving.get(image);
        Belief belief = known == null ? null : known.beliefs.get(filling);
        double odds = PRIOR_HARMFUL / (1 - PRIOR_HARMFUL);
        odds *= Math.exp(belief == null ? 0 : belief.faded(now));
        return odds / (1 + odds);
    }

    /**
     * Returns the pressure to expect from a filling image.
     *
     * @param use the share of the worker's processor that it uses
     */
    double added(String image, String filling, double use, long now) {
        return harmful(image, filling, now) * strength * use;
    }

    /**
     * Takes a report of a serving task.
     *
     * @param tailMillis the tail of its response times
     * @param uses by filling image beside it, the share of the worker's processor in use
     */
    void observe(String image, double tailMillis, Map<String, Double> uses, long now) {
        if (tailMillis <= 0) {
            return;
        }
        Serving known = serving.computeIfAbsent(image, key -> new Serving());
        known.shortest = Math.min(known.shortest, tailMillis);
        double pressure = pressure(image, tailMillis);
        double expected = known.load;
        for (Map.Entry<String, Double> use : uses.entrySet()) {
            expected += added(image, use.getKey(), use.getValue(), now);
        }
        Map<String, Double> evidence = new HashMap<>();
        for (Map.Entry<String, Double> use : uses.entrySet()) {
            String filling = use.getKey();
            double others = expected - added(image, filling, use.getValue(), now);
            double harmed = others + strength * use.getValue();
            evidence.put(filling, logRatio(pressure, others, harmed));
            learnStrength(image, filling, use.getValue(), pressure - others, pressure, now);
        }
        evidence.forEach((filling, change) -> add(known, filling, change, now));
        if (pressure < SATURATED) {
            double own = Math.max(0, pressure - (expected - known.load));
            known.load += LOAD_WEIGHT * (own - known.load);
        }
    }

    private static double logRatio(double pressure, double calm, double harmed) {
        double seen = Math.min(pressure, SATURATED);
        double fromCalm = seen - Math.min(calm, SATURATED);
        double fromHarmed = seen - Math.min(harmed, SATURATED);
        double scale = 2 * DEVIATION * DEVIATION;
        return EVIDENCE_WEIGHT * (fromCalm * fromCalm - fromHarmed * fromHarmed) / scale;
    }

    private void learnStrength(
            String image, String filling, double use, double rest, double pressure, long now) {
        boolean tells = pressure < SATURATED && use > 0.05;
        if (tells && harmful(image, filling, now) > CERTAIN) {
            double sample = Math.max(LEAST_STRENGTH, Math.min(MOST_STRENGTH, rest / use));
            strength += STRENGTH_WEIGHT * (sample - strength);
        }
    }

    private static void add(Serving known, String filling, double change, long now) {
        Belief belief = known.beliefs.computeIfAbsent(filling, key -> new Belief());
        double evidence = belief.faded(now) + change;
        belief.evidence = Math.max(-MOST_LOG_ODDS, Math.min(MOST_LOG_ODDS, evidence));
        belief.at = now;
    }
}
