package org.peridotcourse.base;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** Guards against a lease or a hold that is valid for two processes at the same time. */
class LeaseRulesTest {
    private static final LeaseRow ROW = new LeaseRow("a", 1, 9_000, 600_000, 0);

    /**
     * Guards against a challenger that takes over the lease while the holder may still act,
     * whatever the delay with which the challenger observes the last write.
     */
    @Property(tries = 1_000, seed = "20260102")
    void takeoverNeverOverlapsWithHolder(
            @ForAll @LongRange(max = 60_000) long sentMillis,
            @ForAll @LongRange(max = 20_000) long observeDelay,
            @ForAll @LongRange(max = 60_000) long waitMillis) {
        LeaseHolder holder = new LeaseHolder(ROW, 5, sentMillis);
        LeaseChallenger challenger = new LeaseChallenger("b");
        challenger.observe(sentMillis + observeDelay, Optional.of(ROW), 5);
        long now = sentMillis + observeDelay + waitMillis;
        boolean isTakenOver = challenger.takeover(now, 9_000, 600_000).isPresent();
        assertFalse(isTakenOver && holder.isHeld(now));
        assertFalse(
                challenger.isHoldExpired(now + 540_000) && now + 540_000 < holder.holdEndMillis());
    }

    /**
     * Guards against a shortened hold that ends before the leases that were granted under the
     * longer one.
     */
    @Test
    void shorterHoldWaitsForEarlierGrants() {
        LeaseHolder holder = new LeaseHolder(ROW, 5, 0);
        LeaseRow renewed = holder.renewal(3_000, 30_000).orElseThrow();
        assertEquals(597_000, renewed.holdMillis());
        LeaseRow takeover = challenger(renewed).takeover(20_000, 9_000, 30_000).orElseThrow();
        assertEquals(597_000, takeover.holdMillis());
        assertEquals(2, takeover.epoch());
    }

    /**
     * Guards against a successor that waits after a release, and against a release that lets
     * another data centre take over batch tasks that still run.
     */
    @Test
    void releaseEndsTheLeaseButNotTheHold() {
        LeaseRow released = new LeaseHolder(ROW, 5, 0).release();
        LeaseChallenger challenger = challenger(released);
        assertTrue(challenger.takeover(0, 9_000, 600_000).isPresent());
        assertFalse(challenger.isHoldExpired(600_999));
        assertTrue(challenger.isHoldExpired(601_000));
    }

    /**
     * A challenger ignored that a row had been removed, so that its takeovers checked a commit that
     * no longer existed and nobody held the lease again.
     */
    @Test
    void removedRowIsTakenOverAfterTheLeaseUnderALaterEpoch() {
        LeaseChallenger challenger = challenger(ROW);
        challenger.observe(20_000, Optional.empty(), 0);
        assertTrue(challenger.takeover(29_999, 9_000, 600_000).isEmpty(), "the holder may act");
        assertEquals(2, challenger.takeover(30_000, 9_000, 600_000).orElseThrow().epoch());
        assertEquals(0, challenger.commit());
    }

    /**
     * Guards against a worker lease that outlasts the owner's bound because of a delayed message.
     */
    @Property(tries = 1_000, seed = "20260103")
    void remoteBoundIsNeverLaterThanLocalBound(
            @ForAll @LongRange(max = 1_000_000) long clockOffset,
            @ForAll @LongRange(max = 60_000) long readMillis,
            @ForAll @LongRange(max = 60_000) long messageDelay,
            @ForAll @LongRange(max = 600_000) long boundMillis) {
        RemoteClock clock = new RemoteClock(readMillis + clockOffset, readMillis + messageDelay);
        assertTrue(clock.toRemote(boundMillis) - clockOffset <= boundMillis);
    }

    private static LeaseChallenger challenger(LeaseRow row) {
        LeaseChallenger challenger = new LeaseChallenger("b");
        challenger.observe(0, Optional.of(row), 6);
        return challenger;
    }
}
