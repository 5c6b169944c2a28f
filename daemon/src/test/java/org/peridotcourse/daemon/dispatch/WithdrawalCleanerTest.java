package org.peridotcourse.daemon.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.peridotcourse.daemon.log.DecisionRing;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.ring.EventLoop;

/**
 * Guards against withdrawals that stay in the store for good, and against the removal of those that
 * still prevent the late acceptance of a job.
 */
class WithdrawalCleanerTest {
    private static final long WALL_NOW = 1_800_000_000_000L;
    private static final long RETENTION_MILLIS =
            ProgressCleaner.retentionMillis(
                    TestSettings.host("host").limits().stateRetentionMillis());

    /** Exceeds the rows of a page and of a transaction. */
    private static final int MANY = 1_203;

    private final EventLog log = new EventLog(System.getLogger("test"), new DecisionRing(16));
    private final EventLoop loop = new EventLoop("test", 1_024, Throwable::printStackTrace);
    private final FakeRowStore store = new FakeRowStore(loop);
    private final List<String> deposed = new ArrayList<>();

    @BeforeEach
    void writeEpoch() {
        store.write(TestSettings.epochWrite("host/1", 1), 0, outcome -> {});
    }

    @AfterEach
    void close() {
        loop.close();
    }

    private void put(String table, String key, byte[] value) {
        store.write(
                RowWrite.builder(RowNames.PART).put(table, key, value).build(), 0, outcome -> {});
    }

    private void putWithdrawal(String id, long ageMillis) {
        put(RowNames.WITHDRAWN, id, RowCodec.withdrawal(WALL_NOW - ageMillis));
    }

    private Set<String> withdrawnIds() {
        return store.table(RowNames.WITHDRAWN).stream()
                .map(StoredRow::key)
                .collect(Collectors.toSet());
    }

    /** Runs the cleaner until a condition holds, which is evaluated on the event loop. */
    private void runUntil(BooleanSupplier condition) throws InterruptedException {
        HostComponents components = TestSettings.components(loop, store, log);
        WithdrawalCleaner cleaner = new WithdrawalCleaner(components, 1, 1, deposed::add);
        LoopDriver.runUntil(loop, () -> cleaner.step(loop.nowMillis(), WALL_NOW), condition);
    }

    @Test
    void onlyExpiredWithdrawalsAreRemoved() throws InterruptedException {
        putWithdrawal("young", RETENTION_MILLIS);
        put(RowNames.WITHDRAWN, "unreadable", "[[".getBytes(StandardCharsets.UTF_8));
        put(RowNames.WITHDRAWN, "huge", "{\"withdrawnAtMillis\":1e999}".getBytes());
        for (int i = 0; i < MANY; i++) {
            putWithdrawal("old-" + i, RETENTION_MILLIS + 1);
        }
        runUntil(() -> withdrawnIds().size() == 3);
        assertEquals(Set.of("young", "unreadable", "huge"), withdrawnIds());
        assertEquals(0, store.rejectedWrites);
        assertTrue(deposed.isEmpty(), deposed.toString());
    }

    /** The removal was decided by a row that has been replaced by a later cancellation since. */
    @Test
    void aWithdrawalThatWasRenewedIsKept() throws InterruptedException {
        putWithdrawal("renewed", RETENTION_MILLIS + 1);
        putWithdrawal("old", RETENTION_MILLIS + 1);
        store.afterNextRead = () -> putWithdrawal("renewed", 0);
        runUntil(() -> store.conflicts == 1);
        assertTrue(withdrawnIds().contains("renewed"));
        assertTrue(deposed.isEmpty(), deposed.toString());
    }

    @Test
    void anOwnerThatWasDeposedRemovesNothing() throws InterruptedException {
        putWithdrawal("old", RETENTION_MILLIS + 1);
        store.write(TestSettings.epochWrite("other/1", 2), 0, outcome -> {});
        runUntil(() -> !deposed.isEmpty());
        assertEquals(Set.of("old"), withdrawnIds());
    }
}
