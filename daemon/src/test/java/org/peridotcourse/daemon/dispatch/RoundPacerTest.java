package org.peridotcourse.daemon.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Guards against an owner that spends all its time on rounds of decisions. On rutas-flipper-large,
 * a round of decisions followed each report of 258 workers, and reports and lease renewals were
 * delayed by seconds.
 */
class RoundPacerTest {
    private final RoundPacer pacer = new RoundPacer();

    @Test
    void theFirstRoundBeginsAtOnce() {
        assertEquals(0, pacer.waitMillis(1_000));
    }

    @Test
    void frequentReportsCauseFewRounds() {
        int rounds = 0;
        for (long now = 1_000; now < 2_000; now++) {
            if (pacer.waitMillis(now) == 0) {
                rounds++;
                pacer.onRound(now, now);
            }
        }
        assertTrue(rounds <= 250, rounds + " rounds in a second");
    }

    @Test
    void longRoundsTakeAtMostHalfOfTheTime() {
        long now = 1_000;
        long busy = 0;
        for (int i = 0; i < 20; i++) {
            now += pacer.waitMillis(now);
            pacer.onRound(now, now + 50);
            busy += 50;
            now += 50;
        }
        now += pacer.waitMillis(now);
        assertTrue(2 * busy <= now - 1_000, busy + " of " + (now - 1_000));
    }
}
