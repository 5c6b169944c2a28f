package org.peridotcourse.daemon.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.peridotcourse.Result;
import org.peridotcourse.base.LeaseChallenger;
import org.peridotcourse.base.LeaseHolder;
import org.peridotcourse.base.LeaseRow;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.platform.Row;
import org.peridotcourse.daemon.platform.TableStore;
import org.peridotcourse.daemon.platform.Transaction;
import org.peridotcourse.daemon.platform.WriteOutcome;
import org.peridotcourse.membership.Peer;

/**
 * Acquires one lease, renews it, and releases it on a clean stop. The lease is a row of the table
 * service.
 *
 * <p>If the response to a write is lost, the write is repeated with the same transaction identifier
 * until its outcome is known. Until then the lease duration counts from the last confirmed write.
 * The duty that needs the lease runs on the same thread and calls {@link #heldLease} before each
 * action, with a fresh clock reading. Confined to one thread.
 */
public final class LeaseKeeper implements Duty {
    /** Table of lease rows. */
    public static final String TABLE = "leases";

    private final TableStore store;
    private final String key;
    private final Peer self;
    private final long leaseMillis;
    private final LongSupplier holdMillis;
    private final LongSupplier clock;
    private final EventLog log;
    private final LeaseChallenger challenger;

    private Optional<LeaseHolder> holder = Optional.empty();
    private Optional<PendingWrite> pendingWrite = Optional.empty();
    private boolean stopping;

    /** Commit of the last malformed row, 0 if none was read; each one is logged once. */
    private long malformedCommit;

    /**
     * Creates an instance that does not hold the lease yet.
     *
     * @param store the table service
     * @param key the key of the lease row
     * @param self this daemon; its name and incarnation are part of the transaction identifiers
     * @param durations the durations of the lease
     * @param clock the monotonic clock, read when a write is sent
     * @param log receives {@link ConfigEvent} records
     */
    public LeaseKeeper(
            TableStore store,
            String key,
            Peer self,
            Durations durations,
            LongSupplier clock,
            EventLog log) {
        this.store = store;
        this.key = key;
        this.self = self;
        this.leaseMillis = durations.leaseMillis();
        this.holdMillis = durations.holdMillis();
        this.clock = clock;
        this.log = log;
        this.challenger = new LeaseChallenger(self.daemon().value());
    }

    /**
     * The durations of a lease.
     *
     * @param leaseMillis how long the lease lasts from the sending of a confirmed write
     * @param holdMillis returns how long batch tasks may keep running after a confirmed write
     */
    public record Durations(long leaseMillis, LongSupplier holdMillis) {
        /**
         * Returns the durations of a lease that covers no tasks.
         *
         * @param leaseMillis how long the lease lasts from the sending of a confirmed write
         * @return the durations, with a hold as long as the lease
         */
        public static Durations of(long leaseMillis) {
            return new Durations(leaseMillis, () -> leaseMillis);
        }
    }

    /**
     * Returns the lease if this daemon holds it.
     *
     * @param nowMillis the present time, read right before the action that needs the lease
     * @return the lease, whose commit every write must check, or empty
     */
    public Optional<LeaseHolder> heldLease(long nowMillis) {
        return holder.filter(lease -> lease.isHeld(nowMillis));
    }

    /**
     * Tells whether this daemon was the last known holder, even if its lease has expired because
     * the table service does not confirm renewals.
     *
     * @return true until a conflict shows that another daemon has taken the lease over
     */
    public boolean isLastKnownHolder() {
        return holder.isPresent();
    }

    /**
     * Returns the observed state of the lease row, for the rule about tasks of another data centre.
     *
     * @return the challenger, updated by the steps while this daemon does not hold the lease
     */
    public LeaseChallenger challenger() {
        return challenger;
    }

    /**
     * Returns the key of the lease row.
     *
     * @return the key
     */
    public String key() {
        return key;
    }

    @Override
    public void step(long nowMillis) {
        if (pendingWrite.isPresent()) {
            send(pendingWrite.get());
        } else if (holder.isPresent()) {
            renew(nowMillis);
        } else if (!stopping) {
            tryTakeOver();
        }
    }

    /** Releases the lease on a clean stop, so that the successor need not wait for its expiry. */
    public void release() {
        stopping = true;
        if (pendingWrite.isPresent()) {
            send(pendingWrite.get());
        }
        if (holder.isPresent() && pendingWrite.isEmpty()) {
            LeaseHolder lease = holder.get();
            write(lease.release(), lease.commit());
            holder = Optional.empty();
            log.event(ConfigEvent.LEASE_RELEASED)
                    .with("lease", key)
                    .with("epoch", lease.epoch())
                    .write();
        }
    }

    private void tryTakeOver() {
        if (!observeRow()) {
            return;
        }
        challenger
                .takeover(clock.getAsLong(), leaseMillis, holdMillis.getAsLong())
                .ifPresent(row -> write(row, challenger.commit()));
    }

    private void renew(long nowMillis) {
        LeaseHolder lease = holder.get();
        lease.renewal(nowMillis, holdMillis.getAsLong())
                .ifPresent(row -> write(row, lease.commit()));
    }

    private void write(LeaseRow row, long commit) {
        String id =
                String.join(
                        "-",
                        self.daemon().value(),
                        Long.toString(self.incarnation()),
                        key,
                        Long.toString(row.epoch()),
                        Long.toString(row.writeNumber()),
                        Long.toString(commit));
        Transaction transaction =
                Transaction.builder(id)
                        .check(TABLE, key, commit)
                        .put(TABLE, key, toJson(row))
                        .build();
        send(new PendingWrite(transaction, row, clock.getAsLong()));
    }

    private void send(PendingWrite write) {
        pendingWrite = Optional.of(write);
        WriteOutcome outcome = store.write(write.transaction());
        if (outcome instanceof WriteOutcome.Committed committed) {
            onCommitted(write, committed.commit());
        } else if (outcome instanceof WriteOutcome.Conflict) {
            Result<Optional<Row>> read = store.row(TABLE, key);
            if (read instanceof Result.Ok<Optional<Row>> ok) {
                onConflict(write, ok.value());
            }
        }
    }

    private void onConflict(PendingWrite write, Optional<Row> currentRow) {
        Optional<Row> ownRow =
                currentRow.filter(row -> row.writer().equals(write.transaction().id()));
        if (ownRow.isPresent()) {
            onCommitted(write, ownRow.get().commit());
            return;
        }
        pendingWrite = Optional.empty();
        observe(clock.getAsLong(), currentRow);
        holder.ifPresent(
                lease -> {
                    lease.onSuperseded();
                    log.event(ConfigEvent.LEASE_LOST)
                            .with("lease", key)
                            .with("epoch", lease.epoch())
                            .with("reason", "superseded")
                            .write();
                });
        holder = Optional.empty();
    }

    private void onCommitted(PendingWrite write, long commit) {
        pendingWrite = Optional.empty();
        LeaseRow row = write.row();
        if (row.isReleased()) {
            return;
        }
        if (holder.isPresent()) {
            holder.get().onRenewalConfirmed(row, commit, write.sentMillis());
        } else {
            holder = Optional.of(new LeaseHolder(row, commit, write.sentMillis()));
            log.event(ConfigEvent.LEASE_TAKEN)
                    .with("lease", key)
                    .with("epoch", row.epoch())
                    .write();
        }
    }

    private boolean observeRow() {
        Result<Optional<Row>> read = store.row(TABLE, key);
        return read instanceof Result.Ok<Optional<Row>> ok
                && observe(clock.getAsLong(), ok.value());
    }

    /**
     * Passes the row to the challenger unless its columns are malformed. The lease of a malformed
     * row is not taken over, because its holder may act and its epoch is not known.
     *
     * @return true if the row is absent or well-formed
     */
    private boolean observe(long nowMillis, Optional<Row> currentRow) {
        Optional<JsonNode> columns = currentRow.flatMap(Row::value);
        Optional<LeaseRow> row = columns.flatMap(LeaseKeeper::parse);
        long commit = currentRow.map(Row::commit).orElse(0L);
        if (columns.isPresent() && row.isEmpty()) {
            logMalformed(commit);
            return false;
        }
        challenger.observe(nowMillis, row, commit);
        return true;
    }

    private void logMalformed(long commit) {
        if (commit != malformedCommit) {
            malformedCommit = commit;
            log.event(ConfigEvent.LEASE_UNREADABLE)
                    .with("lease", key)
                    .with("rowCommit", commit)
                    .write();
        }
    }

    /**
     * Converts the JSON columns of a lease row.
     *
     * @param json the columns
     * @return the row, or empty if a column is missing, of another type or out of range
     */
    public static Optional<LeaseRow> parse(JsonNode json) {
        boolean valid =
                json.path("holder").isTextual()
                        && isAtLeast(1, json.path("epoch"))
                        && isAtLeast(1, json.path("leaseMillis"))
                        && isAtLeast(1, json.path("holdMillis"))
                        && isAtLeast(0, json.path("beat"));
        if (!valid) {
            return Optional.empty();
        }
        return Optional.of(
                new LeaseRow(
                        json.path("holder").asText(),
                        json.path("epoch").asLong(),
                        json.path("leaseMillis").asLong(),
                        json.path("holdMillis").asLong(),
                        json.path("beat").asLong()));
    }

    private static boolean isAtLeast(long min, JsonNode column) {
        return column.canConvertToLong() && column.isIntegralNumber() && column.asLong() >= min;
    }

    private static JsonNode toJson(LeaseRow row) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("holder", row.holder())
                .put("epoch", row.epoch())
                .put("leaseMillis", row.leaseMillis())
                .put("holdMillis", row.holdMillis())
                .put("beat", row.writeNumber());
    }

    /** A write whose outcome is not known yet, with the time at which it was first sent. */
    private record PendingWrite(Transaction transaction, LeaseRow row, long sentMillis) {}
}
