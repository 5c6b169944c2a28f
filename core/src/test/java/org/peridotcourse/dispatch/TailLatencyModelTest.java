package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Guards against tail latencies that are attributed to the wrong cause: the own load of a serving
 * task or one of the filling images on the same worker.
 *
 * <p>The load follows the simulated days: the load of each job is a sine wave with a common period
 * and its own phase; most filling images interfere weakly, a third of them several times as
 * strongly; tail latencies are whole milliseconds.
 */
class TailLatencyModelTest {
    private static final String IMAGE = "serving";
    private static final long TARGET_MILLIS = 45;
    private static final double BASE_MILLIS = 10;
    private static final double MEAN_LOAD = 0.45;
    private static final double AMPLITUDE = 0.21;
    private static final double PERIOD_MILLIS = 14_000;
    private static final double MILD_COEFFICIENT = 0.15;
    private static final double HEAVY_COEFFICIENT = 2.2;
    private static final long REPORT_MILLIS = 500;
    private static final int JOBS = 6;

    private final TailLatencyModel model = new TailLatencyModel();
    private final Random random = new Random(11);
    private long now = 1_000_000;

    private static double load(int job, double at) {
        double angle = 2 * Math.PI * at / PERIOD_MILLIS + 1.1 * job;
        return MEAN_LOAD + AMPLITUDE * Math.sin(angle);
    }

    private double tail(int job, double mildUse, double heavyUse) {
        double totalLoad =
                load(job, now) + MILD_COEFFICIENT * mildUse + HEAVY_COEFFICIENT * heavyUse;
        return Math.round(BASE_MILLIS / (1 - Math.min(0.985, totalLoad)));
    }

    /** Reports two tasks of each job, one without and one with varying neighbours. */
    private void simulateReports(long millis) {
        for (long end = now + millis; now < end; now += REPORT_MILLIS) {
            for (int job = 0; job < JOBS; job++) {
                report(job, 0, 0);
                double mild = random.nextInt(3) * 0.12;
                double heavy = random.nextInt(4) == 0 ? 0.1 : 0;
                report(job, mild, heavy);
            }
        }
    }

    private void report(int job, double mild, double heavy) {
        Map<String, Double> fillShares = Map.of("mild", mild, "heavy", heavy);
        model.onTailLatency(
                key(job), IMAGE, TARGET_MILLIS, tail(job, mild, heavy), fillShares, now);
    }

    private static String key(int job) {
        return "job-" + job + TailLatencyModel.STEP_SEPARATOR + 0;
    }

    private static double trueHeadroom(int job, double at) {
        return (1 - load(job, at)) / (1 - MEAN_LOAD);
    }

    @Test
    void aHarmfulImageIsDistinguishedFromAMildOneOnTheSameWorker() {
        simulateReports(15_000);
        assertTrue(
                model.interferenceCoefficient(IMAGE, "heavy") > 2,
                "heavy " + model.interferenceCoefficient(IMAGE, "heavy"));
        assertTrue(
                model.interferenceCoefficient(IMAGE, "mild") < 0.6,
                "mild " + model.interferenceCoefficient(IMAGE, "mild"));
    }

    @Test
    void theOwnLoadOfATaskIsNotAttributedToItsNeighbours() {
        simulateReports(40_000);
        for (int job = 0; job < JOBS; job++) {
            assertEquals(
                    trueHeadroom(job, now),
                    model.expectedHeadroom(key(job), now),
                    0.1,
                    "job " + job);
        }
    }

    /** Forecasts half a period ahead, where the load is on the other side of its mean. */
    @Test
    void theOwnLoadIsForecast() {
        simulateReports(40_000);
        double ahead = now + PERIOD_MILLIS / 2;
        for (int job = 0; job < JOBS; job++) {
            assertEquals(
                    trueHeadroom(job, ahead),
                    model.expectedHeadroom(key(job), ahead),
                    0.15,
                    "job " + job);
        }
    }

    /** With a target of 45 ms, a peak of this load leaves a sixth of the mean headroom. */
    @Test
    void thereIsMoreHeadroomInATroughThanAtAPeak() {
        simulateReports(40_000);
        double most = -1;
        double least = 1;
        for (int i = 0; i < PERIOD_MILLIS / REPORT_MILLIS; i++) {
            double spare =
                    model.spareHeadroom(key(0), IMAGE, TARGET_MILLIS, now + i * REPORT_MILLIS, 0);
            most = Math.max(most, spare);
            least = Math.min(least, spare);
        }
        double required = BASE_MILLIS / TARGET_MILLIS / (1 - MEAN_LOAD);
        double meanSpare = 1 - required;
        double amplitude = AMPLITUDE / (1 - MEAN_LOAD);
        assertEquals(meanSpare + amplitude, most, 0.2);
        assertEquals(meanSpare - amplitude, least, 0.15);
    }

    @Test
    void anUnknownImageCountsAsModeratelyHarmful() {
        double loss = model.expectedLoss(IMAGE, "unknown", 0.1);
        assertTrue(loss > 0.02 && loss < 0.2, "loss " + loss);
    }

    /**
     * Without this limit, many tasks of an image could start and slow down serving tasks before the
     * first report shows it.
     */
    @Test
    void anUnknownPairHasOneTrialAtATime() {
        double use = 0.1;
        double expected = model.expectedLoss(IMAGE, "unknown", use);
        assertTrue(model.plannedLoss(IMAGE, "unknown", use, now) < expected / 4);
        model.onFillingStart(IMAGE, "unknown", now);
        assertEquals(expected, model.plannedLoss(IMAGE, "unknown", use, now), 1e-9);
        assertTrue(model.plannedLoss(IMAGE, "unknown", use, now + 3_000) < expected / 4);
    }

    @Test
    void extremeTailLatenciesDoNotEraseTheEstimates() {
        simulateReports(40_000);
        double before = model.interferenceCoefficient(IMAGE, "heavy");
        for (int i = 0; i < 30; i++) {
            now += REPORT_MILLIS;
            report(0, 0, 0.6);
        }
        assertEquals(before, model.interferenceCoefficient(IMAGE, "heavy"), 0.3 * before);
        assertEquals(trueHeadroom(0, now), model.expectedHeadroom(key(0), now), 0.25);
    }
}
