package org.peridotcourse.daemon.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.peridotcourse.base.LeaseRow;
import org.peridotcourse.daemon.log.DecisionRing;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.ring.EventLoop;

/**
 * Guards against more than one owner in an epoch, needless changes of the owner, and orders or job
 * counts of an owner whose lease is not confirmed.
 */
class OwnerElectionTest {
    private static final long TIMEOUT_SECONDS = 10;

    private final EventLog log = new EventLog(System.getLogger("test"), new DecisionRing(16));
    private final EventLoop loop = new EventLoop("test", 1_024, Throwable::printStackTrace);
    private final AtomicInteger takeovers = new AtomicInteger();
    private final CountDownLatch firstTakeover = new CountDownLatch(1);
    private final FakeRowStore store = new FakeRowStore(loop);
    private OwnerElection election;

    /** Time for which earlier owners may still send orders, as of the last takeover. */
    private volatile long earlierMayOrderMillis;

    private volatile Set<String> lastUnsettledHolders = Set.of();

    @BeforeEach
    void open() {
        StoreHealth health = new StoreHealth(log);
        HostDirectory directory = new HostDirectory(loop, store, log, TestSettings.host("host"), 7);
        election = new OwnerElection(loop, store, health, directory, log, new TakeoverCounter());
        loop.start();
    }

    @AfterEach
    void close() {
        loop.close();
    }

    /** Counts takeovers. */
    private final class TakeoverCounter implements OwnerElection.Listener {
        @Override
        public void onTaken(
                long epoch,
                long epochVersion,
                long earlierOwnersMayOrderUntil,
                Set<String> unsettledHolders) {
            earlierMayOrderMillis = earlierOwnersMayOrderUntil - loop.nowMillis();
            lastUnsettledHolders = unsettledHolders;
            takeovers.incrementAndGet();
            firstTakeover.countDown();
        }

        @Override
        public void onLost(String reason) {
            // Only takeovers are counted.
        }

        @Override
        public Optional<PendingCounts> pendingCounts() {
            return Optional.of(new PendingCounts(1, Map.of("q", 8)));
        }
    }

    /**
     * In incident inc-f0dc of rutas-flipper, one host took over with epoch 4 twice, because the
     * timer of an earlier challenge fired after the takeover.
     */
    @Test
    void aTimerOfAnEarlierChallengeDoesNotTakeTheOwnershipAgain() throws Exception {
        loop.post(election::start);
        assertTrue(firstTakeover.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        CountDownLatch later = new CountDownLatch(1);
        loop.post(
                () -> {
                    election.challenge(loop.nowMillis());
                    loop.schedule(100, () -> election.challenge(loop.nowMillis()));
                    loop.schedule(1_500, later::countDown);
                });
        assertTrue(later.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertEquals(1, takeovers.get());
    }

    /**
     * An unreadable row was treated as absent, so a host took over with the first epoch, which
     * workers reject as outdated.
     */
    @Test
    void anUnreadableLeaseRowIsNotTreatedAsAbsent() throws Exception {
        RowWrite leaseWrite =
                RowWrite.builder(RowNames.PART)
                        .put(RowNames.DUTIES, RowNames.OWNER_KEY, new byte[] {'{', '}'})
                        .build();
        loop.post(() -> store.write(leaseWrite, 0, outcome -> election.start()));
        assertFalse(firstTakeover.await(3 * OwnerElection.LEASE_MILLIS, TimeUnit.MILLISECONDS));
    }

    @Test
    void aReleasedLeaseIsTakenAtOnce() throws Exception {
        LeaseRow released = new LeaseRow("", 4, OwnerElection.LEASE_MILLIS, 1, 0);
        RowWrite leaseWrite =
                RowWrite.builder(RowNames.PART)
                        .put(RowNames.DUTIES, RowNames.OWNER_KEY, RowCodec.lease(released))
                        .build();
        loop.post(() -> store.write(leaseWrite, 0, outcome -> election.start()));
        assertTrue(firstTakeover.await(OwnerElection.LEASE_MILLIS, TimeUnit.MILLISECONDS));
    }

    /**
     * On treadline-grown scale-1, the store recovered after 6 s, and a host that had not read a
     * renewal took over from the owner at once; jobs waited 5.7 s for the takeover reconciliation
     * of the new owner.
     */
    @Test
    void anOwnerKeepsTheOwnershipAfterAnOutageOfTheStore() throws Exception {
        OwnerElection challenger = other();
        loop.post(election::start);
        assertTrue(firstTakeover.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        loop.post(challenger::start);
        awaitOnLoop(() -> challenger.ownerName().isPresent());
        loop.post(() -> store.unavailable = true);
        pause(2 * OwnerElection.LEASE_MILLIS);
        loop.post(() -> store.unavailable = false);
        pause(2 * OwnerElection.LEASE_MILLIS);
        assertTrue(onLoop(election::isOwner));
        assertEquals(1, takeovers.get());
    }

    private void pause(long millis) throws Exception {
        CountDownLatch over = new CountDownLatch(1);
        loop.post(() -> loop.schedule(millis, over::countDown));
        assertTrue(over.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    /** Another host may have taken over while the process was paused. */
    @Test
    void aPausedOwnerSendsNoOrderUntilItsLeaseIsConfirmed() throws Exception {
        loop.post(election::start);
        assertTrue(firstTakeover.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertTrue(onLoop(() -> election.maySendOrders(loop.nowMillis())));
        loop.post(() -> election.onProcessPaused(loop.nowMillis(), 2_000));
        assertFalse(onLoop(() -> election.maySendOrders(loop.nowMillis())));
        awaitOnLoop(() -> election.maySendOrders(loop.nowMillis()));
    }

    /**
     * After a renewal without an answer, the hold counted from the next renewal, which the store
     * had refused. The owner might then send orders for longer than a successor waits.
     */
    @Test
    void aRenewalWithoutAnAnswerCountsFromWhenItWasSent() throws Exception {
        loop.post(election::start);
        assertTrue(firstTakeover.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        AtomicLong longestHoldMillis = new AtomicLong();
        loop.post(
                () -> {
                    store.answersToLose = 1;
                    loop.onRound(
                            () ->
                                    longestHoldMillis.accumulateAndGet(
                                            election.ordersAllowedUntil() - store.lastAppliedAt,
                                            Math::max));
                });
        pause(2 * OwnerElection.LEASE_MILLIS);
        assertTrue(onLoop(election::isOwner));
        assertEquals(1, takeovers.get());
        assertTrue(
                longestHoldMillis.get() <= OwnerElection.HOLD_MILLIS,
                "longest hold " + longestHoldMillis.get());
    }

    /**
     * A takeover without an answer took effect after the host had read the old row, so that a
     * second attempt found it. Others count the lease from when they observed the first one.
     */
    @Test
    void aTakeoverThatTakesEffectLateCountsFromWhenItWasFirstSent() throws Exception {
        store.appliesNextWriteLate = true;
        AtomicLong longestLeaseMillis = new AtomicLong(Long.MIN_VALUE);
        loop.post(
                () -> {
                    election.start();
                    loop.onRound(
                            () ->
                                    longestLeaseMillis.accumulateAndGet(
                                            election.soleOwnerUntil() - store.lastAppliedAt,
                                            Math::max));
                });
        assertTrue(firstTakeover.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        pause(OwnerElection.LEASE_MILLIS / 4);
        assertTrue(
                longestLeaseMillis.get() <= OwnerElection.LEASE_MILLIS,
                "longest lease " + longestLeaseMillis.get());
    }

    /**
     * On rutas-flipper-large, a host reported one waiting job while eight had waited for 5 s,
     * because the counts were written only when no progress was waiting to be stored.
     */
    @Test
    void countsArePublishedWithEachRenewalAndExpire() throws Exception {
        OwnerElection reader = other();
        loop.post(election::start);
        assertTrue(firstTakeover.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        loop.post(reader::start);
        awaitOnLoop(
                () ->
                        reader.recentCounts(loop.nowMillis())
                                .filter(counts -> counts.of("q") == 8)
                                .isPresent());
        long age = 2 * OwnerElection.LEASE_MILLIS;
        assertTrue(onLoop(() -> reader.recentCounts(loop.nowMillis()).isPresent()));
        assertFalse(
                onLoop(() -> reader.recentCounts(loop.nowMillis() + age).isPresent()), "too old");
    }

    /**
     * A third owner started the tasks of the first one again, which was cut off with its workers:
     * it judged by the second one only, which had released the ownership (review/6).
     */
    @Test
    void aShortOwnershipPassesOnTheHoldersThatItHasNotSettled() throws Exception {
        LeaseRow cutOff =
                new LeaseRow(
                        "first/1", 3, OwnerElection.LEASE_MILLIS, OwnerElection.HOLD_MILLIS, 0);
        putDuty(RowNames.OWNER_KEY, RowCodec.lease(cutOff));
        loop.post(election::start);
        assertTrue(firstTakeover.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertEquals(Set.of("first/1"), lastUnsettledHolders);
        loop.post(() -> election.release(true, Long.MAX_VALUE));
        loop.post(() -> other().start());
        awaitOnLoop(() -> takeovers.get() == 2);
        assertEquals(Set.of("first/1"), lastUnsettledHolders);
        long hold = OwnerElection.HOLD_MILLIS;
        assertTrue(earlierMayOrderMillis > hold / 2, "millis " + earlierMayOrderMillis);
    }

    /**
     * While this host reads the unsettled holders, another host takes over. A takeover that was
     * decided before must not replace it in its epoch.
     */
    @Test
    void aTakeoverIsWrittenOnlyIfTheLeaseIsAsItWasWhenItWasDecided() throws Exception {
        LeaseRow released = new LeaseRow("", 4, OwnerElection.LEASE_MILLIS, 1, 0);
        putDuty(RowNames.OWNER_KEY, RowCodec.lease(released));
        store.slowKey = RowNames.EARLIER_KEY;
        store.slowMillis = OwnerElection.LEASE_MILLIS;
        loop.post(election::start);
        pause(OwnerElection.LEASE_MILLIS / 3);
        LeaseRow taken = new LeaseRow("other/8", 5, OwnerElection.LEASE_MILLIS, 1, 0);
        putDuty(RowNames.OWNER_KEY, RowCodec.lease(taken));
        pause(OwnerElection.LEASE_MILLIS);
        assertEquals(0, takeovers.get());
    }

    /** Holders in a row that cannot be read were taken for none. */
    @Test
    void holdersThatCannotBeReadAreWaitedFor() throws Exception {
        LeaseRow released = new LeaseRow("", 4, OwnerElection.LEASE_MILLIS, 1, 0);
        putDuty(RowNames.OWNER_KEY, RowCodec.lease(released));
        putDuty(RowNames.EARLIER_KEY, new byte[] {'{', '}'});
        loop.post(election::start);
        assertTrue(firstTakeover.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertEquals(1, lastUnsettledHolders.size());
        long hold = OwnerElection.HOLD_MILLIS;
        assertTrue(earlierMayOrderMillis > hold / 2, "millis " + earlierMayOrderMillis);
    }

    /** A planned stop of a calm deployment must not make the tasks wait. */
    @Test
    void afterAReleaseWithoutUnsettledHoldersNobodyIsWaitedFor() throws Exception {
        loop.post(election::start);
        assertTrue(firstTakeover.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        loop.post(() -> election.release(true, Long.MAX_VALUE));
        loop.post(() -> other().start());
        awaitOnLoop(() -> takeovers.get() == 2);
        assertEquals(Set.of(), lastUnsettledHolders);
        assertTrue(earlierMayOrderMillis <= 0, "millis " + earlierMayOrderMillis);
    }

    private void putDuty(String key, byte[] value) throws Exception {
        RowWrite write = RowWrite.builder(RowNames.PART).put(RowNames.DUTIES, key, value).build();
        CompletableFuture<RowOutcome> written = new CompletableFuture<>();
        loop.post(() -> store.write(write, 0, written::complete));
        written.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private OwnerElection other() {
        StoreHealth health = new StoreHealth(log);
        HostDirectory directory =
                new HostDirectory(loop, store, log, TestSettings.host("other"), 8);
        return new OwnerElection(loop, store, health, directory, log, new TakeoverCounter());
    }

    private boolean onLoop(BooleanSupplier condition) throws Exception {
        CompletableFuture<Boolean> answer = new CompletableFuture<>();
        loop.post(() -> answer.complete(condition.getAsBoolean()));
        return answer.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private void awaitOnLoop(BooleanSupplier condition) throws Exception {
        CountDownLatch reached = new CountDownLatch(1);
        loop.post(
                () ->
                        loop.scheduleRepeating(
                                20,
                                () -> {
                                    if (condition.getAsBoolean()) {
                                        reached.countDown();
                                    }
                                }));
        assertTrue(
                reached.await(TIMEOUT_SECONDS, TimeUnit.SECONDS),
                "the condition did not hold in time");
    }
}
