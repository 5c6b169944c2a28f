package org.peridotcourse.daemon.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
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
        FakeRowStore store = new FakeRowStore(loop);
        StoreHealth health = new StoreHealth(log);
        HostDirectory directory = new HostDirectory(loop, store, health, log, settings, 7);
        election = new OwnerElection(loop, store, health, directory, log, new Counting());
        loop.start();
        loop.post(election::start);
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
}
