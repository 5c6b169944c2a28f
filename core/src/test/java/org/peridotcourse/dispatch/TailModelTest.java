package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards the attribution of response times to the filling images beside a serving task. */
class TailModelTest {
    private static final double BASE_MILLIS = 4;

    private final TailModel model = new TailModel();
    private long now;
    private final Random random = new Random(11);

    /** The pattern of the shared workers: few pairs press hard, the load of a task swings. */
    private double tail(double mildUse, double heavyUse) {
        double load = 0.42 + 0.2 * Math.sin(random.nextDouble() * 2 * Math.PI);
        double pressure = Math.min(0.985, load + 0.05 * mildUse + 2.2 * heavyUse);
        return Math.round(BASE_MILLIS / (1 - pressure));
    }

    private void learn(int reports) {
        for (int i = 0; i < reports; i++) {
            double mild = random.nextInt(3) * 0.12;
            double heavy = random.nextInt(4) == 0 ? 0.1 : 0;
            model.observe(
                    "serving", tail(mild, heavy), Map.of("mild", mild, "heavy", heavy), now += 700);
        }
    }

    @Test
    void theHarmfulImageIsToldFromTheMildOneBesideIt() {
        learn(60);
        assertTrue(model.added("serving", "heavy", 0.1, now) > 0.12);
        assertTrue(model.added("serving", "mild", 0.1, now) < 0.06);
    }

    @Test
    void theOwnLoadOfATaskIsNotBlamedOnItsNeighbours() {
        learn(200);
        assertEquals(0.42, model.load("serving"), 0.15);
    }

    @Test
    void anUnknownImageCountsAsModeratelyHarmful() {
        double added = model.added("serving", "unknown", 0.1, now);
        assertTrue(added > 0.02 && added < 0.2, "added " + added);
    }

    @Test
    void aTailThatIsOutOfScaleDoesNotEraseWhatIsKnown() {
        learn(60);
        double before = model.added("serving", "heavy", 0.1, now);
        for (int i = 0; i < 30; i++) {
            model.observe("serving", 300, Map.of("heavy", 0.4), now += 700);
        }
        assertEquals(before, model.added("serving", "heavy", 0.1, now), 0.3 * before);
    }
}
