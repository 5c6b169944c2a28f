package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards the transfer of learned interference to the next owner. On simulated days with takeovers,
 * each new owner tried harmful pairs of images again, and serving tasks missed their response time
 * targets.
 */
class ModelSnapshotTest {
    private static final long TARGET_MILLIS = 18;
    private static final double MEAN_TAIL = 7;
    private static final String SERVING = "A";
    private static final String HARMFUL = "x";
    private static final String HARMLESS = "y";

    private static double tail(double lostHeadroom) {
        return MEAN_TAIL / Math.max(0.05, 1 - lostHeadroom);
    }

    private static TailLatencyModel trainedModel() {
        TailLatencyModel model = new TailLatencyModel();
        for (long now = 1_000; now < 40_000; now += 500) {
            double use = now / 500 % 3 * 0.05;
            observe(model, HARMFUL, use, 4 * use, now);
            observe(model, HARMLESS, use, 0.2 * use, now + 250);
        }
        return model;
    }

    private static void observe(
            TailLatencyModel model, String filling, double use, double lostHeadroom, long now) {
        model.onTailLatency(
                "job/0", SERVING, TARGET_MILLIS, tail(lostHeadroom), Map.of(filling, use), now);
    }

    private static ModelSnapshot snapshot(TailLatencyModel model) {
        return new ModelSnapshot(
                model.periodIndex(), model.meanHeadroomByImage(), model.imagePairs(), Map.of());
    }

    @Test
    void aSuccessorRestoresTheInterferenceOfPairs() {
        TailLatencyModel first = trainedModel();
        assertTrue(
                first.interferenceCoefficient(SERVING, HARMFUL)
                        > TailLatencyModel.HARMFUL_COEFFICIENT,
                "learned");
        TailLatencyModel successor = new TailLatencyModel();
        successor.restore(snapshot(first), 100);
        assertEquals(
                first.interferenceCoefficient(SERVING, HARMFUL),
                successor.interferenceCoefficient(SERVING, HARMFUL),
                1e-9);
        assertTrue(successor.isHarmless(SERVING, HARMLESS));
        assertFalse(successor.isHarmless(SERVING, HARMFUL));
    }

    @Test
    void ownEvidenceTakesPrecedenceOverTheSnapshot() {
        TailLatencyModel successor = trainedModel();
        double before = successor.interferenceCoefficient(SERVING, HARMFUL);
        ModelSnapshot.ImagePair other =
                new ModelSnapshot.ImagePair(
                        SERVING, HARMFUL, List.of(0.0, -9.0, -9.0, -9.0, -9.0, -9.0));
        successor.restore(new ModelSnapshot(0, Map.of(), List.of(other), Map.of()), 50_000);
        assertEquals(before, successor.interferenceCoefficient(SERVING, HARMFUL), 1e-9);
    }

    @Test
    void evidenceOfAnotherLengthIsIgnored() {
        TailLatencyModel successor = new TailLatencyModel();
        ModelSnapshot.ImagePair odd =
                new ModelSnapshot.ImagePair(SERVING, HARMFUL, List.of(0.0, -9.0));
        double before = successor.interferenceCoefficient(SERVING, HARMFUL);
        successor.restore(new ModelSnapshot(99_999, Map.of(), List.of(odd), Map.of()), 100);
        assertEquals(before, successor.interferenceCoefficient(SERVING, HARMFUL), 1e-9);
    }
}
