package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Guards against estimates that a few observations do not change, and against estimates that have
 * become so certain that later observations cannot change them.
 */
class InterferenceEstimateTest {
    private final InterferenceEstimate estimate = new InterferenceEstimate();
    private long now = 1;

    private void observe(double coefficient, int count) {
        for (int i = 0; i < count; i++) {
            now += 500;
            estimate.observe(
                    assumed -> -Math.pow((assumed - coefficient) * 0.1, 2) / (2 * 0.01), now);
        }
    }

    @Test
    void aFewObservationsDistinguishStrongFromWeakInterference() {
        observe(4, 5);
        assertTrue(estimate.mean() > 2.5, "mean " + estimate.mean());
        InterferenceEstimate weak = new InterferenceEstimate();
        for (int i = 0; i < 10; i++) {
            weak.observe(assumed -> -Math.pow((assumed - 0.3) * 0.1, 2) / (2 * 0.01), ++now);
        }
        assertTrue(weak.mean() < 0.7, "mean " + weak.mean());
        assertTrue(weak.standardDeviation() < new InterferenceEstimate().standardDeviation());
    }

    @Test
    void theEstimateFollowsAChangeOfThePair() {
        observe(8, 100);
        observe(0.2, 60);
        assertEquals(0.4, estimate.mean(), 0.4);
    }
}
