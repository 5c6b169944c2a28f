package org.peridotcourse.daemon.entry;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.peridotcourse.Result;
import org.peridotcourse.daemon.platform.ObjectStore;
import org.peridotcourse.daemon.platform.Row;
import org.peridotcourse.daemon.platform.RowPage;
import org.peridotcourse.daemon.platform.StoreFailure;
import org.peridotcourse.daemon.platform.TableStore;
import org.peridotcourse.daemon.platform.Transaction;
import org.peridotcourse.daemon.platform.WriteOutcome;

/** Table service and object store in memory, which can be unavailable or lose responses. */
final class FakeTableStore implements TableStore, ObjectStore {
    private final Map<String, Row> rows = new TreeMap<>();
    private final Map<String, byte[]> objects = new TreeMap<>();
    private long commit;
    private int writes;
    private int responsesToLose;
    private int readsToFail;
    private final List<Transaction> lateWrites = new ArrayList<>();
    private boolean executesWritesLate;
    private boolean unavailable;
    private boolean unavailableAfterLoss;

    synchronized void setUnavailable(boolean isUnavailable) {
        unavailable = isUnavailable;
    }

    /** Loses the responses of the next writes, which take effect. */
    synchronized void loseResponses(int count) {
        responsesToLose = count;
    }

    /** Loses the response of the next write, which takes effect, and is then unavailable. */
    synchronized void loseResponseAndBecomeUnavailable() {
        responsesToLose = 1;
        unavailableAfterLoss = true;
    }

    /** Sets whether writes have no response and are executed only by {@link #executeLateWrites}. */
    synchronized void setExecutesWritesLate(boolean isLate) {
        executesWritesLate = isLate;
    }

    synchronized void executeLateWrites() {
        lateWrites.forEach(this::write);
        lateWrites.clear();
    }

    /** Fails the next reads of rows, while writes succeed. */
    synchronized void failReads(int count) {
        readsToFail = count;
    }

    synchronized int writes() {
        return writes;
    }

    synchronized Optional<JsonNode> value(String table, String key) {
        return Optional.ofNullable(rows.get(table + "/" + key)).flatMap(Row::value);
    }

    @Override
    public synchronized Result<Optional<Row>> row(String table, String key) {
        boolean fails = unavailable || readsToFail > 0;
        readsToFail = Math.max(0, readsToFail - 1);
        return fails
                ? Result.failed(StoreFailure.UNAVAILABLE)
                : Result.ok(Optional.ofNullable(rows.get(table + "/" + key)));
    }

    @Override
    public Result<RowPage> rows(String table, String prefix, long since, int limit) {
        return Result.failed(StoreFailure.PROTOCOL);
    }

    @Override
    public synchronized WriteOutcome write(Transaction transaction) {
        if (unavailable) {
            return new WriteOutcome.Unknown();
        }
        if (executesWritesLate) {
            lateWrites.add(transaction);
            return new WriteOutcome.Unknown();
        }
        List<WriteOutcome.Mismatch> conflicts = new ArrayList<>();
        for (Transaction.Check check : transaction.checks()) {
            Row row = rows.get(check.table() + "/" + check.key());
            long found = row == null ? 0 : row.commit();
            if (found != check.commit()) {
                conflicts.add(new WriteOutcome.Mismatch(check.table(), check.key(), found));
            }
        }
        if (!conflicts.isEmpty()) {
            return new WriteOutcome.Conflict(conflicts);
        }
        writes++;
        commit++;
        for (Transaction.Put put : transaction.puts()) {
            Row row = new Row(put.key(), commit, transaction.id(), Optional.of(put.value()));
            rows.put(put.table() + "/" + put.key(), row);
        }
        transaction.deletes().forEach(delete -> rows.remove(delete.table() + "/" + delete.key()));
        if (responsesToLose > 0) {
            responsesToLose--;
            unavailable = unavailableAfterLoss;
            unavailableAfterLoss = false;
            return new WriteOutcome.Unknown();
        }
        return new WriteOutcome.Committed(commit);
    }

    @Override
    public synchronized Result<Optional<byte[]>> read(String name) {
        return unavailable
                ? Result.failed(StoreFailure.UNAVAILABLE)
                : Result.ok(Optional.ofNullable(objects.get(name)));
    }

    @Override
    public synchronized Result<Integer> write(String name, byte[] content) {
        if (unavailable) {
            return Result.failed(StoreFailure.UNAVAILABLE);
        }
        objects.put(name, content);
        return Result.ok(content.length);
    }

    @Override
    public synchronized Result<Boolean> remove(String name) {
        return Result.ok(objects.remove(name) != null);
    }
}
