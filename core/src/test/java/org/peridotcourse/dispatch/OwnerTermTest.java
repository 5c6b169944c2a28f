package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Guards how long a successor waits for workers that it does not reach. Seen on kredowe-place
 * trouble-3: with a worker and the owner lost for good, inherited jobs waited for 17 s.
 */
class OwnerTermTest {
    private static final LeaseTimes TIMES = new LeaseTimes(5_000, 6_000);
    private static final long HOLD = 8_000;
    private static final double SLOWEST_CLOCK = 0.98;

    @Test
    void aLostOwnerIsWaitedForNotMuchLongerThanItsHold() {
        OwnerTerm term = new OwnerTerm(2, 1_000, 1_000 + HOLD, TIMES);
        assertTrue(term.earlierRunsUntil() <= 1_000 + HOLD + 1_500, term.toString());
    }

    @Test
    void aReleasedOwnershipIsWaitedForOneLease() {
        OwnerTerm term = new OwnerTerm(2, 1_000, 1_000, TIMES);
        assertEquals(1_000 + TIMES.grantedMillis(), term.earlierRunsUntil());
    }

    /** The earlier owner had its whole hold before it and may have granted a whole lease. */
    @Test
    void anOwnerThatStandsDownIsWaitedForOneLeaseFromThen() {
        OwnerTerm term = new OwnerTerm(2, 1_000, 1_000 + HOLD, TIMES);
        OwnerTerm ended = term.withEarlierOwnersEnded(2_000);
        assertEquals(2_000 + TIMES.grantedMillis(), ended.earlierRunsUntil());
    }

    @Test
    void noLeaseOfAnEarlierOwnerOutlastsTheWait() {
        Random random = new Random(5);
        for (int i = 0; i < 10_000; i++) {
            long renewedAt = random.nextInt(2_000);
            long holdUntil = renewedAt + HOLD;
            long takenAt = renewedAt + 1_600 + random.nextInt(2_000);
            long grantedAt = Math.min(holdUntil, renewedAt + random.nextInt((int) HOLD + 1));
            long length = TIMES.lengthMillis(grantedAt, holdUntil);
            double over = grantedAt + length / SLOWEST_CLOCK;
            OwnerTerm term = new OwnerTerm(2, takenAt, takenAt + HOLD, TIMES);
            assertTrue(over <= term.earlierRunsUntil(), grantedAt + " " + length + " " + term);
        }
    }
}
