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
 * <p>A claim is reported as claimed only after its write is confirmed. If the store does not
 * confirm the write, {@code STORE_UNAVAILABLE} is reported, and the write is repeated until it is
 * known whether it took effect; if it did, the claim is released. Writes of releases and responses
 * are conditional on the commit of the claim, so that they may be repeated under a new transaction.
 * Public methods are thread-safe.
 */
public final class RequestKeyThread implements RequestKeyStore, AutoCloseable {
    private static final int MAX_ROWS_PER_TRANSACTION = 200;
    private static final int WRITE_ATTEMPTS = 2;
    private static final long RETRY_MILLIS = 250;
    private static final long IDLE_MILLIS = 1_000;

    /**
     * Maximum size of all response bodies that wait to be stored while the store is unavailable;
     * responses beyond it are not stored.
     */
    private static final long MAX_UNSTORED_BYTES = 4 << 20;

    private final String daemon;
    private final RequestIds ids;
    private final TableStore store;
    private final ObjectStore objects;
    private final long intervalMillis;
    private final LongSupplier clock;
    private final EventLog log;
    private final EventRing<Runnable> ring;
    private final Thread thread = new Thread(this::loop, "keys");

    private final Map<String, Claim> pendingClaims = new LinkedHashMap<>();
    private final Map<String, ConfirmedClaim> confirmedClaims = new HashMap<>();
    private final Map<String, ConfirmedClaim> pendingReleases = new LinkedHashMap<>();
    private final Map<String, UnstoredResponse> unstoredResponses = new LinkedHashMap<>();
    private final List<UnsettledWrite> unsettledWrites = new ArrayList<>();

    private volatile Listener listener = (request, result, stored) -> {};
    private volatile boolean running = true;
    private volatile boolean storeUnavailable;
    private volatile int pending;
    private long unstoredBytes;
    private long retryAtMillis;

    RequestKeyThread(
            Options options,
            TableStore store,
            ObjectStore objects,
            LongSupplier clock,
            EventLog log) {
        this.daemon = options.daemon();
        this.ids = options.transactions();
        this.intervalMillis = options.intervalMillis();
        this.ring = new EventRing<>(options.ringCapacity());
        this.store = store;
        this.objects = objects;
        this.clock = clock;
        this.log = log;
    }

    /**
     * Options of the thread.
     *
     * @param daemon the name of the daemon
     * @param transactions generates the identifiers of transactions
     * @param intervalMillis the time within which claims share a transaction
     * @param ringCapacity the maximum number of queued events
     */
    record Options(String daemon, RequestIds transactions, long intervalMillis, int ringCapacity) {}

    /** A claim that the store confirmed. */
    private record ConfirmedClaim(Claim claim, long commit) {}

    /** A response to be stored. */
    private record UnstoredResponse(ConfirmedClaim confirmed, HttpReply reply) {}

    /** A group of claims whose write may or may not have taken effect. */
    private record UnsettledWrite(Transaction transaction, List<Claim> claims) {}

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /**
     * Sets the listener for the results of claims.
     *
     * @param newListener the listener
     */
    void setListener(Listener newListener) {
        listener = newListener;
    }

    /**
     * Returns the number of pending writes.
     *
     * @return the number, approximate
     */
    public int pending() {
        return pending + ring.size();
    }

    /**
     * Returns whether the store is unavailable.
     *
     * @return true from a write without a response until the next one with a response
     */
    public boolean isStoreUnavailable() {
        return storeUnavailable;
    }

    @Override
    public boolean claim(Claim claim) {
        if (storeUnavailable) {
            listener.onClaimResult(
                    claim.request(), ClaimResult.STORE_UNAVAILABLE, Optional.empty());
            return true;
        }
        return ring.offer(() -> pendingClaims.put(claim.request(), claim));
    }

    @Override
    public void release(Claim claim) {
        boolean accepted =
                ring.offerResult(
                        () -> {
                            pendingClaims.remove(claim.request());
                            ConfirmedClaim confirmed = confirmedClaims.remove(claim.request());
                            if (confirmed != null) {
                                pendingReleases.put(claim.request(), confirmed);
                            }
                        });
        if (!accepted) {
            logNotStored(claim, "ring-full");
        }
    }

    @Override
    public void forget(String request) {
        ring.offerResult(() -> confirmedClaims.remove(request));
    }

    @Override
    public void store(Claim claim, HttpReply reply) {
        boolean accepted =
                ring.offerResult(
                        () -> {
                            ConfirmedClaim confirmed = confirmedClaims.remove(claim.request());
                            if (confirmed == null) {
                                return;
                            }
                            if (unstoredBytes + reply.body().length > MAX_UNSTORED_BYTES) {
                                logNotStored(claim, "too-many-bytes");
                                return;
                            }
                            unstoredBytes += reply.body().length;
                            unstoredResponses.put(
                                    claim.request(), new UnstoredResponse(confirmed, reply));
                        });
        if (!accepted) {
            logNotStored(claim, "ring-full");
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
                pending =
                        pendingClaims.size()
                                + pendingReleases.size()
                                + unstoredResponses.size()
                                + unsettledWrites.size();
                long now = clock.getAsLong();
                if (storeUnavailable && now < retryAtMillis) {
                    refusePendingClaims();
                    ring.await(retryAtMillis - now);
                } else if (pending == 0) {
                    groupStart = -1;
                    ring.await(IDLE_MILLIS);
                } else if (groupStart < 0) {
                    groupStart = now;
                } else if (now - groupStart < intervalMillis) {
                    ring.await(intervalMillis - (now - groupStart));
                } else {
                    groupStart = -1;
                    writePending();
                }
            } catch (RuntimeException fault) {
                ProcessEvent.recordFault(log, "keys", fault);
            }
        }
    }

    private void writePending() {
        resolveUnsettledWrites();
        if (!storeUnavailable) {
            writeClaims();
        }
        if (!storeUnavailable) {
            writeResponses();
        }
        if (!storeUnavailable) {
            writeReleases();
        }
    }

    private void writeClaims() {
        Map<String, Claim> group = new LinkedHashMap<>();
        Iterator<Claim> all = pendingClaims.values().iterator();
        while (all.hasNext() && group.size() < MAX_ROWS_PER_TRANSACTION) {
            Claim claim = all.next();
            if (group.putIfAbsent(claim.rowKey(), claim) == null) {
                all.remove();
            }
        }
        if (group.isEmpty()) {
            return;
        }
        Transaction.Builder builder = Transaction.builder(ids.next());
        for (Claim claim : group.values()) {
            builder.check(RequestRowFormat.TABLE, claim.rowKey(), 0);
            builder.put(
                    RequestRowFormat.TABLE,
                    claim.rowKey(),
                    RequestRowFormat.claimRow(daemon, claim));
        }
        Transaction transaction = builder.build();
        WriteOutcome outcome = store.writeWithRetries(transaction, WRITE_ATTEMPTS);
        if (outcome instanceof WriteOutcome.Committed committed) {
            for (Claim claim : group.values()) {
                confirmedClaims.put(claim.request(), new ConfirmedClaim(claim, committed.commit()));
                report(claim, ClaimResult.CLAIMED, Optional.empty());
            }
        } else if (outcome instanceof WriteOutcome.Conflict conflict) {
            Set<String> conflicting = conflictingRowKeys(conflict);
            for (Claim claim : group.values()) {
                if (conflicting.contains(claim.rowKey())) {
                    reportExistingRow(claim);
                } else if (conflicting.isEmpty()) {
                    report(claim, ClaimResult.STORE_UNAVAILABLE, Optional.empty());
                } else {
                    pendingClaims.put(claim.request(), claim);
                }
            }
        } else {
            markStoreUnavailable(transaction);
            unsettledWrites.add(new UnsettledWrite(transaction, List.copyOf(group.values())));
            group.values()
                    .forEach(
                            claim ->
                                    report(claim, ClaimResult.STORE_UNAVAILABLE, Optional.empty()));
        }
    }

    /**
     * Reads the row that another request wrote under the key, and reports the claim's result. If
     * the row cannot be read, the request that wrote it may have run.
     */
    private void reportExistingRow(Claim claim) {
        Result<Optional<Row>> read = store.row(RequestRowFormat.TABLE, claim.rowKey());
        if (!(read instanceof Result.Ok<Optional<Row>> ok)) {
            report(claim, ClaimResult.IN_PROGRESS, Optional.empty());
            return;
        }
        Optional<JsonNode> value = ok.value().flatMap(Row::value);
        if (value.isEmpty()) {
            pendingClaims.put(claim.request(), claim);
            return;
        }
        JsonNode row = value.get();
        if (!row.path("fingerprint").asText().equals(claim.fingerprint())) {
            report(claim, ClaimResult.REUSED, Optional.empty());
            return;
        }
        Optional<CallerResponse> stored =
                row.path("state").asText().equals("done")
                        ? RequestRowFormat.toResponse(claim.request(), row, objects)
                        : Optional.empty();
        report(claim, stored.isPresent() ? ClaimResult.DONE : ClaimResult.IN_PROGRESS, stored);
    }

    /** Repeats unsettled writes until their effect is known, and releases the claims they wrote. */
    private void resolveUnsettledWrites() {
        while (!unsettledWrites.isEmpty()) {
            UnsettledWrite write = unsettledWrites.get(0);
            WriteOutcome outcome = store.repeatWrite(write.transaction());
            if (outcome instanceof WriteOutcome.Unknown) {
                markStoreUnavailable(write.transaction());
                return;
            }
            storeUnavailable = false;
            unsettledWrites.remove(0);
            if (outcome instanceof WriteOutcome.Committed committed) {
                for (Claim claim : write.claims()) {
                    pendingReleases.put(
                            claim.request(), new ConfirmedClaim(claim, committed.commit()));
                }
            }
        }
        storeUnavailable = false;
    }

    private void writeResponses() {
        Map<String, UnstoredResponse> group = firstRows(unstoredResponses);
        if (group.isEmpty()) {
            return;
        }
        Transaction.Builder builder = Transaction.builder(ids.next());
        for (UnstoredResponse unstored : group.values()) {
            Claim claim = unstored.confirmed().claim();
            var row = RequestRowFormat.doneRow(daemon, claim, unstored.reply(), objects);
            if (row.toOptional().isEmpty()) {
                storeUnavailable = true;
                retryAtMillis = clock.getAsLong() + RETRY_MILLIS;
                return;
            }
            builder.check(RequestRowFormat.TABLE, claim.rowKey(), unstored.confirmed().commit());
            builder.put(RequestRowFormat.TABLE, claim.rowKey(), row.toOptional().get());
        }
        Transaction transaction = builder.build();
        removeWritten(transaction, store.write(transaction), group, unstoredResponses);
        unstoredBytes =
                unstoredResponses.values().stream()
                        .mapToLong(unstored -> unstored.reply().body().length)
                        .sum();
    }

    private void writeReleases() {
        Map<String, ConfirmedClaim> group = firstRows(pendingReleases);
        if (group.isEmpty()) {
            return;
        }
        Transaction.Builder builder = Transaction.builder(ids.next());
        for (ConfirmedClaim confirmed : group.values()) {
            builder.check(RequestRowFormat.TABLE, confirmed.claim().rowKey(), confirmed.commit());
            builder.delete(RequestRowFormat.TABLE, confirmed.claim().rowKey());
        }
        Transaction transaction = builder.build();
        removeWritten(transaction, store.write(transaction), group, pendingReleases);
    }

    /** Removes rows that were written, or that conflict because an earlier write took effect. */
    private <T> void removeWritten(
            Transaction transaction,
            WriteOutcome outcome,
            Map<String, T> group,
            Map<String, T> all) {
        if (outcome instanceof WriteOutcome.Unknown) {
            markStoreUnavailable(transaction);
            return;
        }
        storeUnavailable = false;
        if (outcome instanceof WriteOutcome.Conflict conflict && !conflict.rows().isEmpty()) {
            Set<String> conflicting = conflictingRowKeys(conflict);
            group.keySet().removeIf(request -> !conflicting.contains(rowKeyOf(group.get(request))));
        }
        all.keySet().removeAll(group.keySet());
    }

    private static String rowKeyOf(Object entry) {
        return entry instanceof UnstoredResponse unstored
                ? unstored.confirmed().claim().rowKey()
                : ((ConfirmedClaim) entry).claim().rowKey();
    }

    private void refusePendingClaims() {
        pendingClaims
                .values()
                .forEach(claim -> report(claim, ClaimResult.STORE_UNAVAILABLE, Optional.empty()));
        pendingClaims.clear();
    }

    private void markStoreUnavailable(Transaction transaction) {
        storeUnavailable = true;
        retryAtMillis = clock.getAsLong() + RETRY_MILLIS;
        log.event(RequestEvent.KEY_UNSETTLED)
                .with("transaction", transaction.id())
                .with("rows", transaction.checks().size())
                .write();
    }

    private void report(Claim claim, ClaimResult result, Optional<CallerResponse> stored) {
        log.event(RequestEvent.KEY_CLAIMED)
                .with("request", claim.request())
                .with("customer", claim.customer())
                .with("key", claim.key())
                .with("result", result)
                .forSubject(claim.request())
                .write();
        listener.onClaimResult(claim.request(), result, stored);
    }

    private void logNotStored(Claim claim, String reason) {
        log.event(RequestEvent.KEY_UNFINISHED)
                .with("request", claim.request())
                .with("customer", claim.customer())
                .with("key", claim.key())
                .with("reason", reason)
                .write();
    }

    private static Set<String> conflictingRowKeys(WriteOutcome.Conflict conflict) {
        Set<String> keys = new HashSet<>();
        conflict.rows().forEach(row -> keys.add(row.key()));
        return keys;
    }

    private static <T> Map<String, T> firstRows(Map<String, T> all) {
        Map<String, T> group = new LinkedHashMap<>();
        for (Map.Entry<String, T> entry : all.entrySet()) {
            if (group.size() == MAX_ROWS_PER_TRANSACTION) {
                break;
            }
            group.put(entry.getKey(), entry.getValue());
        }
        return group;
    }
}
