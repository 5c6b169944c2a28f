package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards the handover of learned interference to a successor. On days with takeovers, each
 * successor tried harmful pairs of images again, and serving tasks missed their response time
 * targets.
 */
class LearnedTest {
    private static final long TARGET_MILLIS = 18;
    private static final double MEAN_TAIL = 7;
    private static final String SERVING = "A";
    private static final String HARMFUL = "x";
    private static final String MILD = "y";

    private static double tail(double taken) {
        return MEAN_TAIL / Math.max(0.05, 1 - taken);
    }

    private static TailModel trainedModel() {
        TailModel model = new TailModel();
        for (long now = 1_000; now < 40_000; now += 500) {
            double use = now / 500 % 3 * 0.05;
            observe(model, HARMFUL, use, 4 * use, now);
            observe(model, MILD, use, 0.2 * use, now + 250);
        }
        return model;
    }

    private static void observe(
            TailModel model, String filling, double use, double taken, long now) {
        model.observe("job/0", SERVING, TARGET_MILLIS, tail(taken), Map.of(filling, use), now);
    }

    private static Learned snapshot(TailModel model) {
        return new Learned(model.period(), model.imageMeans(), model.pairs(), Map.of());
    }

    @Test
    void aSuccessorRestoresTheStrengthsOfPairs() {
        TailModel first = trainedModel();
        assertTrue(first.strength(SERVING, HARMFUL) > TailModel.HARMFUL, "learned");
        TailModel successor = new TailModel();
        successor.restore(snapshot(first), 100);
        assertEquals(first.strength(SERVING, HARMFUL), successor.strength(SERVING, HARMFUL), 1e-9);
        assertTrue(successor.isMild(SERVING, MILD));
        assertFalse(successor.isMild(SERVING, HARMFUL));
    }

    @Test
    void ownEvidenceTakesPrecedenceOverTheSnapshot() {
        TailModel successor = trainedModel();
        double before = successor.strength(SERVING, HARMFUL);
        Learned.Pair other =
                new Learned.Pair(SERVING, HARMFUL, List.of(0.0, -9.0, -9.0, -9.0, -9.0, -9.0));
        successor.restore(new Learned(0, Map.of(), List.of(other), Map.of()), 50_000);
        assertEquals(before, successor.strength(SERVING, HARMFUL), 1e-9);
    }

    @Test
    void evidenceOfAnotherLengthIsIgnored() {
        TailModel successor = new TailModel();
        Learned.Pair odd = new Learned.Pair(SERVING, HARMFUL, List.of(0.0, -9.0));
        double before = successor.strength(SERVING, HARMFUL);
        successor.restore(new Learned(99_999, Map.of(), List.of(odd), Map.of()), 100);
        assertEquals(before, successor.strength(SERVING, HARMFUL), 1e-9);
    }
}
