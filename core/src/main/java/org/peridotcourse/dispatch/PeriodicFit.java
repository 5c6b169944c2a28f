package org.peridotcourse.dispatch;

/**
 * Fits a mean and one sine wave to weighted readings, for each of several candidate periods, by
 * least squares. Old readings fade. Confined to one thread.
 */
final class PeriodicFit {
    /** Candidate periods reach from 5 s to 40 s, so that a wave shows within a minute. */
    private static final double SHORTEST_MILLIS = 5_000;

    private static final double LONGEST_MILLIS = 40_000;

    /** Neighbouring periods drift apart by a tenth of a period while readings fade. */
    private static final double PERIOD_RATIO = 1.03;

    /** The number of candidate periods. */
    static final int PERIODS =
            1 + (int) (Math.log(LONGEST_MILLIS / SHORTEST_MILLIS) / Math.log(PERIOD_RATIO));

    private static final double[] PERIOD_MILLIS = periods();

    /** Two to three periods, after which a wave may have changed. */
    private static final double FADE_MILLIS = 25_000;

    /** Weight of the expected mean, in readings. */
    private static final double MEAN_WEIGHT = 8;

    /** Weight of the expectation that there is no wave, in readings. */
    private static final double FLAT_WEIGHT = 1;

    private final double[] sines = new double[PERIODS];
    private final double[] cosines = new double[PERIODS];
    private final double[] sineSquares = new double[PERIODS];
    private final double[] products = new double[PERIODS];
    private final double[] valueSines = new double[PERIODS];
    private final double[] valueCosines = new double[PERIODS];
    private double weight;
    private double values;
    private double squares;
    private long at;

    /**
     * A fitted wave.
     *
     * @param mean the mean
     * @param sine the factor of the sine
     * @param cosine the factor of the cosine
     * @param error the weighted sum of squared errors
     */
    record Wave(double mean, double sine, double cosine, double error) {
        /** Returns the value at a time. */
        double at(int period, double millis) {
            double angle = angle(period, millis);
            return mean + sine * Math.sin(angle) + cosine * Math.cos(angle);
        }
    }

    private static double[] periods() {
        double[] periods = new double[PERIODS];
        for (int i = 0; i < PERIODS; i++) {
            periods[i] = SHORTEST_MILLIS * Math.pow(PERIOD_RATIO, i);
        }
        return periods;
    }

    /** Returns a candidate period in milliseconds. */
    static double periodMillis(int period) {
        return PERIOD_MILLIS[period];
    }

    private static double angle(int period, double millis) {
        double length = PERIOD_MILLIS[period];
        return 2 * Math.PI * (millis % length) / length;
    }

    /** Returns the weight of the readings that have not faded. */
    double weight() {
        return weight;
    }

    /** Takes a reading. */
    void add(double value, double readingWeight, long now) {
        fade(now);
        weight += readingWeight;
        values += readingWeight * value;
        squares += readingWeight * value * value;
        for (int i = 0; i < PERIODS; i++) {
            double angle = angle(i, now);
            double sine = Math.sin(angle);
            double cosine = Math.cos(angle);
            sines[i] += readingWeight * sine;
            cosines[i] += readingWeight * cosine;
            sineSquares[i] += readingWeight * sine * sine;
            products[i] += readingWeight * sine * cosine;
            valueSines[i] += readingWeight * value * sine;
            valueCosines[i] += readingWeight * value * cosine;
        }
    }

    private void fade(long now) {
        double kept = Math.exp((at - now) / FADE_MILLIS);
        at = now;
        weight *= kept;
        values *= kept;
        squares *= kept;
        for (int i = 0; i < PERIODS; i++) {
            sines[i] *= kept;
            cosines[i] *= kept;
            sineSquares[i] *= kept;
            products[i] *= kept;
            valueSines[i] *= kept;
            valueCosines[i] *= kept;
        }
    }

    /** Solves the normal equations for one period by Cramer's rule. */
    Wave fit(int period, double expectedMean) {
        double a = weight + MEAN_WEIGHT;
        double b = sines[period];
        double c = cosines[period];
        double d = sineSquares[period] + FLAT_WEIGHT;
        double e = products[period];
        double f = weight - sineSquares[period] + FLAT_WEIGHT;
        double p = values + MEAN_WEIGHT * expectedMean;
        double q = valueSines[period];
        double r = valueCosines[period];
        double det = a * (d * f - e * e) - b * (b * f - c * e) + c * (b * e - c * d);
        double mean = (p * (d * f - e * e) - b * (q * f - r * e) + c * (q * e - r * d)) / det;
        double sine = (a * (q * f - r * e) - p * (b * f - c * e) + c * (b * r - c * q)) / det;
        double cosine = (a * (d * r - e * q) - b * (b * r - c * q) + p * (b * e - c * d)) / det;
        double total = squares + MEAN_WEIGHT * expectedMean * expectedMean;
        double error = Math.max(0, total - mean * p - sine * q - cosine * r);
        return new Wave(mean, sine, cosine, error);
    }
}
