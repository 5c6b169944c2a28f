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
    private static final int MAX_NOTES = 100;

    private static final long SWEEP_PERIOD_MILLIS = 60_000;

    private final TableStore store;
    private final DaemonRows daemons;
    private final LeaseKeeper lease;
    private final Peer self;
    private final LongSupplier clock;
    private final EventLog log;

    private final Map<ConfigTable, Long> readUpTo = new EnumMap<>(ConfigTable.class);
    private final Map<RowKey, OperatorRow> rows = new HashMap<>();
    private final Map<RowKey, TypedRow> accepted = new HashMap<>();
    private final Map<RowKey, KnownNote> notes = new HashMap<>();
    private final Map<RowKey, Long> noteCommits = new HashMap<>();
    private final Set<RowKey> toJudge = new HashSet<>();
    private long loadedEpoch;
    private long writes;
    private long sweptMillis;
    private Optional<Batch> pending = Optional.empty();

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
        this.daemons = new DaemonRows(store);
        this.lease = lease;
        this.self = self;
        this.clock = clock;
        this.log = log;
    }

    @Override
    public void step(long nowMillis) {
        Optional<LeaseHolder> held = lease.held(clock.getAsLong());
        if (held.isEmpty()) {
            forget();
            return;
        }
        if (pending.isPresent() && !send(pending.get())) {
            return;
        }
        if (loadedEpoch != held.get().epoch()) {
            forget();
            if (!load()) {
                return;
            }
            loadedEpoch = held.get().epoch();
        }
        if (readChanges()) {
            judge();
        }
        sweepDaemons(nowMillis);
    }

    private void sweepDaemons(long nowMillis) {
        if (nowMillis - sweptMillis < SWEEP_PERIOD_MILLIS) {
            return;
        }
        sweptMillis = nowMillis;
        Optional<LeaseHolder> held = lease.held(clock.getAsLong());
        if (held.isPresent() && daemons.read(nowMillis).isPresent()) {
            String id = self.daemon() + "-" + self.incarnation();
            daemons.sweep(nowMillis, held.get(), lease.key(), id);
        }
    }

    private void forget() {
        loadedEpoch = 0;
        readUpTo.clear();
        rows.clear();
        accepted.clear();
        notes.clear();
        noteCommits.clear();
        toJudge.clear();
        pending = Optional.empty();
    }

    private boolean load() {
        Optional<RowPage> acceptedRows =
                TableReader.changes(store, RowCodec.ACCEPTED, 0).toOptional();
        Optional<RowPage> noteRows =
                TableReader.changes(store, RowCodec.ACCEPTANCE, 0).toOptional();
        if (acceptedRows.isEmpty() || noteRows.isEmpty()) {
            return false;
        }
        for (Row row : acceptedRows.get().rows()) {
            RowKey.parse(row.key())
                    .flatMap(
                            key ->
                                    RowCodec.entry(
                                            key, row.commit(), row.value().map(JsonNode::toString)))
                    .flatMap(entry -> entry.row())
                    .ifPresent(typed -> accepted.put(typed.rowKey(), typed));
        }
        for (Row row : noteRows.get().rows()) {
            Optional<RowKey> key = RowKey.parse(row.key());
            if (key.isPresent() && row.value().isPresent()) {
                notes.put(key.get(), KnownNote.of(row.value().get()));
                noteCommits.put(key.get(), row.commit());
            }
        }
        return true;
    }

    private boolean readChanges() {
        for (ConfigTable table : ConfigTable.values()) {
            long since = readUpTo.getOrDefault(table, 0L);
            Result<RowPage> read = TableReader.changes(store, table.tableName(), since);
            if (!(read instanceof Result.Ok<RowPage> ok)) {
                return false;
            }
            for (Row row : ok.value().rows()) {
                OperatorRow found = RowCodec.operatorRow(new RowKey(table, row.key()), row);
                rows.put(found.key(), found);
                toJudge.add(found.key());
            }
            if (since == 0) {
                addRemoved(table, ok.value().commit());
            }
            readUpTo.put(table, ok.value().commit());
        }
        return true;
    }

    /** A first read shows only present rows; accepted ones that it lacks have been removed. */
    private void addRemoved(ConfigTable table, long commit) {
        for (RowKey key : accepted.keySet()) {
            if (key.table() == table && !rows.containsKey(key)) {
                rows.put(key, OperatorRow.removed(key, commit));
                toJudge.add(key);
            }
        }
    }

    private void judge() {
        List<OperatorRow> changed = new ArrayList<>();
        for (RowKey key : toJudge) {
            OperatorRow row = rows.get(key);
            KnownNote note = notes.get(key);
            boolean settled = note != null && note.rowCommit() == row.commit() && note.accepted();
            if (!settled) {
                changed.add(row);
            }
        }
        List<Acceptance> news = new ArrayList<>();
        for (Acceptance note : RowValidator.validate(changed, accepted)) {
            if (!KnownNote.of(note).equals(notes.get(note.key()))) {
                news.add(note);
            } else if (!RowValidator.isRetryable(note)) {
                toJudge.remove(note.key());
            }
        }
        toJudge.removeIf(key -> changed.stream().noneMatch(row -> row.key().equals(key)));
        for (int from = 0; from < news.size(); from += MAX_NOTES) {
            int to = Math.min(news.size(), from + MAX_NOTES);
            Optional<LeaseHolder> held = lease.held(clock.getAsLong());
            if (held.isEmpty() || !send(batch(held.get(), news.subList(from, to)))) {
                return;
            }
        }
    }

    private Batch batch(LeaseHolder held, List<Acceptance> batch) {
        writes++;
        String id = self.daemon() + "-" + self.incarnation() + "-accept-" + writes;
        Transaction.Builder builder = Transaction.builder(id);
        builder.check(LeaseKeeper.TABLE, lease.key(), held.commit());
        // The lease and the judged rows do not change by this write. The check of a row that it
        // writes lets
        // a repeat after a lost answer fail, instead of giving the same rows a second version.
        RowKey first = batch.get(0).key();
        builder.check(RowCodec.ACCEPTANCE, first.toString(), noteCommits.getOrDefault(first, 0L));
        boolean changes = false;
        for (Acceptance note : batch) {
            OperatorRow row = rows.get(note.key());
            String path = note.key().toString();
            boolean removed = row.columns().isEmpty();
            builder.check(
                    note.key().table().tableName(), note.key().key(), removed ? 0 : row.commit());
            builder.put(RowCodec.ACCEPTANCE, path, RowCodec.note(note));
            if (note.isAccepted() && !removed) {
                RowCodec.json(row.text())
                        .ifPresent(json -> builder.put(RowCodec.ACCEPTED, path, json));
                changes = true;
            } else if (note.isAccepted() && accepted.containsKey(note.key())) {
                builder.delete(RowCodec.ACCEPTED, path);
                changes = true;
            }
        }
        if (changes) {
            builder.put(
                    RowCodec.ACCEPTED,
                    RowCodec.VERSION_KEY,
                    RowCodec.versionRow(self.daemon().value(), held.epoch()));
        }
        List<OperatorRow> judged = batch.stream().map(note -> rows.get(note.key())).toList();
        return new Batch(builder.build(), List.copyOf(batch), judged, false);
    }

    /** Sends a batch and returns true if it took effect. */
    private boolean send(Batch batch) {
        pending = Optional.empty();
        WriteOutcome outcome = store.write(batch.transaction());
        if (outcome instanceof WriteOutcome.Conflict && batch.answerLost()) {
            outcome = afterConflict(batch, outcome);
        }
        if (outcome instanceof WriteOutcome.Committed committed) {
            onCommitted(batch, committed.commit());
            return true;
        }
        if (outcome instanceof WriteOutcome.Unknown) {
            pending = Optional.of(batch.withAnswerLost());
            log.event(ConfigEvent.ACCEPTANCE_UNKNOWN).with("id", batch.transaction().id()).write();
        } else {
            // Something differs from what this acceptor has read, so it reads everything again.
            loadedEpoch = 0;
        }
        return false;
    }

    private WriteOutcome afterConflict(Batch batch, WriteOutcome conflict) {
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
        for (int i = 0; i < batch.notes().size(); i++) {
            Acceptance note = batch.notes().get(i);
            OperatorRow row = batch.judged().get(i);
            notes.put(note.key(), KnownNote.of(note));
            noteCommits.put(note.key(), commit);
            if (note.isAccepted()) {
                row.columns()
                        .flatMap(c -> note.key().table().parse(note.key().key(), c).toOptional())
                        .ifPresentOrElse(
                                typed -> accepted.put(note.key(), typed),
                                () -> accepted.remove(note.key()));
            }
            logNote(note, row, commit);
        }
    }

    private void logNote(Acceptance note, OperatorRow row, long commit) {
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
            List<Acceptance> notes,
            List<OperatorRow> judged,
            boolean answerLost) {
        Batch withAnswerLost() {
            return new Batch(transaction, notes, judged, true);
        }
    }

    /** A note in the form in which the table service holds it. */
    private record KnownNote(long rowCommit, boolean accepted, String message) {
        static KnownNote of(JsonNode json) {
            return new KnownNote(
                    json.path("rowCommit").asLong(),
                    json.path("status").asText().equals("accepted"),
                    json.path("message").asText());
        }

        static KnownNote of(Acceptance note) {
            return new KnownNote(
                    note.rowCommit(),
                    note.isAccepted(),
                    note.refusal().map(RowFaults::message).orElse(""));
        }
    }
}
