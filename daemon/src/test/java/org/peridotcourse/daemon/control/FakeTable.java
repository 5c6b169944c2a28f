package org.peridotcourse.daemon.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import org.peridotcourse.Result;
import org.peridotcourse.daemon.platform.Row;
import org.peridotcourse.daemon.platform.RowPage;
import org.peridotcourse.daemon.platform.StoreFailure;
import org.peridotcourse.daemon.platform.TableStore;
import org.peridotcourse.daemon.platform.Transaction;
import org.peridotcourse.daemon.platform.WriteOutcome;

/** In-memory table service with commits, outages, lost responses and delayed writes. */
public final class FakeTable implements TableStore {
    /** A fault that is injected into one write. */
    public enum Fault {
        /** The write takes effect, but its response is lost. */
        LOSE_RESPONSE,
        /** The write is lost before it takes effect. */
        LOSE_REQUEST,
        /**
         * The write takes effect at the next {@link FakeTable#applyDelayedWrites}; its response is
         * lost.
         */
        DELAY
    }

    public final Deque<Fault> writeFaults = new ConcurrentLinkedDeque<>();

    /**
     * Faults apply only to writes that put rows into this table, or to any write if it is empty.
     */
    public volatile String faultTable = "";

    final List<Transaction> appliedTransactions = new ArrayList<>();
    public volatile boolean unavailable;

    /** Divides the requested page size, so that reads of small tables need several pages. */
    int pageDivisor = 1;

    private final Map<String, TreeMap<String, Row>> tables = new TreeMap<>();
    private final List<Transaction> delayedWrites = new ArrayList<>();
    private long commit;
    private long operatorWrites;

    static JsonNode parseJson(String text) {
        try {
            return new ObjectMapper().readTree(text.replace('\'', '"'));
        } catch (JsonProcessingException malformed) {
            throw new IllegalArgumentException(malformed);
        }
    }

    /** Writes a row as an operator and returns its commit. */
    public synchronized long put(String table, String key, String text) {
        Transaction edit =
                Transaction.builder("operator-" + operatorWrites++)
                        .put(table, key, parseJson(text))
                        .build();
        return ((WriteOutcome.Committed) apply(edit)).commit();
    }

    synchronized void remove(String table, String key) {
        apply(Transaction.builder("operator-" + operatorWrites++).delete(table, key).build());
    }

    /** Applies the writes with the fault {@link Fault#DELAY}. */
    synchronized void applyDelayedWrites() {
        delayedWrites.forEach(this::apply);
        delayedWrites.clear();
    }

    public synchronized Optional<JsonNode> value(String table, String key) {
        return Optional.ofNullable(table(table).get(key)).flatMap(Row::value);
    }

    synchronized long commit(String table, String key) {
        return Optional.ofNullable(table(table).get(key)).map(Row::commit).orElse(0L);
    }

    @Override
    public synchronized Result<Optional<Row>> row(String table, String key) {
        return unavailable
                ? Result.failed(StoreFailure.UNAVAILABLE)
                : Result.ok(
                        Optional.ofNullable(table(table).get(key))
                                .filter(row -> row.value().isPresent()));
    }

    @Override
    public synchronized Result<RowPage> rows(String table, String prefix, long since, int limit) {
        if (unavailable) {
            return Result.failed(StoreFailure.UNAVAILABLE);
        }
        List<Row> changed =
                table(table).values().stream()
                        .filter(row -> row.commit() > since && row.key().startsWith(prefix))
                        .filter(row -> since > 0 || row.value().isPresent())
                        .sorted(Comparator.comparingLong(Row::commit))
                        .toList();
        int size = Math.min(changed.size(), Math.max(1, limit / pageDivisor));
        return Result.ok(new RowPage(commit, changed.subList(0, size), size < changed.size()));
    }

    @Override
    public synchronized WriteOutcome write(Transaction transaction) {
        if (unavailable) {
            return new WriteOutcome.Unknown();
        }
        boolean faultApplies =
                faultTable.isEmpty()
                        || transaction.puts().stream()
                                .anyMatch(put -> put.table().equals(faultTable));
        Fault fault = faultApplies ? writeFaults.poll() : null;
        if (fault == null) {
            return apply(transaction);
        }
        if (fault == Fault.LOSE_RESPONSE) {
            apply(transaction);
        } else if (fault == Fault.DELAY) {
            delayedWrites.add(transaction);
        }
        return new WriteOutcome.Unknown();
    }

    private WriteOutcome apply(Transaction transaction) {
        List<WriteOutcome.Mismatch> conflicts = new ArrayList<>();
        for (Transaction.Check check : transaction.checks()) {
            Row row = table(check.table()).get(check.key());
            long foundCommit = row == null || row.value().isEmpty() ? 0 : row.commit();
            if (foundCommit != check.commit()) {
                conflicts.add(new WriteOutcome.Mismatch(check.table(), check.key(), foundCommit));
            }
        }
        if (!conflicts.isEmpty()) {
            return new WriteOutcome.Conflict(conflicts);
        }
        commit++;
        appliedTransactions.add(transaction);
        for (Transaction.Put put : transaction.puts()) {
            Row row = new Row(put.key(), commit, transaction.id(), Optional.of(put.value()));
            table(put.table()).put(put.key(), row);
        }
        for (Transaction.Delete delete : transaction.deletes()) {
            Row row = new Row(delete.key(), commit, transaction.id(), Optional.empty());
            table(delete.table()).put(delete.key(), row);
        }
        return new WriteOutcome.Committed(commit);
    }

    private TreeMap<String, Row> table(String name) {
        return tables.computeIfAbsent(name, key -> new TreeMap<>());
    }
}
