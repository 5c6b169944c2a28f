package org.peridotcourse.daemon.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.peridotcourse.daemon.log.DecisionRing;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.ring.EventLoop;

/**
 * Guards against calls that are forwarded to hosts that left, whose rows stay in the store; each
 * such call costs its time-out.
 */
class HostDirectoryTest {
    private static final long TIMEOUT_SECONDS = 10;
    private static final InetSocketAddress GONE = new InetSocketAddress("127.0.0.1", 11);
    private static final InetSocketAddress LIVE = new InetSocketAddress("127.0.0.1", 12);

    private final EventLog log = new EventLog(System.getLogger("test"), new DecisionRing(16));
    private final EventLoop loop = new EventLoop("test", 1_024, Throwable::printStackTrace);
    private final FakeRowStore store = new FakeRowStore(loop);
    private final HostDirectory directory =
            new HostDirectory(loop, store, log, TestSettings.host("host"), 7);

    @BeforeEach
    void readTwoRows() throws InterruptedException {
        RowWrite rows =
                RowWrite.builder(RowNames.PART)
                        .put(RowNames.HOSTS, "gone", row("gone", GONE))
                        .put(RowNames.HOSTS, "live", row("live", LIVE))
                        .build();
        store.write(rows, 0, outcome -> {});
        readRows(loop, directory, 2);
    }

    private static void readRows(EventLoop loop, HostDirectory directory, int count)
            throws InterruptedException {
        CountDownLatch rowsRead = new CountDownLatch(1);
        directory.start();
        loop.scheduleRepeating(
                5,
                () -> {
                    if (directory.otherHosts().size() == count) {
                        rowsRead.countDown();
                    }
                });
        loop.start();
        assertTrue(rowsRead.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        loop.close();
    }

    @AfterEach
    void close() {
        loop.close();
    }

    private static byte[] row(String name, InetSocketAddress address) {
        return RowCodec.host(new RowCodec.Host(name, "127.0.0.1:" + address.getPort(), 1, 1_000));
    }

    @Test
    void aHostThatDidNotAnswerIsSkippedForTenSeconds() {
        directory.onUnanswered(GONE, 1_000);
        assertEquals(List.of(LIVE), directory.responsiveHosts(1_000));
        assertEquals(List.of(LIVE), directory.responsiveHosts(10_999));
        assertEquals(Set.of(GONE, LIVE), new HashSet<>(directory.responsiveHosts(11_000)));
    }

    @Test
    void aHostThatAnswersAgainIsUsedAtOnce() {
        directory.onUnanswered(GONE, 1_000);
        directory.onAnswered(GONE);
        assertEquals(Set.of(GONE, LIVE), new HashSet<>(directory.responsiveHosts(1_001)));
    }

    /** If no host answered, for example because of a network failure, none of them is preferred. */
    @Test
    void ifNoHostAnsweredAllAreTried() {
        directory.onUnanswered(GONE, 1_000);
        directory.onUnanswered(LIVE, 1_000);
        assertEquals(Set.of(GONE, LIVE), new HashSet<>(directory.responsiveHosts(1_001)));
    }

    /** The hosts after the first page of rows were unknown, also the owner among them. */
    @Test
    void hostsOnLaterPagesAreRead() throws InterruptedException {
        EventLoop otherLoop = new EventLoop("test", 1_024, Throwable::printStackTrace);
        FakeRowStore manyRows = new FakeRowStore(otherLoop);
        int count = RowRange.MAX_ROWS + 100;
        for (int i = 0; i < count; i++) {
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1_000 + i);
            RowWrite write =
                    RowWrite.builder(RowNames.PART)
                            .put(RowNames.HOSTS, "host-" + i, row("host-" + i, address))
                            .build();
            manyRows.write(write, 0, outcome -> {});
        }
        HostDirectory large =
                new HostDirectory(otherLoop, manyRows, log, TestSettings.host("host"), 7);
        try {
            readRows(otherLoop, large, count);
        } finally {
            otherLoop.close();
        }
    }

    /**
     * The store executed the registration of an earlier incarnation after that of the present one.
     * Its owner's address was unknown to the other hosts from then on.
     */
    @Test
    void aHostWhoseRowWasReplacedByItsEarlierIncarnationRegistersAgain()
            throws InterruptedException {
        EventLoop otherLoop = new EventLoop("test", 1_024, Throwable::printStackTrace);
        FakeRowStore rows = new FakeRowStore(otherLoop);
        RowWrite late =
                RowWrite.builder(RowNames.PART)
                        .put(RowNames.HOSTS, "host", row("host", GONE))
                        .build();
        CountDownLatch repaired = new CountDownLatch(1);
        new HostDirectory(otherLoop, rows, log, TestSettings.host("host"), 7).start();
        otherLoop.schedule(500, () -> rows.write(late, 0, outcome -> {}));
        otherLoop.scheduleRepeating(
                600,
                () -> {
                    StoredRow stored = rows.table(RowNames.HOSTS).get(0);
                    if (RowCodec.host(stored).toOptional().orElseThrow().incarnation() == 7) {
                        repaired.countDown();
                    }
                });
        otherLoop.start();
        try {
            assertTrue(repaired.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        } finally {
            otherLoop.close();
        }
    }
}
