package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against beliefs that a few readings do not move, or that nothing can move again. */
class StrengthBeliefTest {
    private final StrengthBelief belief = new StrengthBelief();
    private long now = 1;

    private void see(double strength, int readings) {
        for (int i = 0; i < readings; i++) {
            now += 500;
            belief.observe(assumed -> -Math.pow((assumed - strength) * 0.1, 2) / (2 * 0.01), now);
        }
    }

    @Test
    void aFewReadingsTellAStrongPairFromAWeakOne() {
        see(4, 5);
        assertTrue(belief.mean() > 2.5, "mean " + belief.mean());
        StrengthBelief weak = new StrengthBelief();
        for (int i = 0; i < 10; i++) {
            weak.observe(assumed -> -Math.pow((assumed - 0.3) * 0.1, 2) / (2 * 0.01), ++now);
        }
        assertTrue(weak.mean() < 0.7, "mean " + weak.mean());
        assertTrue(weak.deviation() < new StrengthBelief().deviation());
    }

    @Test
    void aPairThatChangesIsLearnedAgain() {
        see(8, 100);
        see(0.2, 60);
        assertEquals(0.4, belief.mean(), 0.4);
    }
}
