package org.peridotcourse.dispatch;

/**
 * Fits a mean and one sine wave to weighted samples by least squares, for each of several candidate
 * periods. The weight of a sample decays exponentially with its age. Confined to one thread.
 */
final class PeriodicFit {
    /** Candidate periods range from 5 s to 40 s, so that a wave can be detected within a minute. */
    private static final double MIN_PERIOD_MILLIS = 5_000;

    private static final double MAX_PERIOD_MILLIS = 40_000;

    /**
     * Ratio of neighbouring candidate periods. Two waves with neighbouring periods drift apart by a
     * tenth of a period in the time in which samples decay.
     */
    private static final double PERIOD_RATIO = 1.03;

    /** The number of candidate periods. */
    static final int PERIOD_COUNT =
            1 + (int) (Math.log(MAX_PERIOD_MILLIS / MIN_PERIOD_MILLIS) / Math.log(PERIOD_RATIO));

    private static final double[] PERIOD_MILLIS = periods();

    /** Time constant of the decay: two to three periods, after which a wave may have changed. */
    private static final double DECAY_MILLIS = 25_000;

    /** Weight of the expected mean, as a number of samples. */
    private static final double MEAN_WEIGHT = 8;

    /** Weight of the prior expectation of an amplitude of 0, as a number of samples. */
    private static final double ZERO_AMPLITUDE_WEIGHT = 1;

    private final double[] sines = new double[PERIOD_COUNT];
    private final double[] cosines = new double[PERIOD_COUNT];
    private final double[] sineSquares = new double[PERIOD_COUNT];
    private final double[] sineCosines = new double[PERIOD_COUNT];
    private final double[] valueSines = new double[PERIOD_COUNT];
    private final double[] valueCosines = new double[PERIOD_COUNT];
    private double weight;
    private double valueSum;
    private double valueSquares;
    private long decayedAt;

    /**
     * A fitted wave: a mean plus multiples of a sine and a cosine of the same period.
     *
     * @param mean the mean
     * @param sineCoefficient the coefficient of the sine
     * @param cosineCoefficient the coefficient of the cosine
     * @param squaredError the weighted sum of squared errors
     */
    record Wave(
            double mean, double sineCoefficient, double cosineCoefficient, double squaredError) {
        /**
         * Returns the value of the wave.
         *
         * @param period the index of the candidate period
         * @param millis the time
         */
        double valueAt(int period, double millis) {
            double angle = angle(period, millis);
            return mean + sineCoefficient * Math.sin(angle) + cosineCoefficient * Math.cos(angle);
        }
    }

    private static double[] periods() {
        double[] periods = new double[PERIOD_COUNT];
        for (int i = 0; i < PERIOD_COUNT; i++) {
            periods[i] = MIN_PERIOD_MILLIS * Math.pow(PERIOD_RATIO, i);
        }
        return periods;
    }

    /** Returns the length of the candidate period with an index. */
    static double periodMillis(int period) {
        return PERIOD_MILLIS[period];
    }

    private static double angle(int period, double millis) {
        double length = PERIOD_MILLIS[period];
        return 2 * Math.PI * (millis % length) / length;
    }

    /** Returns the sum of the decayed weights of all samples. */
    double totalWeight() {
        return weight;
    }

    /** Adds a sample. */
    void addSample(double value, double sampleWeight, long now) {
        decay(now);
        weight += sampleWeight;
        valueSum += sampleWeight * value;
        valueSquares += sampleWeight * value * value;
        for (int i = 0; i < PERIOD_COUNT; i++) {
            double angle = angle(i, now);
            double sine = Math.sin(angle);
            double cosine = Math.cos(angle);
            sines[i] += sampleWeight * sine;
            cosines[i] += sampleWeight * cosine;
            sineSquares[i] += sampleWeight * sine * sine;
            sineCosines[i] += sampleWeight * sine * cosine;
            valueSines[i] += sampleWeight * value * sine;
            valueCosines[i] += sampleWeight * value * cosine;
        }
    }

    private void decay(long now) {
        double decay = Math.exp((decayedAt - now) / DECAY_MILLIS);
        decayedAt = now;
        weight *= decay;
        valueSum *= decay;
        valueSquares *= decay;
        for (int i = 0; i < PERIOD_COUNT; i++) {
            sines[i] *= decay;
            cosines[i] *= decay;
            sineSquares[i] *= decay;
            sineCosines[i] *= decay;
            valueSines[i] *= decay;
            valueCosines[i] *= decay;
        }
    }

    /**
     * Solves the normal equations for one candidate period by Cramer's rule.
     *
     * @param period the index of the candidate period
     * @param expectedMean the prior mean, which has the weight of several samples
     */
    Wave fit(int period, double expectedMean) {
        double a = weight + MEAN_WEIGHT;
        double b = sines[period];
        double c = cosines[period];
        double d = sineSquares[period] + ZERO_AMPLITUDE_WEIGHT;
        double e = sineCosines[period];
        double f = weight - sineSquares[period] + ZERO_AMPLITUDE_WEIGHT;
        double p = valueSum + MEAN_WEIGHT * expectedMean;
        double q = valueSines[period];
        double r = valueCosines[period];
        double det = a * (d * f - e * e) - b * (b * f - c * e) + c * (b * e - c * d);
        double mean = (p * (d * f - e * e) - b * (q * f - r * e) + c * (q * e - r * d)) / det;
        double sine = (a * (q * f - r * e) - p * (b * f - c * e) + c * (b * r - c * q)) / det;
        double cosine = (a * (d * r - e * q) - b * (b * r - c * q) + p * (b * e - c * d)) / det;
        double total = valueSquares + MEAN_WEIGHT * expectedMean * expectedMean;
        double error = Math.max(0, total - mean * p - sine * q - cosine * r);
        return new Wave(mean, sine, cosine, error);
    }
}
