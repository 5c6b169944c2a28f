package org.peridotcourse.base;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** Guards against a lease or a hold that two processes believe to have at the same time. */
class LeaseRulesTest {
    private static final LeaseRow ROW = new LeaseRow("a", 1, 9_000, 600_000, 0);

    /** Guards against a challenger that takes the lease while the holder still acts. */
    @Property(tries = 1_000, seed = "20260102")
    void takeoverNeverOverlapsWithHolder(
            @ForAll @LongRange(max = 60_000) long sent,
            @ForAll @LongRange(max = 20_000) long delay,
            @ForAll @LongRange(max = 60_000) long later) {
        LeaseHolder holder = new LeaseHolder(ROW, 5, sent);
        LeaseChallenger challenger = new LeaseChallenger("b");
        challenger.observe(sent + delay, Optional.of(ROW), 5);
        long now = sent + delay + later;
        boolean taken = challenger.takeover(now, 9_000, 600_000).isPresent();
        assertFalse(taken && holder.isHeld(now));
        assertFalse(
                challenger.isHoldExpired(now + 540_000) && now + 540_000 < holder.holdEndMillis());
    }

    /** Guards against a shorter hold that ignores leases granted under the longer one. */
    @Test
    void shorterHoldWaitsForEarlierGrants() {
        LeaseHolder holder = new LeaseHolder(ROW, 5, 0);
        LeaseRow next = holder.renewal(3_000, 30_000).orElseThrow();
        assertEquals(597_000, next.holdMillis());
        LeaseRow taken = challenger(next).takeover(20_000, 9_000, 30_000).orElseThrow();
        assertEquals(597_000, taken.holdMillis());
        assertEquals(2, taken.epoch());
    }

    /** Guards against a wait after a clean stop, and against batch work taken over with it. */
    @Test
    void releaseEndsTheLeaseButNotTheHold() {
        LeaseRow released = new LeaseHolder(ROW, 5, 0).release();
        LeaseChallenger challenger = challenger(released);
        assertTrue(challenger.takeover(0, 9_000, 600_000).isPresent());
        assertFalse(challenger.isHoldExpired(600_999));
        assertTrue(challenger.isHoldExpired(601_000));
    }

    /** Guards against a worker lease that outlasts the owner's bound because of a slow message. */
    @Property(tries = 1_000, seed = "20260103")
    void remoteBoundIsNeverLaterThanLocalBound(
            @ForAll @LongRange(max = 1_000_000) long offset,
            @ForAll @LongRange(max = 60_000) long read,
            @ForAll @LongRange(max = 60_000) long delay,
            @ForAll @LongRange(max = 600_000) long bound) {
        RemoteClock clock = new RemoteClock(read + offset, read + delay);
        assertTrue(clock.toRemote(bound) - offset <= bound);
    }

    private static LeaseChallenger challenger(LeaseRow row) {
        LeaseChallenger challenger = new LeaseChallenger("b");
        challenger.observe(0, Optional.of(row), 6);
        return challenger;
    }
}
