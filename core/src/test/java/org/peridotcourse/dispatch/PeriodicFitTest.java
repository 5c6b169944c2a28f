package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against a wave that is fitted with a wrong mean, phase or period. */
class PeriodicFitTest {
    private static final double MEAN = 0.05;
    private static final double AMPLITUDE = 0.02;
    private static final long STEP_MILLIS = 100;

    private final PeriodicFit fit = new PeriodicFit();

    private static double value(double period, double at) {
        return MEAN + AMPLITUDE * Math.sin(2 * Math.PI * at / period + 0.7);
    }

    private void add(double period, long from, long to) {
        for (long at = from; at < to; at += STEP_MILLIS) {
            fit.addSample(value(period, at), 1, at);
        }
    }

    private int bestPeriod() {
        int bestPeriod = 0;
        for (int i = 1; i < PeriodicFit.PERIOD_COUNT; i++) {
            if (fit.fit(i, MEAN).squaredError() < fit.fit(bestPeriod, MEAN).squaredError()) {
                bestPeriod = i;
            }
        }
        return bestPeriod;
    }

    @Test
    void theTruePeriodHasTheLeastError() {
        add(11_000, 5_000_000, 5_040_000);
        double found = PeriodicFit.periodMillis(bestPeriod());
        assertEquals(11_000, found, 0.03 * 11_000);
    }

    @Test
    void theFittedWaveExtrapolates() {
        add(11_000, 5_000_000, 5_040_000);
        int period = bestPeriod();
        PeriodicFit.Wave wave = fit.fit(period, MEAN);
        assertEquals(MEAN, wave.mean(), 0.1 * MEAN);
        for (long at = 5_040_000; at < 5_045_000; at += 500) {
            assertEquals(value(11_000, at), wave.valueAt(period, at), 0.3 * AMPLITUDE);
        }
    }

    @Test
    void withoutSamplesTheFitIsTheExpectedMean() {
        PeriodicFit.Wave wave = fit.fit(3, MEAN);
        assertEquals(MEAN, wave.mean(), 1e-9);
        assertEquals(MEAN, wave.valueAt(3, 777), 1e-9);
        assertEquals(0, wave.squaredError(), 1e-9);
    }

    @Test
    void theFitFollowsAChangeOfTheMean() {
        add(11_000, 0, 30_000);
        for (long at = 30_000; at < 150_000; at += STEP_MILLIS) {
            fit.addSample(3 * MEAN, 1, at);
        }
        PeriodicFit.Wave wave = fit.fit(bestPeriod(), MEAN);
        assertTrue(wave.mean() > 2.5 * MEAN, "mean " + wave.mean());
    }
}
