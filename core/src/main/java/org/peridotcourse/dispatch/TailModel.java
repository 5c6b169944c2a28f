package org.peridotcourse.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Learns how the response times of serving tasks depend on their own load and on the filling images
 * beside them.
 *
 * <p>A tail is taken as that of a queue, so that its inverse is the headroom that a task has left,
 * up to a constant. The own load of a job is a wave with a period that all jobs share; its tasks
 * have the same load at any time. Each filling image beside a task takes headroom in proportion to
 * the share of the worker's processor that it uses. Headrooms are given in multiples of the mean of
 * the job without neighbours. Confined to one thread.
 */
final class TailModel {
    /** Stands between the id of a job and the number of its step. */
    static final char STEP_MARK = '/';

    /** Strength from which a pair counts as harmful. */
    static final double HARMFUL = 0.8;

    /** Headroom that a task needs to stay under its bound, before its tails are known. */
    private static final double USUAL_NEED = 0.45;

    /** Deviation of the headroom of a job whose wave is not known. */
    private static final double UNKNOWN_DEVIATION = 0.28;

    /** Weight of the unknown deviation, in readings. */
    private static final double UNKNOWN_WEIGHT = 4;

    /** Share of a period that must be seen before a wave is extrapolated. */
    private static final double SEEN_SHARE = 0.6;

    /** Multiple of the deviation that is left free when filling tasks are planned. */
    private static final double CAUTION = 1;

    /** Below this headroom a tail says only that it is high. */
    private static final double SATURATED = 0.1;

    /** Errors that no reading is free of. */
    private static final double LEAST_DEVIATION = 0.05;

    /** Tails are whole milliseconds; the standard deviation of the rounding. */
    private static final double ROUNDING_MILLIS = 0.3;

    /** Tasks of a job on one worker, and reports that follow each other, say much the same. */
    private static final double EVIDENCE_WEIGHT = 0.3;

    /** Loss of headroom by neighbours that halves the weight of a reading for the own load. */
    private static final double DISTURBED = 0.1;

    /** Multiple of the deviation from which a reading counts less for the own load. */
    private static final double OUTLIER = 2;

    /** Outliers keep this weight, so that a load that has really changed is learned. */
    private static final double LEAST_WEIGHT = 0.03;

    /** Share of the processor from which a reading tells something of a pair. */
    private static final double LEAST_USE = 0.005;

    /** Weight of a job's mean for the mean that is expected of its image. */
    private static final double IMAGE_WEIGHT = 0.02;

    /** Time between two choices of the period, which takes one fit for each job and period. */
    private static final long CHOICE_MILLIS = 1_000;

    /** Headrooms are foreseen in steps of this length, a small part of the shortest period. */
    private static final long STEP_MILLIS = 250;

    /** Filling tasks are planned for 5 s ahead at most. */
    private static final int FORESEEN_STEPS = 21;

    /** Time in which reports tell the strength of a pair that is tried. */
    private static final long TRIAL_MILLIS = 1_500;

    private final Map<String, Load> loads = new HashMap<>();
    private final Map<String, Double> imageMeans = new HashMap<>();
    private final Map<String, Map<String, StrengthBelief>> beliefs = new HashMap<>();
    private final StrengthBelief unknown = new StrengthBelief();
    private int period;
    private long trials;
    private long chosenAt;

    /** The own load of one job. */
    private static final class Load {
        final PeriodicFit fit = new PeriodicFit();
        final long since;
        double expectedMean;
        private final double[] least = new double[FORESEEN_STEPS];
        private PeriodicFit.Wave wave;
        private int period = -1;
        private double deviation = UNKNOWN_DEVIATION;
        private long foreseenAt;

        Load(long since, double expectedMean) {
            this.since = since;
            this.expectedMean = expectedMean;
        }

        void add(double reading, double weight, long now) {
            fit.add(reading, weight, now);
            wave = null;
        }

        double headroom(int chosen, double atMillis) {
            PeriodicFit.Wave present = wave(chosen);
            return Math.max(2 * SATURATED, present.at(chosen, atMillis) / present.mean());
        }

        /** Returns the standard deviation of the headroom. */
        double deviation(int chosen, long now) {
            if (now - since < SEEN_SHARE * PeriodicFit.periodMillis(chosen)) {
                return UNKNOWN_DEVIATION;
            }
            PeriodicFit.Wave present = wave(chosen);
            double error = present.error() / (present.mean() * present.mean());
            error += UNKNOWN_WEIGHT * UNKNOWN_DEVIATION * UNKNOWN_DEVIATION;
            double variance = error / (fit.weight() + UNKNOWN_WEIGHT);
            return Math.max(LEAST_DEVIATION, Math.sqrt(variance));
        }

        /** Returns the least headroom during some time from now, less a margin. */
        double leastHeadroom(int chosen, long now, long forMillis) {
            if (now - foreseenAt >= STEP_MILLIS || foreseenAt == 0) {
                foreseenAt = now;
                deviation = deviation(chosen, now);
                double lowest = Double.MAX_VALUE;
                for (int i = 0; i < FORESEEN_STEPS; i++) {
                    lowest = Math.min(lowest, headroom(chosen, now + i * STEP_MILLIS));
                    least[i] = lowest;
                }
            }
            int steps = (int) Math.min(FORESEEN_STEPS - 1, forMillis / STEP_MILLIS);
            return least[steps] - CAUTION * deviation;
        }

        PeriodicFit.Wave wave(int chosen) {
            if (wave == null || period != chosen) {
                period = chosen;
                wave = fit.fit(chosen, expectedMean);
            }
            return wave;
        }
    }

    /** Returns the headroom to expect without neighbours. */
    double headroom(String key, double atMillis) {
        Load load = loads.get(key);
        return load == null ? 1 : load.headroom(period, atMillis);
    }

    /** Returns the headroom that a task needs to stay under its bound. */
    double needed(String key, String image, long targetMillis) {
        Load load = loads.get(key);
        double mean = load == null ? expectedMean(image, targetMillis) : load.wave(period).mean();
        return 1.0 / targetMillis / mean;
    }

    /**
     * Returns the headroom that filling tasks may take until a given time from now.
     *
     * @param forMillis how long they will stay
     */
    double slack(String key, String image, long targetMillis, long now, long forMillis) {
        Load load = loads.get(key);
        double least =
                load == null
                        ? 1 - CAUTION * UNKNOWN_DEVIATION
                        : load.leastHeadroom(period, now, forMillis);
        return least - needed(key, image, targetMillis);
    }

    /** Returns the strength to expect of a pair. */
    double strength(String image, String filling) {
        return belief(image, filling).mean();
    }

    /** Tells whether a pair is known to press weakly, so that any number of such tasks is borne. */
    boolean isMild(String image, String filling) {
        StrengthBelief belief = belief(image, filling);
        return belief.isKnown() && belief.mean() < HARMFUL;
    }

    /**
     * Returns the headroom to expect to be taken by a filling image.
     *
     * @param use the share of the worker's processor that it uses
     */
    double added(String image, String filling, double use) {
        return belief(image, filling).mean() * use;
    }

    /**
     * Returns the headroom to plan for. The first start of a pair that is not well known counts as
     * weak, so that the pair is tried; others count for what is to be expected until then.
     *
     * @param use the share of the worker's processor that it uses
     */
    double planned(String image, String filling, double use, long now) {
        StrengthBelief belief = belief(image, filling);
        if (belief.isKnown()) {
            return belief.mean() * use;
        }
        boolean tried = now - belief.triedAt() < TRIAL_MILLIS;
        return (tried ? belief.mean() : StrengthBelief.WEAK) * use;
    }

    /** Takes note that a filling image starts beside a serving one. */
    void onStart(String image, String filling, long now) {
        StrengthBelief belief =
                beliefs.computeIfAbsent(image, key -> new HashMap<>())
                        .computeIfAbsent(filling, key -> new StrengthBelief());
        if (!belief.isKnown() && now - belief.triedAt() >= TRIAL_MILLIS) {
            belief.onTry(now);
            trials++;
        }
    }

    /** Returns the number of trials of pairs that are not well known. */
    long trials() {
        return trials;
    }

    private StrengthBelief belief(String image, String filling) {
        Map<String, StrengthBelief> known = beliefs.get(image);
        return known == null ? unknown : known.getOrDefault(filling, unknown);
    }

    private double expectedMean(String image, long targetMillis) {
        return imageMeans.getOrDefault(image, 1.0 / targetMillis / USUAL_NEED);
    }

    /** Returns the evidence on all pairs of images. */
    List<Learned.Pair> pairs() {
        List<Learned.Pair> pairs = new ArrayList<>();
        beliefs.forEach(
                (serving, byFilling) ->
                        byFilling.forEach(
                                (filling, belief) -> {
                                    if (belief.hasEvidence()) {
                                        pairs.add(
                                                new Learned.Pair(
                                                        serving, filling, belief.evidence()));
                                    }
                                }));
        return pairs;
    }

    Map<String, Double> imageMeans() {
        return imageMeans;
    }

    int period() {
        return period;
    }

    /** Takes what an earlier owner learned; what this one has learned goes first. */
    void restore(Learned learned, long now) {
        if (learned.period() >= 0 && learned.period() < PeriodicFit.PERIODS) {
            period = learned.period();
        }
        learned.imageMeans().forEach(imageMeans::putIfAbsent);
        for (Learned.Pair pair : learned.pairs()) {
            beliefs.computeIfAbsent(pair.serving(), key -> new HashMap<>())
                    .putIfAbsent(pair.filling(), StrengthBelief.of(pair.evidence(), now));
        }
    }

    /** Forgets the loads of a job that has ended. */
    void forget(String job) {
        loads.keySet().removeIf(load -> load.startsWith(job + STEP_MARK));
    }

    /**
     * Takes a report of a serving task.
     *
     * @param key names the load that the tasks of its step share
     * @param image what the task runs
     * @param targetMillis the bound of its tail
     * @param tailMillis the tail of its response times
     * @param uses by filling image beside it, the share of the worker's processor in use
     */
    void observe(
            String key,
            String image,
            long targetMillis,
            double tailMillis,
            Map<String, Double> uses,
            long now) {
        if (tailMillis <= 0) {
            return;
        }
        choosePeriod(now);
        double expectedMean = expectedMean(image, targetMillis);
        Load load = loads.computeIfAbsent(key, absent -> new Load(now, expectedMean));
        load.expectedMean = expectedMean;
        double mean = load.wave(period).mean();
        double seen = Math.max(SATURATED, 1 / tailMillis / mean);
        double own = load.headroom(period, now);
        double rounding = ROUNDING_MILLIS / tailMillis * seen;
        double deviation = Math.hypot(load.deviation(period, now), rounding);
        learnStrengths(image, own, seen, deviation, uses, now);
        double taken = 0;
        for (Map.Entry<String, Double> use : uses.entrySet()) {
            taken += added(image, use.getKey(), use.getValue());
        }
        double weight = 1 / (1 + square(taken / DISTURBED));
        if (!uses.isEmpty()) {
            weight /= 1 + square((own - taken - seen) / (OUTLIER * deviation));
        }
        load.add((seen + taken) * mean, Math.max(LEAST_WEIGHT, weight), now);
        double fitted = load.wave(period).mean();
        imageMeans.merge(image, fitted, (old, found) -> old + IMAGE_WEIGHT * (found - old));
    }

    private void learnStrengths(
            String image,
            double own,
            double seen,
            double deviation,
            Map<String, Double> uses,
            long now) {
        double taken = 0;
        double variance = deviation * deviation;
        for (Map.Entry<String, Double> use : uses.entrySet()) {
            taken += added(image, use.getKey(), use.getValue());
            variance += square(belief(image, use.getKey()).deviation() * use.getValue());
        }
        for (Map.Entry<String, Double> entry : uses.entrySet()) {
            double use = entry.getValue();
            if (use < LEAST_USE) {
                continue;
            }
            StrengthBelief belief = belief(image, entry.getKey());
            double others = own - (taken - belief.mean() * use);
            double noise = variance - square(belief.deviation() * use);
            beliefs.computeIfAbsent(image, key -> new HashMap<>())
                    .computeIfAbsent(entry.getKey(), key -> new StrengthBelief())
                    .observe(strength -> logLikelihood(seen, others - strength * use, noise), now);
        }
    }

    private static double logLikelihood(double seen, double expected, double variance) {
        double error = seen - Math.max(SATURATED, expected);
        return -EVIDENCE_WEIGHT * error * error / (2 * variance);
    }

    /** Takes the period that explains the loads of all jobs best. */
    private void choosePeriod(long now) {
        if (now - chosenAt < CHOICE_MILLIS) {
            return;
        }
        chosenAt = now;
        double least = Double.MAX_VALUE;
        int best = period;
        for (int i = 0; i < PeriodicFit.PERIODS; i++) {
            double sum = 0;
            for (Load load : loads.values()) {
                double mean = load.wave(period).mean();
                sum += load.fit.fit(i, mean).error() / (mean * mean);
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
