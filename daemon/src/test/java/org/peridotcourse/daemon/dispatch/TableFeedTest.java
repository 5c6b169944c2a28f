package org.peridotcourse.daemon.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.peridotcourse.Result;
import org.peridotcourse.daemon.log.DecisionRing;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.ring.EventLoop;

/** Guards against a feed that loses a row or stops. */
class TableFeedTest {
    private static final long TIMEOUT_SECONDS = 10;
    private static final int PAGE_ROWS = 2;
    private static final String TABLE = "t";

    private final EventLog log = new EventLog(System.getLogger("test"), new DecisionRing(16));
    private final EventLoop loop = new EventLoop("test", 1_024, fault -> {});
    private final PagedStore store = new PagedStore();
    private final Map<String, Long> delivered = new ConcurrentSkipListMap<>();
    private volatile int caughtUp;

    @AfterEach
    void close() {
        loop.close();
    }

    /** A table that is read in pages of two rows and can change between two pages. */
    private final class PagedStore implements RowStore {
        final TreeMap<String, StoredRow> rows = new TreeMap<>();
        final List<StoredRow> history = new ArrayList<>();
        Runnable afterFirstPage = () -> {};
        boolean failsSecondPage;
        long historyFrom;
        long version;

        void put(String key) {
            version++;
            StoredRow row = new StoredRow(TABLE, key, new byte[0], version, false);
            rows.put(key, row);
            history.add(row);
        }

        @Override
        public void read(RowRange range, long timeoutMillis, Consumer<Result<RowSet>> handler) {
            boolean first = range.from().isEmpty();
            if (!first && failsSecondPage) {
                failsSecondPage = false;
                loop.schedule(1, () -> handler.accept(Result.failed(RowStoreFailure.NO_ANSWER)));
                return;
            }
            List<StoredRow> found = new ArrayList<>(rows.tailMap(range.from(), true).values());
            boolean more = found.size() > PAGE_ROWS;
            List<StoredRow> page = List.copyOf(more ? found.subList(0, PAGE_ROWS) : found);
            RowSet set = new RowSet(page, more, version);
            if (first) {
                Runnable between = afterFirstPage;
                afterFirstPage = () -> {};
                between.run();
            }
            loop.schedule(1, () -> handler.accept(Result.ok(set)));
        }

        @Override
        public void changes(
                String table, long after, long waitMillis, Consumer<Result<RowSet>> handler) {
            loop.schedule(
                    1,
                    () -> {
                        if (after < historyFrom) {
                            handler.accept(Result.failed(RowStoreFailure.HISTORY_GONE));
                            return;
                        }
                        List<StoredRow> later =
                                history.stream().filter(row -> row.version() > after).toList();
                        handler.accept(Result.ok(new RowSet(later, false, version)));
                    });
        }

        @Override
        public void write(RowWrite write, long timeoutMillis, Consumer<RowOutcome> handler) {
            throw new AssertionError("a feed does not write");
        }
    }

    /** Records the versions of rows, and throws at the first delivery of the row "faulty". */
    private final class Listener implements TableFeed.Listener {
        private boolean thrown;

        @Override
        public void onRow(StoredRow row) {
            if (row.key().equals("faulty") && !thrown) {
                thrown = true;
                Optional.empty().orElseThrow();
            }
            delivered.put(row.key(), row.version());
        }

        @Override
        public void onRemoved(String key) {
            delivered.remove(key);
        }

        @Override
        public void onCaughtUp() {
            caughtUp++;
        }
    }

    private void startFeed() {
        TableFeed.Options options = new TableFeed.Options(TABLE, "", 0, 1, 100);
        TableFeed feed = new TableFeed(loop, store, log, options, new Listener(), false);
        loop.start();
        loop.post(feed::start);
    }

    private void await(BooleanSupplier condition) throws InterruptedException {
        CountDownLatch reached = new CountDownLatch(1);
        loop.post(
                () ->
                        loop.scheduleRepeating(
                                5,
                                () -> {
                                    if (condition.getAsBoolean()) {
                                        reached.countDown();
                                    }
                                }));
        assertTrue(reached.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), "has " + delivered);
    }

    /**
     * An exception in a listener stopped the feed permanently, so no other row of its table was
     * delivered.
     */
    @Test
    void anExceptionForOneRowStopsNeitherOtherRowsNorTheFeed() throws InterruptedException {
        List.of("a", "faulty", "z").forEach(store::put);
        startFeed();
        await(() -> delivered.containsKey("z") && caughtUp == 1);
        loop.post(() -> store.put("later"));
        await(() -> delivered.containsKey("later"));
    }

    @Test
    void rowsThatChangeBetweenTwoPagesAreDeliveredOnceMore() throws InterruptedException {
        List.of("a", "b", "c", "d", "e").forEach(store::put);
        store.afterFirstPage =
                () -> {
                    store.put("a");
                    store.put("aa");
                    store.put("d");
                };
        startFeed();
        await(() -> delivered.size() == 6 && delivered.get("a") == 6 && delivered.get("d") == 8);
        assertEquals(1, caughtUp);
    }

    @Test
    void aFailedPageAndALostHistoryLoseNoRow() throws InterruptedException {
        List.of("a", "b", "c", "d", "e").forEach(store::put);
        store.failsSecondPage = true;
        store.afterFirstPage =
                () -> {
                    store.put("aa");
                    store.historyFrom = store.version;
                    store.history.clear();
                };
        startFeed();
        await(() -> delivered.size() == 6);
        assertEquals(1, caughtUp);
    }

    /** The change history is dropped while the pages of the first read arrive. */
    @Test
    void aHistoryThatIsDroppedDuringTheFirstReadingHidesNoRow() throws InterruptedException {
        List.of("a", "b", "c", "d", "e").forEach(store::put);
        store.afterFirstPage =
                () -> {
                    store.put("aa");
                    store.put("e");
                    store.historyFrom = store.version;
                    store.history.clear();
                };
        startFeed();
        await(() -> delivered.size() == 6 && delivered.get("e") == 7);
        assertEquals(1, caughtUp);
    }
}
