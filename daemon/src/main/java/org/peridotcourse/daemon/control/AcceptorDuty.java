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
import org.peridotcourse.config.ConfigTable;
import org.peridotcourse.config.OperatorRow;
import org.peridotcourse.config.RowFaults;
import org.peridotcourse.config.RowKey;
import org.peridotcourse.config.RowValidator;
import org.peridotcourse.config.TypedRow;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.platform.Row;
import org.peridotcourse.daemon.platform.RowPage;
import org.peridotcourse.daemon.platform.TableStore;
import org.peridotcourse.daemon.platform.Transaction;
import org.peridotcourse.daemon.platform.WriteOutcome;
import org.peridotcourse.membership.Peer;

/**
 * Validates configuration rows written by operators, and accepts or refuses them, while this daemon
 * holds the acceptor lease.
 *
 * <p>Every write is conditional on the commits of the lease row and of the validated rows, so a
 * write of a superseded acceptor, or one based on an outdated row, has no effect. If the response
 * to a write is lost, the write is repeated until its outcome is known, before any other row is
 * validated. Confined to one thread, the one of its {@link LeaseKeeper}.
 */
public final class AcceptorDuty implements Duty {
    /** Key of the acceptor lease in {@link LeaseKeeper#TABLE}. */
    public static final String LEASE_KEY = "acceptor";

    /**
     * Limits a transaction to about 200 rows, at up to two rows each; the same limit as for tasks.
     */
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
     * @param lease the lease with the key {@link #LEASE_KEY}
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
        Optional<LeaseHolder> heldLease = lease.heldLease(clock.getAsLong());
        if (heldLease.isEmpty()) {
            clearState();
            return;
        }
        if (pendingBatch.isPresent() && !send(pendingBatch.get())) {
            return;
        }
        if (loadedEpoch != heldLease.get().epoch()) {
            clearState();
            if (!loadStoredState()) {
                return;
            }
            loadedEpoch = heldLease.get().epoch();
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
        Optional<LeaseHolder> heldLease = lease.heldLease(clock.getAsLong());
        if (heldLease.isPresent() && daemonRows.readPeers(nowMillis).isPresent()) {
            String id = self.daemon() + "-" + self.incarnation();
            daemonRows.removeStaleRows(nowMillis, heldLease.get(), lease.key(), id);
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
        Optional<RowPage> acceptedPage =
                TableReader.readChanges(store, RowCodec.ACCEPTED_TABLE, 0).toOptional();
        Optional<RowPage> acceptancePage =
                TableReader.readChanges(store, RowCodec.ACCEPTANCE_TABLE, 0).toOptional();
        if (acceptedPage.isEmpty() || acceptancePage.isEmpty()) {
            return false;
        }
        for (Row row : acceptedPage.get().rows()) {
            RowKey.parse(row.key())
                    .flatMap(
                            key ->
                                    RowCodec.toConfigEntry(
                                            key, row.commit(), row.value().map(JsonNode::toString)))
                    .flatMap(entry -> entry.row())
                    .ifPresent(typed -> lastAccepted.put(typed.rowKey(), typed));
        }
        for (Row row : acceptancePage.get().rows()) {
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
            Result<RowPage> read = TableReader.readChanges(store, table.tableName(), since);
            if (!(read instanceof Result.Ok<RowPage> ok)) {
                return false;
            }
            for (Row row : ok.value().rows()) {
                OperatorRow operatorRow = RowCodec.toOperatorRow(new RowKey(table, row.key()), row);
                operatorRows.put(operatorRow.key(), operatorRow);
                unsettledKeys.add(operatorRow.key());
            }
            if (since == 0) {
                addRemovedRows(table, ok.value().commit());
            }
            lastReadCommits.put(table, ok.value().commit());
        }
        return true;
    }

    /**
     * Adds removals for accepted rows that are absent from a table. The first read of a table
     * returns only existing rows, so it does not report removals.
     */
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
            StoredAcceptance acceptance = storedAcceptances.get(key);
            boolean settled =
                    acceptance != null
                            && acceptance.rowCommit() == row.commit()
                            && acceptance.accepted();
            if (!settled) {
                changed.add(row);
            }
        }
        List<Acceptance> newAcceptances = new ArrayList<>();
        for (Acceptance acceptance : RowValidator.validate(changed, lastAccepted)) {
            if (!StoredAcceptance.of(acceptance).equals(storedAcceptances.get(acceptance.key()))) {
                newAcceptances.add(acceptance);
            } else if (!RowValidator.isRetryable(acceptance)) {
                unsettledKeys.remove(acceptance.key());
            }
        }
        unsettledKeys.removeIf(key -> changed.stream().noneMatch(row -> row.key().equals(key)));
        for (int from = 0; from < newAcceptances.size(); from += MAX_ROWS_PER_WRITE) {
            int to = Math.min(newAcceptances.size(), from + MAX_ROWS_PER_WRITE);
            Optional<LeaseHolder> heldLease = lease.heldLease(clock.getAsLong());
            if (heldLease.isEmpty()
                    || !send(buildBatch(heldLease.get(), newAcceptances.subList(from, to)))) {
                return;
            }
        }
    }

    private Batch buildBatch(LeaseHolder heldLease, List<Acceptance> acceptances) {
        writeCount++;
        String id = self.daemon() + "-" + self.incarnation() + "-accept-" + writeCount;
        Transaction.Builder builder = Transaction.builder(id);
        builder.check(LeaseKeeper.TABLE, lease.key(), heldLease.commit());
        // The checks of the lease and of the operators' rows still hold after this write has taken
        // effect. Checking a row that it changes makes a repeat after a lost response conflict,
        // instead of writing the same rows again as a second version.
        RowKey first = acceptances.get(0).key();
        builder.check(
                RowCodec.ACCEPTANCE_TABLE,
                first.toString(),
                acceptanceCommits.getOrDefault(first, 0L));
        boolean changesAcceptedRows = false;
        for (Acceptance acceptance : acceptances) {
            OperatorRow row = operatorRows.get(acceptance.key());
            String rowPath = acceptance.key().toString();
            boolean removed = row.columns().isEmpty();
            builder.check(
                    acceptance.key().table().tableName(),
                    acceptance.key().key(),
                    removed ? 0 : row.commit());
            builder.put(RowCodec.ACCEPTANCE_TABLE, rowPath, RowCodec.acceptanceRow(acceptance));
            if (acceptance.isAccepted() && !removed) {
                RowCodec.parseObject(row.text())
                        .ifPresent(json -> builder.put(RowCodec.ACCEPTED_TABLE, rowPath, json));
                changesAcceptedRows = true;
            } else if (acceptance.isAccepted() && lastAccepted.containsKey(acceptance.key())) {
                builder.delete(RowCodec.ACCEPTED_TABLE, rowPath);
                changesAcceptedRows = true;
            }
        }
        if (changesAcceptedRows) {
            builder.put(
                    RowCodec.ACCEPTED_TABLE,
                    RowCodec.VERSION_KEY,
                    RowCodec.versionRow(self.daemon().value(), heldLease.epoch()));
        }
        List<OperatorRow> evaluatedRows =
                acceptances.stream().map(acceptance -> operatorRows.get(acceptance.key())).toList();
        return new Batch(builder.build(), List.copyOf(acceptances), evaluatedRows, false);
    }

    /** Writes a batch and returns true if it is known to have taken effect. */
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
            // A row has changed since this acceptor read it, so the next step reloads all state.
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
            Acceptance acceptance = batch.acceptances().get(i);
            OperatorRow row = batch.evaluatedRows().get(i);
            storedAcceptances.put(acceptance.key(), StoredAcceptance.of(acceptance));
            acceptanceCommits.put(acceptance.key(), commit);
            if (acceptance.isAccepted()) {
                row.columns()
                        .flatMap(
                                columns ->
                                        acceptance
                                                .key()
                                                .table()
                                                .parse(acceptance.key().key(), columns)
                                                .toOptional())
                        .ifPresentOrElse(
                                typed -> lastAccepted.put(acceptance.key(), typed),
                                () -> lastAccepted.remove(acceptance.key()));
            }
            logAcceptance(acceptance, row, commit);
        }
    }

    private void logAcceptance(Acceptance acceptance, OperatorRow row, long commit) {
        if (acceptance.refusal().isEmpty()) {
            log.event(ConfigEvent.ROW_ACCEPTED)
                    .with("row", acceptance.key())
                    .with("rowCommit", acceptance.rowCommit())
                    .with("version", commit)
                    .with("removed", row.columns().isEmpty())
                    .write();
            return;
        }
        RowFaults faults = acceptance.refusal().get();
        log.event(ConfigEvent.ROW_REFUSED)
                .with("row", acceptance.key())
                .with("rowCommit", acceptance.rowCommit())
                .with("code", faults.code())
                .with("reason", faults.message())
                .write();
    }

    /**
     * A write of validation results, with the rows that were validated.
     *
     * @param responseLost whether an earlier attempt of the write had no response
     */
    private record Batch(
            Transaction transaction,
            List<Acceptance> acceptances,
            List<OperatorRow> evaluatedRows,
            boolean responseLost) {
        Batch withResponseLost() {
            return new Batch(transaction, acceptances, evaluatedRows, true);
        }
    }

    /** The columns of an acceptance row as stored, to detect results that have not changed. */
    private record StoredAcceptance(long rowCommit, boolean accepted, String message) {
        static StoredAcceptance of(JsonNode json) {
            return new StoredAcceptance(
                    json.path("rowCommit").asLong(),
                    json.path("status").asText().equals("accepted"),
                    json.path("message").asText());
        }

        static StoredAcceptance of(Acceptance acceptance) {
            return new StoredAcceptance(
                    acceptance.rowCommit(),
                    acceptance.isAccepted(),
                    acceptance.refusal().map(RowFaults::message).orElse(""));
        }
    }
}
