package org.peridotcourse.standins;

import java.util.Random;

/**
 * Generates service times from a random distribution with a seed: {@code fixed:5}, {@code
 * exponential:5} (mean) or {@code lognormal:5:0.6} (median and sigma). Times are in milliseconds.
 * This class is thread-safe.
 */
final class ServiceTimes {
    private final Random random;
    private final String distribution;
    private final double scaleMillis;
    private final double sigma;

    private ServiceTimes(Random random, String distribution, double scaleMillis, double sigma) {
        this.random = random;
        this.distribution = distribution;
        this.scaleMillis = scaleMillis;
        this.sigma = sigma;
    }

    static ServiceTimes parse(String text, long seed) {
        String[] parts = text.split(":");
        boolean supported = parts[0].matches("fixed|exponential|lognormal");
        if (!supported || parts.length != (parts[0].equals("lognormal") ? 3 : 2)) {
            throw new MalformedRequestException("unknown distribution: " + text);
        }
        double sigma = parts.length == 3 ? Double.parseDouble(parts[2]) : 0;
        return new ServiceTimes(new Random(seed), parts[0], Double.parseDouble(parts[1]), sigma);
    }

    synchronized double nextMillis() {
        switch (distribution) {
            case "exponential":
                return -Math.log(1 - random.nextDouble()) * scaleMillis;
            case "lognormal":
                return Math.exp(random.nextGaussian() * sigma) * scaleMillis;
            default:
                return scaleMillis;
        }
    }
}
