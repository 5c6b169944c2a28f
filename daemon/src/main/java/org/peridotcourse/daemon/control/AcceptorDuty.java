package org.peridotcourse.daemon.control;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.peridotcourse.Result;
import org.peridotcourse.base.LeaseHolder;
import org.peridotcourse.config.Acceptance;
import org.peridotcourse.config.Acceptor;
import org.peridotcourse.config.ConfigTable;
import org.peridotcourse.config.OperatorRow;
import org.peridotcourse.config.RowFaults;
import org.peridotcourse.config.RowKey;
import org.peridotcourse.config.TypedRow;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.platform.Row;
import org.peridotcourse.daemon.platform.RowPage;
import org.peridotcourse.daemon.platform.TableStore;
import org.peridotcourse.daemon.platform.Transaction;
import org.peridotcourse.daemon.platform.WriteOutcome;
import org.peridotcourse.membership.Peer;

/**
 * Accepts or refuses operators' rows while this daemon holds the acceptor's lease.
 *
 * <p>Every write checks the lease row and the commits of the judged rows, so neither a superseded
 * acceptor nor a judgement of an outdated row takes effect. A write whose answer was lost is
 * repeated until its effect is known, before anything else is judged. Confined to one thread, the
 * one of its {@link LeaseKeeper}.
 */
public final class AcceptorDuty implements Duty {
    /** Key of the acceptor's lease row. */
    public static final String LEASE_KEY = "acceptor";

    /** Keeps a transaction at about 200 rows, as for tasks. */
    private static final int MAX_ROWS_PER_WRITE = 100;

    private static final long STALE_ROW_CHECK_PERIOD_MILLIS = 60_000;

    private final TableStore store;
    private final DaemonRows daemonRows;
    private final LeaseKeeper lease;
    private final Peer self;
    private final LongSupplier clock;
    private final EventLog log;

    private final Map<ConfigTable, Long> lastReadCommits = new EnumMap<>(ConfigTable.class);
    private final Map<RowKey, OperatorRow> operatorRows = new HashMap<>();
    private final Map<RowKey, TypedRow> lastAccepted = new HashMap<>();
    private final Map<RowKey, StoredAcceptance> storedAcceptances = new HashMap<>();
    private final Map<RowKey, Long> acceptanceCommits = new HashMap<>();
    private final Set<RowKey> unsettledKeys = new HashSet<>();
    private long loadedEpoch;
    private long writeCount;
    private long lastStaleRowCheckMillis;
    private Optional<Batch> pendingBatch = Optional.empty();

    /**
     * Creates the duty.
     *
     * @param store the table service
     * @param lease keeps the row {@link #LEASE_KEY}
     * @param self this daemon
     * @param clock the monotonic clock, read before each write
     * @param log receives {@link ConfigEvent} records
     */
    public AcceptorDuty(
            TableStore store, LeaseKeeper lease, Peer self, LongSupplier clock, EventLog log) {
        this.store = store;
        this.daemonRows = new DaemonRows(store);
        this.lease = lease;
        this.self = self;
        this.clock = clock;
        this.log = log;
    }

    @Override
    public void step(long nowMillis) {
        Optional<LeaseHolder> held = lease.heldLease(clock.getAsLong());
        if (held.isEmpty()) {
            clearState();
            return;
        }
        if (pendingBatch.isPresent() && !send(pendingBatch.get())) {
            return;
        }
        if (loadedEpoch != held.get().epoch()) {
            clearState();
            if (!loadStoredState()) {
                return;
            }
            loadedEpoch = held.get().epoch();
        }
        if (readOperatorRows()) {
            evaluateChanges();
        }
        removeStaleDaemonRows(nowMillis);
    }

    private void removeStaleDaemonRows(long nowMillis) {
        if (nowMillis - lastStaleRowCheckMillis < STALE_ROW_CHECK_PERIOD_MILLIS) {
            return;
        }
        lastStaleRowCheckMillis = nowMillis;
        Optional<LeaseHolder> held = lease.heldLease(clock.getAsLong());
        if (held.isPresent() && daemonRows.readPeers(nowMillis).isPresent()) {
            String id = self.daemon() + "-" + self.incarnation();
            daemonRows.removeStaleRows(nowMillis, held.get(), lease.key(), id);
        }
    }

    private void clearState() {
        loadedEpoch = 0;
        lastReadCommits.clear();
        operatorRows.clear();
        lastAccepted.clear();
        storedAcceptances.clear();
        acceptanceCommits.clear();
        unsettledKeys.clear();
        pendingBatch = Optional.empty();
    }

    private boolean loadStoredState() {
        Optional<RowPage> acceptedRows =
                TableReader.readChanges(store, RowCodec.ACCEPTED_TABLE, 0).toOptional();
        Optional<RowPage> noteRows =
                TableReader.readChanges(store, RowCodec.ACCEPTANCE_TABLE, 0).toOptional();
        if (acceptedRows.isEmpty() || noteRows.isEmpty()) {
            return false;
        }
        for (Row row : acceptedRows.get().rows()) {
            RowKey.parse(row.key())
                    .flatMap(
                            key ->
                                    RowCodec.toConfigEntry(
                                            key, row.commit(), row.value().map(JsonNode::toString)))
                    .flatMap(entry -> entry.row())
                    .ifPresent(typed -> lastAccepted.put(typed.rowKey(), typed));
        }
        for (Row row : noteRows.get().rows()) {
            Optional<RowKey> key = RowKey.parse(row.key());
            if (key.isPresent() && row.value().isPresent()) {
                storedAcceptances.put(key.get(), StoredAcceptance.of(row.value().get()));
                acceptanceCommits.put(key.get(), row.commit());
            }
        }
        return true;
    }

    private boolean readOperatorRows() {
        for (ConfigTable table : ConfigTable.values()) {
            long since = lastReadCommits.getOrDefault(table, 0L);
            Result<RowPage> read = TableReader.readChanges(store, table.title(), since);
            if (!(read instanceof Result.Ok<RowPage> ok)) {
                return false;
            }
            for (Row row : ok.value().rows()) {
                OperatorRow found = RowCodec.toOperatorRow(new RowKey(table, row.key()), row);
                operatorRows.put(found.key(), found);
                unsettledKeys.add(found.key());
            }
            if (since == 0) {
                addRemovedRows(table, ok.value().commit());
            }
            lastReadCommits.put(table, ok.value().commit());
        }
        return true;
    }

    /** A first read shows only present rows; accepted ones that it lacks have been removed. */
    private void addRemovedRows(ConfigTable table, long commit) {
        for (RowKey key : lastAccepted.keySet()) {
            if (key.table() == table && !operatorRows.containsKey(key)) {
                operatorRows.put(key, OperatorRow.removed(key, commit));
                unsettledKeys.add(key);
            }
        }
    }

    private void evaluateChanges() {
        List<OperatorRow> changed = new ArrayList<>();
        for (RowKey key : unsettledKeys) {
            OperatorRow row = operatorRows.get(key);
            StoredAcceptance note = storedAcceptances.get(key);
            boolean settled = note != null && note.rowCommit() == row.commit() && note.accepted();
            if (!settled) {
                changed.add(row);
            }
        }
        List<Acceptance> news = new ArrayList<>();
        for (Acceptance note : Acceptor.judge(changed, lastAccepted)) {
            if (!StoredAcceptance.of(note).equals(storedAcceptances.get(note.key()))) {
                news.add(note);
            } else if (!Acceptor.isWorthRetry(note)) {
                unsettledKeys.remove(note.key());
            }
        }
        unsettledKeys.removeIf(key -> changed.stream().noneMatch(row -> row.key().equals(key)));
        for (int from = 0; from < news.size(); from += MAX_ROWS_PER_WRITE) {
            int to = Math.min(news.size(), from + MAX_ROWS_PER_WRITE);
            Optional<LeaseHolder> held = lease.heldLease(clock.getAsLong());
            if (held.isEmpty() || !send(buildBatch(held.get(), news.subList(from, to)))) {
                return;
            }
        }
    }

    private Batch buildBatch(LeaseHolder held, List<Acceptance> batch) {
        writeCount++;
        String id = self.daemon() + "-" + self.incarnation() + "-accept-" + writeCount;
        Transaction.Builder builder = Transaction.builder(id);
        builder.check(LeaseKeeper.TABLE, lease.key(), held.commit());
        // The lease and the judged rows do not change by this write. The check of a row that it
        // writes lets
        // a repeat after a lost answer fail, instead of giving the same rows a second version.
        RowKey first = batch.get(0).key();
        builder.check(
                RowCodec.ACCEPTANCE_TABLE,
                first.toString(),
                acceptanceCommits.getOrDefault(first, 0L));
        boolean changes = false;
        for (Acceptance note : batch) {
            OperatorRow row = operatorRows.get(note.key());
            String path = note.key().toString();
            boolean removed = row.columns().isEmpty();
            builder.check(note.key().table().title(), note.key().key(), removed ? 0 : row.commit());
            builder.put(RowCodec.ACCEPTANCE_TABLE, path, RowCodec.acceptanceRow(note));
            if (note.isAccepted() && !removed) {
                RowCodec.parseObject(row.text())
                        .ifPresent(json -> builder.put(RowCodec.ACCEPTED_TABLE, path, json));
                changes = true;
            } else if (note.isAccepted() && lastAccepted.containsKey(note.key())) {
                builder.delete(RowCodec.ACCEPTED_TABLE, path);
                changes = true;
            }
        }
        if (changes) {
            builder.put(
                    RowCodec.ACCEPTED_TABLE,
                    RowCodec.VERSION_KEY,
                    RowCodec.versionRow(self.daemon().value(), held.epoch()));
        }
        List<OperatorRow> judged =
                batch.stream().map(note -> operatorRows.get(note.key())).toList();
        return new Batch(builder.build(), List.copyOf(batch), judged, false);
    }

    /** Sends a batch and returns true if it took effect. */
    private boolean send(Batch batch) {
        pendingBatch = Optional.empty();
        WriteOutcome outcome = store.write(batch.transaction());
        if (outcome instanceof WriteOutcome.Conflict && batch.responseLost()) {
            outcome = resolveConflict(batch, outcome);
        }
        if (outcome instanceof WriteOutcome.Committed committed) {
            onCommitted(batch, committed.commit());
            return true;
        }
        if (outcome instanceof WriteOutcome.Unknown) {
            pendingBatch = Optional.of(batch.withResponseLost());
            log.event(ConfigEvent.ACCEPTANCE_UNKNOWN).with("id", batch.transaction().id()).write();
        } else {
            // Something differs from what this acceptor has read, so it reads everything again.
            loadedEpoch = 0;
        }
        return false;
    }

    private WriteOutcome resolveConflict(Batch batch, WriteOutcome conflict) {
        Transaction.Put first = batch.transaction().puts().get(0);
        Result<Optional<Row>> read = store.row(first.table(), first.key());
        if (!(read instanceof Result.Ok<Optional<Row>> ok)) {
            return new WriteOutcome.Unknown();
        }
        return ok.value()
                .filter(row -> row.writer().equals(batch.transaction().id()))
                .<WriteOutcome>map(row -> new WriteOutcome.Committed(row.commit()))
                .orElse(conflict);
    }

    private void onCommitted(Batch batch, long commit) {
        for (int i = 0; i < batch.acceptances().size(); i++) {
            Acceptance note = batch.acceptances().get(i);
            OperatorRow row = batch.evaluatedRows().get(i);
            storedAcceptances.put(note.key(), StoredAcceptance.of(note));
            acceptanceCommits.put(note.key(), commit);
            if (note.isAccepted()) {
                row.columns()
                        .flatMap(c -> note.key().table().parse(note.key().key(), c).toOptional())
                        .ifPresentOrElse(
                                typed -> lastAccepted.put(note.key(), typed),
                                () -> lastAccepted.remove(note.key()));
            }
            logAcceptance(note, row, commit);
        }
    }

    private void logAcceptance(Acceptance note, OperatorRow row, long commit) {
        if (note.refusal().isEmpty()) {
            log.event(ConfigEvent.ROW_ACCEPTED)
                    .with("row", note.key())
                    .with("rowCommit", note.rowCommit())
                    .with("version", commit)
                    .with("removed", row.columns().isEmpty())
                    .write();
            return;
        }
        RowFaults faults = note.refusal().get();
        log.event(ConfigEvent.ROW_REFUSED)
                .with("row", note.key())
                .with("rowCommit", note.rowCommit())
                .with("code", faults.code())
                .with("reason", faults.message())
                .write();
    }

    /** A write of notes, with the rows that they judge. */
    private record Batch(
            Transaction transaction,
            List<Acceptance> acceptances,
            List<OperatorRow> evaluatedRows,
            boolean responseLost) {
        Batch withResponseLost() {
            return new Batch(transaction, acceptances, evaluatedRows, true);
        }
    }

    /** A note in the form in which the table service holds it. */
    private record StoredAcceptance(long rowCommit, boolean accepted, String message) {
        static StoredAcceptance of(JsonNode json) {
            return new StoredAcceptance(
                    json.path("rowCommit").asLong(),
                    json.path("status").asText().equals("accepted"),
                    json.path("message").asText());
        }

        static StoredAcceptance of(Acceptance note) {
            return new StoredAcceptance(
                    note.rowCommit(),
                    note.isAccepted(),
                    note.refusal().map(RowFaults::message).orElse(""));
        }
    }
}
