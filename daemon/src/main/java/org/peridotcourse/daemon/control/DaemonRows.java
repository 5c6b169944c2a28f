package org.peridotcourse.daemon.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import org.peridotcourse.DaemonId;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.Result;
import org.peridotcourse.base.LeaseHolder;
import org.peridotcourse.base.StringId;
import org.peridotcourse.daemon.platform.Row;
import org.peridotcourse.daemon.platform.RowPage;
import org.peridotcourse.daemon.platform.TableStore;
import org.peridotcourse.daemon.platform.Transaction;
import org.peridotcourse.daemon.platform.WriteOutcome;
import org.peridotcourse.membership.Peer;

/**
 * Access to the table {@code daemons}. Each daemon writes its own row, and the acceptor removes
 * rows that have not been rewritten for an hour. Confined to one thread.
 */
final class DaemonRows {
    static final String TABLE = "daemons";

    /**
     * Heartbeat period: a daemon rewrites its row to show that it is running. It is a quarter of
     * {@link #REMOVAL_AGE_MILLIS}.
     */
    static final long REWRITE_PERIOD_MILLIS = 900_000;

    /** Age at which the acceptor removes a row that has not been rewritten. */
    static final long REMOVAL_AGE_MILLIS = 3_600_000;

    private static final Pattern ADDRESS = Pattern.compile("[0-9A-Za-z.\\[\\]:-]+:[0-9]{1,5}");

    private final TableStore store;
    private final Map<String, Row> rows = new HashMap<>();
    private final Map<String, Long> lastChangeMillis = new HashMap<>();
    private long lastReadCommit;
    private long writeCount;
    private Optional<Long> lastWriteMillis = Optional.empty();

    DaemonRows(TableStore store) {
        this.store = store;
    }

    /** Reads changes and returns all valid rows, or empty if the read failed. */
    Optional<List<Peer>> readPeers(long nowMillis) {
        Result<RowPage> read = TableReader.readChanges(store, TABLE, lastReadCommit);
        if (!(read instanceof Result.Ok<RowPage> ok)) {
            return Optional.empty();
        }
        for (Row row : ok.value().rows()) {
            if (row.value().isPresent()) {
                rows.put(row.key(), row);
                lastChangeMillis.put(row.key(), nowMillis);
            } else {
                rows.remove(row.key());
                lastChangeMillis.remove(row.key());
            }
        }
        lastReadCommit = ok.value().commit();
        return Optional.of(rows.values().stream().flatMap(row -> parse(row).stream()).toList());
    }

    /** Writes this daemon's row if due, unless a later run with the same name has written it. */
    void writeOwnRow(long nowMillis, Peer self, String entryAddress) {
        boolean due =
                lastWriteMillis.map(last -> nowMillis - last >= REWRITE_PERIOD_MILLIS).orElse(true);
        Result<Optional<Row>> read =
                due ? store.row(TABLE, self.daemon().value()) : Result.ok(Optional.empty());
        if (!due || !(read instanceof Result.Ok<Optional<Row>> ok)) {
            return;
        }
        Optional<Peer> storedPeer = ok.value().flatMap(DaemonRows::parse);
        if (storedPeer.map(peer -> peer.incarnation() > self.incarnation()).orElse(false)) {
            return;
        }
        writeCount++;
        String key = self.daemon().value();
        ObjectNode value =
                JsonNodeFactory.instance
                        .objectNode()
                        .put("dataCentre", self.dataCentre().value())
                        .put("peerAddress", self.address())
                        .put("entryAddress", entryAddress)
                        .put("incarnation", self.incarnation());
        Transaction transaction =
                Transaction.builder(key + "-" + self.incarnation() + "-daemon-" + writeCount)
                        .check(TABLE, key, ok.value().map(Row::commit).orElse(0L))
                        .put(TABLE, key, value)
                        .build();
        if (store.write(transaction) instanceof WriteOutcome.Committed) {
            lastWriteMillis = Optional.of(nowMillis);
        }
    }

    /**
     * Removes rows in which this daemon has read no change for an hour, on condition that the
     * acceptor lease is still held.
     */
    void removeStaleRows(long nowMillis, LeaseHolder lease, String leaseKey, String idPrefix) {
        Transaction.Builder builder = null;
        writeCount++;
        for (Map.Entry<String, Long> lastChange : lastChangeMillis.entrySet()) {
            if (nowMillis - lastChange.getValue() >= REMOVAL_AGE_MILLIS) {
                if (builder == null) {
                    builder = Transaction.builder(idPrefix + "-sweep-" + writeCount);
                    builder.check(LeaseKeeper.TABLE, leaseKey, lease.commit());
                }
                builder.check(TABLE, lastChange.getKey(), rows.get(lastChange.getKey()).commit());
                builder.delete(TABLE, lastChange.getKey());
            }
        }
        if (builder != null) {
            store.write(builder.build());
        }
    }

    private static Optional<Peer> parse(Row row) {
        if (row.value().isEmpty()) {
            return Optional.empty();
        }
        JsonNode json = row.value().get();
        String dataCentre = json.path("dataCentre").asText();
        String address = json.path("peerAddress").asText();
        boolean valid =
                StringId.isValid(row.key())
                        && StringId.isValid(dataCentre)
                        && ADDRESS.matcher(address).matches();
        return valid
                ? Optional.of(
                        new Peer(
                                DaemonId.of(row.key()),
                                DataCentreId.of(dataCentre),
                                address,
                                json.path("incarnation").asLong()))
                : Optional.empty();
    }
}
