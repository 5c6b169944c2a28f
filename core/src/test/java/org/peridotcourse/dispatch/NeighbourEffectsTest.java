package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards the beliefs about pairs of images: blame goes to the harmful one and fades. */
class NeighbourEffectsTest {
    private final NeighbourEffects effects = new NeighbourEffects();

    @Test
    void anUnknownPairMayShareAWorker() {
        assertTrue(effects.harm("s", "f", 0) < NeighbourEffects.ALLOWED);
    }

    @Test
    void onlyTheHarmfulOneOfTwoImagesIsBlamed() {
        Random random = new Random(7);
        long now = 0;
        for (int i = 0; i < 12; i++) {
            now += 700;
            effects.observe("s", random.nextDouble() < 0.1, List.of("mild"), now);
            effects.observe("s", random.nextDouble() < 0.7, List.of("mild", "harmful"), now);
        }
        assertTrue(effects.harm("s", "mild", now) < 0.2, "" + effects.harm("s", "mild", now));
        assertTrue(effects.harm("s", "harmful", now) > 0.7, "" + effects.harm("s", "harmful", now));
    }

    @Test
    void aWrongBeliefFadesSoThatThePairIsTriedAgain() {
        effects.observe("s", true, List.of("f"), 0);
        effects.observe("s", true, List.of("f"), 700);
        assertTrue(effects.harm("s", "f", 700) > NeighbourEffects.ALLOWED);
        assertTrue(effects.harm("s", "f", 90_000) < NeighbourEffects.ALLOWED);
    }
}
