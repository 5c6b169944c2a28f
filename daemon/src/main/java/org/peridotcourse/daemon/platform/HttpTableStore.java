package org.peridotcourse.daemon.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.peridotcourse.Result;
import org.peridotcourse.daemon.http.ChannelFactory;
import org.peridotcourse.daemon.http.HttpCall;
import org.peridotcourse.daemon.http.HttpReply;
import org.peridotcourse.daemon.log.EventLog;

/**
 * Table service client over HTTP with one keep-alive connection.
 *
 * <p>Calls of several threads are sent one after the other; a thread that writes often uses its own
 * instance. It is thread-safe.
 */
public final class HttpTableStore implements TableStore, AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final PlatformConnection connection;

    /**
     * Creates a client; the connection is opened by the first call.
     *
     * @param factory opens the connection
     * @param address the platform
     * @param timeoutMillis the time-out of a call, including opening the connection
     * @param log receives {@link PlatformEvent} records
     */
    public HttpTableStore(
            ChannelFactory factory, InetSocketAddress address, long timeoutMillis, EventLog log) {
        this.connection = new PlatformConnection(factory, address, timeoutMillis, log);
    }

    @Override
    public Result<Optional<Row>> row(String table, String key) {
        String target = "/v1/rows/" + encode(table) + "?key=" + encode(key);
        return read(target).map(HttpTableStore::singleRow);
    }

    @Override
    public Result<RowPage> rows(String table, String prefix, long since, int limit) {
        String target =
                "/v1/rows/"
                        + encode(table)
                        + "?prefix="
                        + encode(prefix)
                        + "&since="
                        + since
                        + "&limit="
                        + limit;
        return read(target).map(HttpTableStore::page);
    }

    @Override
    public WriteOutcome write(Transaction transaction) {
        byte[] body = encode(transaction);
        Result<HttpReply> reply = connection.call(HttpCall.json("POST", "/v1/transactions", body));
        if (!(reply instanceof Result.Ok<HttpReply> ok)) {
            return new WriteOutcome.Unknown();
        }
        Optional<JsonNode> json = parse(ok.value().body());
        if (ok.value().status() == 200 && json.isPresent() && json.get().has("commit")) {
            return new WriteOutcome.Committed(json.get().get("commit").asLong());
        }
        if (ok.value().status() == 409 && json.isPresent() && json.get().has("conflicts")) {
            return new WriteOutcome.Conflict(mismatches(json.get().get("conflicts")));
        }
        logUnexpectedResponse("POST /v1/transactions", ok.value());
        return new WriteOutcome.Unknown();
    }

    @Override
    public void close() {
        connection.close();
    }

    private Result<JsonNode> read(String target) {
        Result<HttpReply> reply = connection.callRepeatable(HttpCall.get(target));
        if (!(reply instanceof Result.Ok<HttpReply> ok) || ok.value().status() >= 500) {
            return Result.failed(StoreFailure.UNAVAILABLE);
        }
        Optional<JsonNode> json = parse(ok.value().body());
        if (ok.value().status() != 200 || json.isEmpty() || !json.get().has("commit")) {
            logUnexpectedResponse("GET " + target, ok.value());
            return Result.failed(StoreFailure.PROTOCOL);
        }
        return Result.ok(json.get());
    }

    private void logUnexpectedResponse(String call, HttpReply reply) {
        connection
                .log()
                .event(PlatformEvent.MALFORMED_RESPONSE)
                .with("address", connection.address())
                .with("call", call)
                .with("status", reply.status())
                .with("detail", reply.body().length + " bytes")
                .write();
    }

    private static Optional<Row> singleRow(JsonNode json) {
        JsonNode row = json.get("row");
        return row == null || row.isNull() ? Optional.empty() : Optional.of(toRow(row));
    }

    private static RowPage page(JsonNode json) {
        List<Row> rows = new ArrayList<>();
        json.path("rows").forEach(row -> rows.add(toRow(row)));
        return new RowPage(
                json.get("commit").asLong(), List.copyOf(rows), json.path("more").asBoolean());
    }

    private static Row toRow(JsonNode json) {
        JsonNode value = json.get("value");
        boolean removed = json.path("deleted").asBoolean() || value == null || value.isNull();
        return new Row(
                json.path("key").asText(),
                json.path("commit").asLong(),
                json.path("writer").asText(),
                removed ? Optional.empty() : Optional.of(value));
    }

    private static List<WriteOutcome.Mismatch> mismatches(JsonNode json) {
        List<WriteOutcome.Mismatch> found = new ArrayList<>();
        for (JsonNode entry : json) {
            found.add(
                    new WriteOutcome.Mismatch(
                            entry.path("table").asText(),
                            entry.path("key").asText(),
                            entry.path("commit").asLong()));
        }
        return List.copyOf(found);
    }

    private static byte[] encode(Transaction transaction) {
        ObjectNode json = JSON.createObjectNode().put("id", transaction.id());
        ArrayNode checks = json.putArray("checks");
        for (Transaction.Check check : transaction.checks()) {
            checks.addObject()
                    .put("table", check.table())
                    .put("key", check.key())
                    .put("commit", check.commit());
        }
        ArrayNode puts = json.putArray("puts");
        for (Transaction.Put put : transaction.puts()) {
            puts.addObject()
                    .put("table", put.table())
                    .put("key", put.key())
                    .set("value", put.value());
        }
        ArrayNode deletes = json.putArray("deletes");
        for (Transaction.Delete delete : transaction.deletes()) {
            deletes.addObject().put("table", delete.table()).put("key", delete.key());
        }
        try {
            return JSON.writeValueAsBytes(json);
        } catch (JsonProcessingException unexpected) {
            throw new IllegalArgumentException(
                    "a tree of JSON nodes cannot be serialised", unexpected);
        }
    }

    private static Optional<JsonNode> parse(byte[] body) {
        try {
            return Optional.ofNullable(JSON.readTree(body)).filter(JsonNode::isObject);
        } catch (IOException malformed) {
            return Optional.empty();
        }
    }

    private static String encode(String part) {
        return URLEncoder.encode(part, StandardCharsets.UTF_8);
    }
}
