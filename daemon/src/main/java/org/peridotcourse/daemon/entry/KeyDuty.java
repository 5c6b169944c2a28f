package org.peridotcourse.daemon.entry;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.peridotcourse.Result;
import org.peridotcourse.daemon.ProcessEvent;
import org.peridotcourse.daemon.http.HttpReply;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.platform.ObjectStore;
import org.peridotcourse.daemon.platform.Row;
import org.peridotcourse.daemon.platform.TableStore;
import org.peridotcourse.daemon.platform.Transaction;
import org.peridotcourse.daemon.platform.WriteOutcome;
import org.peridotcourse.daemon.ring.EventRing;
import org.peridotcourse.routing.ClaimResult;

/**
 * The thread that claims request keys, releases them and stores responses, in grouped transactions.
 *
 * <p>A claim is reported as owned only when its write is confirmed. A claim without a confirmed
 * write is reported as unavailable; its write is then repeated until its effect is known, and an
 * effect is undone. Releases and responses are conditional on the commit of the claim, so they may
 * be repeated under a new transaction. Public methods are thread-safe.
 */
public final class KeyDuty implements KeyPort, AutoCloseable {
    private static final int MAX_GROUP = 200;
    private static final int SETTLE_TRIES = 2;
    private static final long RETRY_MILLIS = 250;
    private static final long IDLE_MILLIS = 1_000;

    /** Bodies that wait to be stored while the store is away; beyond it they are given up. */
    private static final long MAX_WAITING_BYTES = 4 << 20;

    private final String daemon;
    private final RequestIds ids;
    private final TableStore store;
    private final ObjectStore objects;
    private final long intervalMillis;
    private final LongSupplier clock;
    private final EventLog log;
    private final EventRing<Runnable> ring;
    private final Thread thread = new Thread(this::loop, "keys");

    private final Map<String, Claim> waiting = new LinkedHashMap<>();
    private final Map<String, Owned> owned = new HashMap<>();
    private final Map<String, Owned> releases = new LinkedHashMap<>();
    private final Map<String, Finished> finished = new LinkedHashMap<>();
    private final List<Unsettled> unsettled = new ArrayList<>();

    private volatile Listener listener = (request, result, stored) -> {};
    private volatile boolean running = true;
    private volatile boolean away;
    private volatile int pending;
    private long waitingBytes;
    private long retryAt;

    KeyDuty(Names names, TableStore store, ObjectStore objects, LongSupplier clock, EventLog log) {
        this.daemon = names.daemon();
        this.ids = names.transactions();
        this.intervalMillis = names.intervalMillis();
        this.ring = new EventRing<>(names.ringCapacity());
        this.store = store;
        this.objects = objects;
        this.clock = clock;
        this.log = log;
    }

    /**
     * Names and sizes of the key duty.
     *
     * @param daemon the name of the daemon
     * @param transactions identifiers of transactions
     * @param intervalMillis claims within this time share a transaction
     * @param ringCapacity the number of events that may wait
     */
    record Names(String daemon, RequestIds transactions, long intervalMillis, int ringCapacity) {}

    /** A claim that the store confirmed. */
    private record Owned(Claim claim, long commit) {}

    /** A response to be stored. */
    private record Finished(Owned owned, HttpReply reply) {}

    /** A group of claims whose write may or may not have taken effect. */
    private record Unsettled(Transaction transaction, List<Claim> claims) {}

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /**
     * Sets who takes the results of claims.
     *
     * @param taker the listener
     */
    void onClaims(Listener taker) {
        listener = taker;
    }

    /**
     * Returns the number of writes that wait.
     *
     * @return the number, approximate
     */
    public int pending() {
        return pending + ring.size();
    }

    /**
     * Tells whether the store does not answer at present.
     *
     * @return true from an unanswered write until the next answered one
     */
    public boolean isStoreAway() {
        return away;
    }

    @Override
    public boolean claim(Claim claim) {
        if (away) {
            listener.onClaim(claim.request(), ClaimResult.STORE_UNAVAILABLE, Optional.empty());
            return true;
        }
        return ring.offer(() -> waiting.put(claim.request(), claim));
    }

    @Override
    public void release(Claim claim) {
        boolean taken =
                ring.tryReport(
                        () -> {
                            waiting.remove(claim.request());
                            Owned own = owned.remove(claim.request());
                            if (own != null) {
                                releases.put(claim.request(), own);
                            }
                        });
        if (!taken) {
            notStored(claim, "ring-full");
        }
    }

    @Override
    public void forget(String request) {
        ring.tryReport(() -> owned.remove(request));
    }

    @Override
    public void store(Claim claim, HttpReply reply) {
        boolean taken =
                ring.tryReport(
                        () -> {
                            Owned own = owned.remove(claim.request());
                            if (own == null) {
                                return;
                            }
                            if (waitingBytes + reply.body().length > MAX_WAITING_BYTES) {
                                notStored(claim, "too-many-bytes");
                                return;
                            }
                            waitingBytes += reply.body().length;
                            finished.put(claim.request(), new Finished(own, reply));
                        });
        if (!taken) {
            notStored(claim, "ring-full");
        }
    }

    @Override
    public void close() {
        running = false;
        ring.join(thread, TimeUnit.SECONDS.toMillis(2));
    }

    private void loop() {
        long groupStart = -1;
        while (running) {
            try {
                for (Runnable event = ring.poll(); event != null; event = ring.poll()) {
                    event.run();
                }
                pending = waiting.size() + releases.size() + finished.size() + unsettled.size();
                long now = clock.getAsLong();
                if (away && now < retryAt) {
                    refuseWaiting();
                    ring.await(retryAt - now);
                } else if (pending == 0) {
                    groupStart = -1;
                    ring.await(IDLE_MILLIS);
                } else if (groupStart < 0) {
                    groupStart = now;
                } else if (now - groupStart < intervalMillis) {
                    ring.await(intervalMillis - (now - groupStart));
                } else {
                    groupStart = -1;
                    writeAll();
                }
            } catch (RuntimeException fault) {
                ProcessEvent.recordFault(log, "keys", fault);
            }
        }
    }

    private void writeAll() {
        settleOld();
        if (!away) {
            writeClaims();
        }
        if (!away) {
            writeFinished();
        }
        if (!away) {
            writeReleases();
        }
    }

    private void writeClaims() {
        Map<String, Claim> group = new LinkedHashMap<>();
        Iterator<Claim> all = waiting.values().iterator();
        while (all.hasNext() && group.size() < MAX_GROUP) {
            Claim claim = all.next();
            if (group.putIfAbsent(claim.row(), claim) == null) {
                all.remove();
            }
        }
        if (group.isEmpty()) {
            return;
        }
        Transaction.Builder builder = Transaction.builder(ids.next());
        for (Claim claim : group.values()) {
            builder.check(StoredAnswer.TABLE, claim.row(), 0);
            builder.put(StoredAnswer.TABLE, claim.row(), StoredAnswer.claimed(daemon, claim));
        }
        Transaction transaction = builder.build();
        WriteOutcome outcome = store.settle(transaction, SETTLE_TRIES);
        if (outcome instanceof WriteOutcome.Committed committed) {
            for (Claim claim : group.values()) {
                owned.put(claim.request(), new Owned(claim, committed.commit()));
                report(claim, ClaimResult.CLAIMED, Optional.empty());
            }
        } else if (outcome instanceof WriteOutcome.Conflict conflict) {
            Set<String> taken = keysOf(conflict);
            for (Claim claim : group.values()) {
                if (taken.contains(claim.row())) {
                    readOther(claim);
                } else if (taken.isEmpty()) {
                    report(claim, ClaimResult.STORE_UNAVAILABLE, Optional.empty());
                } else {
                    waiting.put(claim.request(), claim);
                }
            }
        } else {
            storeIsAway(transaction);
            unsettled.add(new Unsettled(transaction, List.copyOf(group.values())));
            group.values().forEach(c -> report(c, ClaimResult.STORE_UNAVAILABLE, Optional.empty()));
        }
    }

    /** Reads the row that somebody else wrote under the key. */
    private void readOther(Claim claim) {
        Result<Optional<Row>> read = store.row(StoredAnswer.TABLE, claim.row());
        if (!(read instanceof Result.Ok<Optional<Row>> ok)) {
            report(claim, ClaimResult.STORE_UNAVAILABLE, Optional.empty());
            return;
        }
        Optional<JsonNode> value = ok.value().flatMap(Row::value);
        if (value.isEmpty()) {
            waiting.put(claim.request(), claim);
            return;
        }
        JsonNode row = value.get();
        if (!row.path("fingerprint").asText().equals(claim.fingerprint())) {
            report(claim, ClaimResult.REUSED, Optional.empty());
            return;
        }
        Optional<CallerAnswer> stored =
                row.path("state").asText().equals("done")
                        ? StoredAnswer.toAnswer(claim.request(), row, objects)
                        : Optional.empty();
        report(claim, stored.isPresent() ? ClaimResult.DONE : ClaimResult.IN_PROGRESS, stored);
    }

    /** Repeats writes of claims until their effect is known, and undoes the effect. */
    private void settleOld() {
        while (!unsettled.isEmpty()) {
            Unsettled old = unsettled.get(0);
            WriteOutcome outcome = store.write(old.transaction());
            if (outcome instanceof WriteOutcome.Unknown) {
                storeIsAway(old.transaction());
                return;
            }
            Optional<Long> commit =
                    outcome instanceof WriteOutcome.Committed committed
                            ? Optional.of(committed.commit())
                            : ownCommit(old.transaction());
            away = false;
            unsettled.remove(0);
            commit.ifPresent(
                    number ->
                            old.claims()
                                    .forEach(
                                            claim ->
                                                    releases.put(
                                                            claim.request(),
                                                            new Owned(claim, number))));
        }
        away = false;
    }

    /** Returns the commit of a conflicting transaction if an earlier try of it took effect. */
    private Optional<Long> ownCommit(Transaction transaction) {
        Transaction.Put first = transaction.puts().get(0);
        return store.row(first.table(), first.key())
                .toOptional()
                .flatMap(row -> row)
                .filter(row -> row.writer().equals(transaction.id()))
                .map(Row::commit);
    }

    private void writeFinished() {
        Map<String, Finished> group = firstOf(finished);
        if (group.isEmpty()) {
            return;
        }
        Transaction.Builder builder = Transaction.builder(ids.next());
        for (Finished one : group.values()) {
            Claim claim = one.owned().claim();
            var row = StoredAnswer.done(daemon, claim, one.reply(), objects);
            if (row.toOptional().isEmpty()) {
                away = true;
                retryAt = clock.getAsLong() + RETRY_MILLIS;
                return;
            }
            builder.check(StoredAnswer.TABLE, claim.row(), one.owned().commit());
            builder.put(StoredAnswer.TABLE, claim.row(), row.toOptional().get());
        }
        Transaction transaction = builder.build();
        remove(transaction, store.write(transaction), group, finished);
        waitingBytes = finished.values().stream().mapToLong(f -> f.reply().body().length).sum();
    }

    private void writeReleases() {
        Map<String, Owned> group = firstOf(releases);
        if (group.isEmpty()) {
            return;
        }
        Transaction.Builder builder = Transaction.builder(ids.next());
        for (Owned own : group.values()) {
            builder.check(StoredAnswer.TABLE, own.claim().row(), own.commit());
            builder.delete(StoredAnswer.TABLE, own.claim().row());
        }
        Transaction transaction = builder.build();
        remove(transaction, store.write(transaction), group, releases);
    }

    /** Forgets what is written, and what conflicts because an earlier write took effect. */
    private <T> void remove(
            Transaction transaction,
            WriteOutcome outcome,
            Map<String, T> group,
            Map<String, T> all) {
        if (outcome instanceof WriteOutcome.Unknown) {
            storeIsAway(transaction);
            return;
        }
        away = false;
        if (outcome instanceof WriteOutcome.Conflict conflict && !conflict.rows().isEmpty()) {
            Set<String> taken = keysOf(conflict);
            group.keySet().removeIf(request -> !taken.contains(rowOf(group.get(request))));
        }
        all.keySet().removeAll(group.keySet());
    }

    private static String rowOf(Object one) {
        return one instanceof Finished done
                ? done.owned().claim().row()
                : ((Owned) one).claim().row();
    }

    private void refuseWaiting() {
        waiting.values().forEach(c -> report(c, ClaimResult.STORE_UNAVAILABLE, Optional.empty()));
        waiting.clear();
    }

    private void storeIsAway(Transaction transaction) {
        away = true;
        retryAt = clock.getAsLong() + RETRY_MILLIS;
        log.event(RequestEvent.KEY_UNSETTLED)
                .with("transaction", transaction.id())
                .with("rows", transaction.checks().size())
                .write();
    }

    private void report(Claim claim, ClaimResult result, Optional<CallerAnswer> stored) {
        log.event(RequestEvent.KEY_CLAIMED)
                .with("request", claim.request())
                .with("customer", claim.customer())
                .with("key", claim.key())
                .with("result", result)
                .about(claim.request())
                .write();
        listener.onClaim(claim.request(), result, stored);
    }

    private void notStored(Claim claim, String reason) {
        log.event(RequestEvent.ANSWER_NOT_STORED)
                .with("request", claim.request())
                .with("customer", claim.customer())
                .with("key", claim.key())
                .with("reason", reason)
                .write();
    }

    private static Set<String> keysOf(WriteOutcome.Conflict conflict) {
        Set<String> keys = new HashSet<>();
        conflict.rows().forEach(row -> keys.add(row.key()));
        return keys;
    }

    private static <T> Map<String, T> firstOf(Map<String, T> all) {
        Map<String, T> group = new LinkedHashMap<>();
        for (Map.Entry<String, T> entry : all.entrySet()) {
            if (group.size() == MAX_GROUP) {
                break;
            }
            group.put(entry.getKey(), entry.getValue());
        }
        return group;
    }
}
