package org.peridotcourse.daemon.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.peridotcourse.Result;
import org.peridotcourse.daemon.ring.EventLoop;

/**
 * An in-memory store that answers on the event loop after a short latency. Confined to the event
 * loop.
 */
final class FakeRowStore implements RowStore {
    private static final long LATENCY_MILLIS = 5;

    /** Limits of the platform's store. */
    private static final int MAX_ROW_BYTES = 65_536;

    private static final int MAX_ENTRIES = 100;
    private static final int MAX_TRANSACTION_BYTES = 1_000_000;

    private final EventLoop loop;
    private final Map<String, StoredRow> rows = new TreeMap<>();

    /** Names of rows, as {@code table/key}, whose writes the store rejects as invalid. */
    final Set<String> rejectedRows = new HashSet<>();

    /** True while the store is unreachable. */
    boolean unavailable;

    /** The number of next writes that are applied and whose answers are lost. */
    int answersToLose;

    /** True if the next write gets no answer and is applied only after a later read. */
    boolean appliesNextWriteLate;

    /** The number of reads after which a late write is applied. */
    int readsBeforeLateWrite = 1;

    /** Monotonic time at which the last write was applied. */
    long lastAppliedAt;

    /** Runs once, after the next read was executed and before its answer arrives. */
    Runnable afterNextRead = () -> {};

    /** The key with which slow reads begin, empty for none. */
    String slowKey = "";

    /** Additional latency of slow reads. */
    long slowMillis;

    /** The number of writes whose conditions did not hold. */
    int conflicts;

    /** The number of writes that were rejected as invalid. */
    int rejectedWrites;

    private long version;
    private Optional<RowWrite> lateWrite = Optional.empty();

    FakeRowStore(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public void read(RowRange range, long timeoutMillis, Consumer<Result<RowSet>> handler) {
        if (unavailable) {
            loop.schedule(LATENCY_MILLIS, () -> handler.accept(unreachable()));
            return;
        }
        List<StoredRow> found = new ArrayList<>();
        for (StoredRow row : rows.values()) {
            boolean atOrAfterStart =
                    range.from().isEmpty() || row.key().compareTo(range.from()) >= 0;
            boolean beforeEnd = range.to().isEmpty() || row.key().compareTo(range.to()) < 0;
            if (row.table().equals(range.table()) && atOrAfterStart && beforeEnd) {
                found.add(row);
            }
        }
        boolean hasMore = found.size() > range.limit();
        List<StoredRow> page = hasMore ? found.subList(0, range.limit()) : found;
        RowSet set = new RowSet(page, hasMore, version);
        if (--readsBeforeLateWrite <= 0) {
            applyLateWrite();
        }
        Runnable afterRead = afterNextRead;
        afterNextRead = () -> {};
        afterRead.run();
        long latency = LATENCY_MILLIS + (range.from().equals(slowKey) ? slowMillis : 0);
        loop.schedule(latency, () -> handler.accept(Result.ok(set)));
    }

    /** Applies the write that is late, if there is one and its conditions still hold. */
    void applyLateWrite() {
        Optional<RowWrite> late = lateWrite;
        lateWrite = Optional.empty();
        late.ifPresent(write -> write(write, 0, outcome -> {}));
    }

    @Override
    public void write(RowWrite write, long timeoutMillis, Consumer<RowOutcome> handler) {
        if (unavailable) {
            RowOutcome notApplied = new RowOutcome.NotApplied(RowStoreFailure.UNREACHABLE);
            loop.schedule(LATENCY_MILLIS, () -> handler.accept(notApplied));
            return;
        }
        if (appliesNextWriteLate) {
            appliesNextWriteLate = false;
            lateWrite = Optional.of(write);
            loop.schedule(
                    LATENCY_MILLIS,
                    () -> handler.accept(new RowOutcome.Unknown(RowStoreFailure.NO_ANSWER)));
            return;
        }
        if (exceedsLimits(write)) {
            rejectedWrites++;
            RowOutcome rejected = new RowOutcome.NotApplied(RowStoreFailure.MISUNDERSTOOD);
            loop.schedule(LATENCY_MILLIS, () -> handler.accept(rejected));
            return;
        }
        List<StoredRow> currentRows = new ArrayList<>();
        boolean conditionsHold = true;
        for (RowWrite.Expected condition : write.expected()) {
            StoredRow row = rows.get(condition.row().table() + "/" + condition.row().key());
            conditionsHold &= condition.version() == (row == null ? 0 : row.version());
            if (row != null) {
                currentRows.add(row);
            }
        }
        if (!conditionsHold) {
            conflicts++;
            loop.schedule(
                    LATENCY_MILLIS, () -> handler.accept(new RowOutcome.Conflict(currentRows)));
            return;
        }
        version++;
        long written = version;
        for (RowWrite.Put put : write.puts()) {
            RowWrite.Key key = put.row();
            rows.put(
                    key.table() + "/" + key.key(),
                    new StoredRow(key.table(), key.key(), put.value(), written, false));
        }
        write.deletes().forEach(key -> rows.remove(key.table() + "/" + key.key()));
        lastAppliedAt = loop.nowMillis();
        boolean answerLost = answersToLose > 0;
        answersToLose = Math.max(0, answersToLose - 1);
        RowOutcome outcome =
                answerLost
                        ? new RowOutcome.Unknown(RowStoreFailure.UNREACHABLE)
                        : new RowOutcome.Written(written);
        loop.schedule(LATENCY_MILLIS, () -> handler.accept(outcome));
    }

    private static Result<RowSet> unreachable() {
        return Result.failed(RowStoreFailure.UNREACHABLE);
    }

    private boolean exceedsLimits(RowWrite write) {
        int entries = write.expected().size() + write.puts().size() + write.deletes().size();
        int bytes = 0;
        boolean invalid = entries > MAX_ENTRIES;
        for (RowWrite.Put put : write.puts()) {
            bytes += put.value().length * 4 / 3;
            invalid |= put.value().length > MAX_ROW_BYTES;
            invalid |= rejectedRows.contains(put.row().table() + "/" + put.row().key());
        }
        return invalid || bytes > MAX_TRANSACTION_BYTES;
    }

    /** Returns the rows of a table. */
    List<StoredRow> table(String table) {
        return rows.values().stream().filter(row -> row.table().equals(table)).toList();
    }

    @Override
    public void changes(
            String table, long after, long waitMillis, Consumer<Result<RowSet>> handler) {
        loop.schedule(waitMillis, () -> handler.accept(Result.ok(new RowSet(List.of(), false, 0))));
    }
}
