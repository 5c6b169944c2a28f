package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Guards the time for which a successor waits for workers that it cannot reach. After a worker and
 * the owner were lost permanently, inherited jobs waited for 17 s. Observed in scenario
 * kredowe-place trouble-3.
 */
class OwnerTermTest {
    private static final LeaseTimes TIMES = new LeaseTimes(5_000, 6_000);
    private static final long OWNERSHIP_MILLIS = 8_000;
    private static final double SLOWEST_CLOCK_RATE = 0.98;

    @Test
    void runsOfALostOwnerAreWaitedForLittleLongerThanItsOwnership() {
        OwnerTerm term = new OwnerTerm(2, 1_000, 1_000 + OWNERSHIP_MILLIS, TIMES);
        assertTrue(
                term.earlierRunsMayLastUntil() <= 1_000 + OWNERSHIP_MILLIS + 1_500,
                term.toString());
    }

    @Test
    void runsOfAReleasedOwnershipAreWaitedForOneLease() {
        OwnerTerm term = new OwnerTerm(2, 1_000, 1_000, TIMES);
        assertEquals(1_000 + TIMES.maxMillisFromGrant(), term.earlierRunsMayLastUntil());
    }

    /** The owner may have granted a full lease just before it stood down. */
    @Test
    void runsOfAnOwnerThatStandsDownAreWaitedForOneLeaseFromThen() {
        OwnerTerm term = new OwnerTerm(2, 1_000, 1_000 + OWNERSHIP_MILLIS, TIMES);
        OwnerTerm ended = term.withEarlierOwnersEnded(2_000);
        assertEquals(2_000 + TIMES.maxMillisFromGrant(), ended.earlierRunsMayLastUntil());
    }

    @Test
    void noLeaseOfAnEarlierOwnerOutlastsTheWaitingTime() {
        Random random = new Random(5);
        for (int i = 0; i < 10_000; i++) {
            long renewedAt = random.nextInt(2_000);
            long ownedUntil = renewedAt + OWNERSHIP_MILLIS;
            long takenOverAt = renewedAt + 1_600 + random.nextInt(2_000);
            long grantedAt =
                    Math.min(ownedUntil, renewedAt + random.nextInt((int) OWNERSHIP_MILLIS + 1));
            long leaseMillis = TIMES.newLeaseMillis(grantedAt, ownedUntil);
            double expiresAt = grantedAt + leaseMillis / SLOWEST_CLOCK_RATE;
            OwnerTerm term = new OwnerTerm(2, takenOverAt, takenOverAt + OWNERSHIP_MILLIS, TIMES);
            assertTrue(
                    expiresAt <= term.earlierRunsMayLastUntil(),
                    grantedAt + " " + leaseMillis + " " + term);
        }
    }
}
