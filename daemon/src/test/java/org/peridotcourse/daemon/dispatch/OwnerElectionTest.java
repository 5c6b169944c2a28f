package org.peridotcourse.daemon.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.peridotcourse.base.LeaseRow;
import org.peridotcourse.daemon.log.DecisionRing;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.ring.EventLoop;
import org.peridotcourse.dispatch.LeaseTimes;

/** Guards the number of owners: one for each epoch. */
class OwnerElectionTest {
    private static final long PATIENCE_SECONDS = 10;

    private final EventLog log = new EventLog(System.getLogger("test"), new DecisionRing(16));
    private final EventLoop loop = new EventLoop("test", 1_024, Throwable::printStackTrace);
    private final AtomicInteger taken = new AtomicInteger();
    private final CountDownLatch firstTaken = new CountDownLatch(1);
    private final FakeRowStore store = new FakeRowStore(loop);
    private OwnerElection election;

    @BeforeEach
    void open() {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
        HostSettings settings =
                new HostSettings(
                        "host",
                        "xela",
                        address,
                        address,
                        address,
                        Optional.empty(),
                        List.of(),
                        new HostSettings.Limits(new LeaseTimes(5_000, 6_000), 1, 1, 1, 1, 1));
        StoreHealth health = new StoreHealth(log);
        HostDirectory directory = new HostDirectory(loop, store, log, settings, 7);
        election = new OwnerElection(loop, store, health, directory, log, new Counting());
        loop.start();
    }

    @AfterEach
    void close() {
        loop.close();
    }

    /** Counts ownerships. */
    private final class Counting implements OwnerElection.Listener {
        @Override
        public void onTaken(
                long epoch, long epochVersion, long earlierUntil, Optional<String> before) {
            taken.incrementAndGet();
            firstTaken.countDown();
        }

        @Override
        public void onLost(String reason) {
            // Only ownerships are counted.
        }
    }

    /** Seen in incident inc-f0dc of rutas-flipper: epoch 4 was taken twice by one host. */
    @Test
    void aTimerThatIsLeftFromAChallengeDoesNotTakeTheOwnershipAgain() throws Exception {
        loop.post(election::start);
        assertTrue(firstTaken.await(PATIENCE_SECONDS, TimeUnit.SECONDS));
        CountDownLatch later = new CountDownLatch(1);
        loop.post(
                () -> {
                    election.challenge(loop.now());
                    loop.after(100, () -> election.challenge(loop.now()));
                    loop.after(1_500, later::countDown);
                });
        assertTrue(later.await(PATIENCE_SECONDS, TimeUnit.SECONDS));
        assertEquals(1, taken.get());
    }

    /** The row was read as absent, so that a host took a first epoch, which workers refuse. */
    @Test
    void anUnreadableLeaseRowIsNotReadAsAbsent() throws Exception {
        RowWrite other =
                RowWrite.builder(Rows.PART)
                        .put(Rows.DUTIES, Rows.OWNER_KEY, new byte[] {'{', '}'})
                        .build();
        loop.post(() -> store.write(other, 0, outcome -> election.start()));
        assertFalse(firstTaken.await(3 * OwnerElection.LEASE_MILLIS, TimeUnit.MILLISECONDS));
    }

    @Test
    void aReleasedLeaseIsTakenAtOnce() throws Exception {
        LeaseRow released = new LeaseRow("", 4, OwnerElection.LEASE_MILLIS, 1, 0);
        RowWrite other =
                RowWrite.builder(Rows.PART)
                        .put(Rows.DUTIES, Rows.OWNER_KEY, RowCodec.lease(released))
                        .build();
        loop.post(() -> store.write(other, 0, outcome -> election.start()));
        assertTrue(firstTaken.await(OwnerElection.LEASE_MILLIS, TimeUnit.MILLISECONDS));
    }
}
