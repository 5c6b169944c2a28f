package org.peridotcourse.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.peridotcourse.Result;
import org.peridotcourse.daemon.platform.Row;
import org.peridotcourse.daemon.platform.RowPage;
import org.peridotcourse.daemon.platform.TableStore;
import org.peridotcourse.daemon.platform.Transaction;
import org.peridotcourse.daemon.platform.WriteOutcome;

/** In-memory table store that counts calls and their bytes. Not thread-safe. */
final class InMemoryTableStore implements TableStore {
    private static final ObjectMapper JSON = new ObjectMapper();

    long reads;
    long writes;
    long bytes;
    private final TreeMap<String, TreeMap<String, Row>> tables = new TreeMap<>();
    private long commit;

    void resetCounts() {
        reads = 0;
        writes = 0;
        bytes = 0;
    }

    long commit() {
        return commit;
    }

    /** Writes rows of one table in one transaction, as an operator does. */
    void put(String table, List<String> keys, String value) {
        Transaction.Builder builder = Transaction.builder("operator-" + commit);
        keys.forEach(key -> builder.put(table, key, json(value)));
        apply(builder.build());
    }

    private static JsonNode json(String text) {
        try {
            return JSON.readTree(text);
        } catch (JsonProcessingException malformed) {
            throw new IllegalArgumentException(malformed);
        }
    }

    @Override
    public Result<Optional<Row>> row(String table, String key) {
        reads++;
        Optional<Row> row = Optional.ofNullable(table(table).get(key));
        bytes += HttpOverhead.BYTES + row.map(InMemoryTableStore::size).orElse(24L);
        return Result.ok(row);
    }

    @Override
    public Result<RowPage> rows(String table, String prefix, long since, int limit) {
        reads++;
        List<Row> changed =
                commit == since
                        ? List.of()
                        : table(table).values().stream()
                                .filter(row -> row.commit() > since)
                                .filter(row -> row.key().startsWith(prefix))
                                .sorted(Comparator.comparingLong(Row::commit))
                                .toList();
        List<Row> page = changed.subList(0, Math.min(limit, changed.size()));
        bytes += HttpOverhead.BYTES + 40 + page.stream().mapToLong(InMemoryTableStore::size).sum();
        return Result.ok(new RowPage(commit, page, page.size() < changed.size()));
    }

    private static long size(Row row) {
        long value = row.value().map(json -> json.toString().length()).orElse(14);
        return 46 + row.key().length() + row.writer().length() + value;
    }

    @Override
    public WriteOutcome write(Transaction transaction) {
        writes++;
        bytes += HttpOverhead.BYTES + 20 + FakeWorkers.toJsonBytes(transaction).length;
        List<WriteOutcome.Mismatch> conflicts = new ArrayList<>();
        for (Transaction.Check check : transaction.checks()) {
            Row row = table(check.table()).get(check.key());
            long found = row == null ? 0 : row.commit();
            if (found != check.commit()) {
                conflicts.add(new WriteOutcome.Mismatch(check.table(), check.key(), found));
            }
        }
        if (!conflicts.isEmpty()) {
            return new WriteOutcome.Conflict(conflicts);
        }
        apply(transaction);
        return new WriteOutcome.Committed(commit);
    }

    private void apply(Transaction transaction) {
        commit++;
        for (Transaction.Put put : transaction.puts()) {
            table(put.table())
                    .put(
                            put.key(),
                            new Row(put.key(), commit, transaction.id(), Optional.of(put.value())));
        }
        transaction.deletes().forEach(delete -> table(delete.table()).remove(delete.key()));
    }

    private TreeMap<String, Row> table(String name) {
        return tables.computeIfAbsent(name, key -> new TreeMap<>());
    }
}
