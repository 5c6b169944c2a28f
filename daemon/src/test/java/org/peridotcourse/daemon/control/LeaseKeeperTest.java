package org.peridotcourse.daemon.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.peridotcourse.base.LeaseHolder;
import org.peridotcourse.daemon.log.DecisionRing;
import org.peridotcourse.daemon.log.EventLog;

/** Tests one lease under lost responses, outages, pauses and restarts. */
class LeaseKeeperTest {
    private final EventLog log = new EventLog(System.getLogger("lease"), new DecisionRing(1));
    private final FakeTable table = new FakeTable();
    private long nowMillis = 1000;
    private final LeaseKeeper first = keeper("d1", 1);
    private final LeaseKeeper second = keeper("d2", 1);

    private LeaseKeeper keeper(String name, long incarnation) {
        return new LeaseKeeper(
                table,
                "acceptor",
                Cluster.peer(name, "xela", incarnation),
                LeaseKeeper.Durations.of(9000),
                () -> nowMillis,
                log);
    }

    private void runSeconds(int seconds, LeaseKeeper... keepers) {
        for (int i = 0; i < seconds; i++) {
            nowMillis += 1000;
            for (LeaseKeeper keeper : keepers) {
                keeper.step(nowMillis);
            }
            assertFalse(isHeld(first) && isHeld(second));
        }
    }

    private boolean isHeld(LeaseKeeper keeper) {
        return keeper.heldLease(nowMillis).isPresent();
    }

    /** Guards against two holders after a pause, and against a takeover that is too late. */
    @Test
    void pausedHolderIsReplacedAfterLeaseAndMargin() {
        runSeconds(30, first, second);
        assertTrue(isHeld(first));
        // The last renewal was at 29 s, so the lease ends at 38 s and the margin at 39 s.
        runSeconds(6, second);
        assertTrue(isHeld(first));
        runSeconds(1, second);
        assertEquals(38_000, nowMillis);
        assertFalse(isHeld(first) || isHeld(second));
        runSeconds(1, second);
        assertTrue(isHeld(second));
        runSeconds(5, first, second);
        assertEquals(2, second.heldLease(nowMillis).map(LeaseHolder::epoch).orElseThrow());
        assertFalse(isHeld(first));
    }

    /**
     * Guards against a renewal that counts from its repeat, or a holder that treats its own renewal
     * as a takeover by another daemon.
     */
    @Test
    void lostResponsesDoNotEndTheLease() {
        for (FakeTable.Fault fault : FakeTable.Fault.values()) {
            table.writeFaults.add(fault);
            runSeconds(20, first, second);
            table.applyDelayedWrites();
            runSeconds(5, first, second);
            assertTrue(isHeld(first));
            assertEquals(1, first.heldLease(nowMillis).map(LeaseHolder::epoch).orElseThrow());
        }
    }

    /**
     * Guards against a lease that counts from the repeat of a renewal instead of its first sending.
     */
    @Test
    void repeatOfLostRenewalDoesNotExtendTheLease() {
        runSeconds(1, first, second);
        table.writeFaults.add(FakeTable.Fault.LOSE_RESPONSE);
        runSeconds(3, first, second);
        runSeconds(8, second);
        runSeconds(1, first);
        runSeconds(4, second);
        assertTrue(isHeld(second));
    }

    /** Guards against a lease that does not expire during an outage without confirmed writes. */
    @Test
    void outageEndsTheLease() {
        runSeconds(5, first, second);
        table.unavailable = true;
        runSeconds(20, first, second);
        assertFalse(isHeld(first));
        table.unavailable = false;
        runSeconds(15, first, second);
        assertTrue(isHeld(first) || isHeld(second));
    }

    /** Guards against a successor that waits for the expiry of a released lease. */
    @Test
    void releasedLeaseIsTakenOverAtOnce() {
        runSeconds(5, first, second);
        first.release();
        runSeconds(1, first, second);
        assertTrue(isHeld(second));
    }

    /** Guards against a restarted daemon that treats a write of its earlier run as its own. */
    @Test
    void restartedDaemonWaitsForLeaseOfEarlierIncarnation() {
        runSeconds(1, first);
        LeaseKeeper restarted = keeper("d1", 2);
        runSeconds(8, restarted);
        assertFalse(isHeld(restarted));
        runSeconds(4, restarted);
        assertEquals(2, restarted.heldLease(nowMillis).map(LeaseHolder::epoch).orElseThrow());
    }

    /**
     * A row that could not be parsed counted as a lease of 0 ms of the first epoch, so that it was
     * taken over while its holder acted, under an epoch that had been used before.
     */
    @Test
    void malformedRowIsNotTakenOver() {
        runSeconds(30, first);
        table.put(LeaseKeeper.TABLE, "acceptor", "{'holder':'d1','epoch':'x'}");
        runSeconds(30, second);
        assertFalse(isHeld(second));
    }
}
