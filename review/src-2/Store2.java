import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** A stand-in for the platform's store: rows, transactions and feeds as PROTOCOL.md says. */
final class Store2 {
    static final ObjectMapper JSON = new ObjectMapper();
    private static final int ROW_BYTES = 65_536;
    private static final int MAX_ENTRIES = 100;
    private static final int MAX_CALL_BYTES = 1_000_000;
    private static final int MAX_ROWS = 500;
    private static final char SEPARATOR = '\u0001';

    record Row(
            String table, String part, String key, String value, long version, boolean deleted) {}

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final List<Row> changes = new ArrayList<>();
    private final HttpServer server;
    private long version = 1;

    /** Until then calls get no response; 0 for never. */
    private volatile long silentUntilNanos;

    /** How long after its arrival a transaction that gets no response is performed. */
    private volatile long lateMillis;

    /** Called when a transaction that got no response is performed, with its outcome. */
    volatile java.util.function.Consumer<String> onLate = text -> {};

    /** Transactions that were rejected as invalid, for the record. */
    volatile int rejectedCalls;

    volatile String lastRejection = "";

    Store2() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 100);
        server.setExecutor(
                Executors.newCachedThreadPool(
                        task -> {
                            Thread thread = new Thread(task, "store");
                            thread.setDaemon(true);
                            return thread;
                        }));
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Gives no response for a time; transactions that arrive meanwhile are performed late. */
    void beSilent(long millis, long performedAfterMillis) {
        lateMillis = performedAfterMillis;
        silentUntilNanos = System.nanoTime() + millis * 1_000_000;
    }

    private boolean isSilent() {
        return silentUntilNanos != 0 && System.nanoTime() < silentUntilNanos;
    }

    /** Keeps the channel open without a response, and performs a transaction late. */
    private void performLate(HttpExchange exchange, byte[] body)
            throws IOException, InterruptedException {
        Thread.sleep(lateMillis);
        if (exchange.getRequestURI().getPath().equals("/-/rows-tx")) {
            int status = transact(body, JSON.createObjectNode());
            JsonNode call = JSON.readTree(body);
            onLate.accept(status + " " + call.path("set_keys").findValuesAsText("key"));
        }
    }

    void stop() {
        server.stop(0);
    }

    /** Writes a row of the operator or of a runner, with an empty part. */
    synchronized void put(String table, String key, String text) {
        version++;
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        apply(new Row(table, "", key, Base64.getEncoder().encodeToString(bytes), version, false));
        notifyAll();
    }

    synchronized void delete(String table, String key) {
        version++;
        apply(new Row(table, "", key, "", version, true));
        notifyAll();
    }

    /** Returns the decoded value of a row, or null. */
    synchronized byte[] value(String table, String part, String key) {
        Row row = rows.get(id(table, part, key));
        return row == null ? null : Base64.getDecoder().decode(row.value());
    }

    private static String id(String table, String part, String key) {
        return table + SEPARATOR + part + SEPARATOR + key;
    }

    private void apply(Row row) {
        String id = id(row.table(), row.part(), row.key());
        if (row.deleted()) {
            if (rows.remove(id) == null) {
                return;
            }
        } else {
            rows.put(id, row);
        }
        changes.add(row);
    }

    private void handle(HttpExchange exchange) throws IOException {
        try {
            byte[] body = exchange.getRequestBody().readAllBytes();
            if (isSilent()) {
                performLate(exchange, body);
                return;
            }
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            ObjectNode answer = JSON.createObjectNode();
            int status = 400;
            switch (exchange.getRequestURI().getPath()) {
                case "/-/rows-tx" -> status = transact(body, answer);
                case "/-/rows-get" -> status = get(query, answer);
                case "/-/rows-feed" -> status = feed(query, answer);
                default -> { }
            }
            answer.put("now_ms", System.nanoTime() / 1_000_000);
            if (isSilent()) {
                // It was performed as the silence began, and its response is lost.
                Thread.sleep(lateMillis);
                return;
            }
            byte[] bytes = JSON.writeValueAsBytes(answer);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            exchange.close();
        }
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> values = new HashMap<>();
        for (String pair : raw == null ? new String[0] : raw.split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                values.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return values;
    }

    private synchronized int transact(byte[] body, ObjectNode answer) throws IOException {
        JsonNode call = JSON.readTree(body);
        int entries =
                call.path("expected").size()
                        + call.path("set_keys").size()
                        + call.path("delete_keys").size();
        if (entries > MAX_ENTRIES || body.length > MAX_CALL_BYTES) {
            return reject("a call of " + entries + " entries and " + body.length + " bytes");
        }
        for (JsonNode put : call.path("set_keys")) {
            int bytes = Base64.getDecoder().decode(put.path("value").asText()).length;
            if (bytes > ROW_BYTES) {
                return reject("a value of " + bytes + " bytes for " + put.path("key").asText());
            }
        }
        boolean holds = true;
        ArrayNode current = JSON.createArrayNode();
        for (JsonNode expected : call.path("expected")) {
            Row row = rows.get(id(expected));
            long present = row == null ? 0 : row.version();
            holds &= present == expected.path("schema_version").asLong();
            if (row != null) {
                current.add(json(row));
            }
        }
        answer.put("schema_version", version);
        if (!holds) {
            answer.set("rows", current);
            return 412;
        }
        version++;
        for (JsonNode put : call.path("set_keys")) {
            apply(row(put, put.path("value").asText(), false));
        }
        for (JsonNode delete : call.path("delete_keys")) {
            apply(row(delete, "", true));
        }
        answer.put("schema_version", version);
        notifyAll();
        return 200;
    }

    private int reject(String reason) {
        rejectedCalls++;
        lastRejection = reason;
        return 400;
    }

    private static String id(JsonNode key) {
        return id(key.path("table").asText(), key.path("part").asText(), key.path("key").asText());
    }

    private Row row(JsonNode key, String value, boolean deleted) {
        return new Row(
                key.path("table").asText(),
                key.path("part").asText(),
                key.path("key").asText(),
                value,
                version,
                deleted);
    }

    private static ObjectNode json(Row row) {
        ObjectNode node = JSON.createObjectNode();
        node.put("table", row.table()).put("part", row.part()).put("key", row.key());
        node.put("value", row.value()).put("schema_version", row.version());
        if (row.deleted()) {
            node.put("deleted", true);
        }
        return node;
    }

    private synchronized int get(Map<String, String> query, ObjectNode answer) {
        String first = id(query.get("table"), query.getOrDefault("part", ""), "");
        String from = first + query.getOrDefault("from", "");
        String to = query.containsKey("to") ? first + query.get("to") : null;
        int limit = Math.min(MAX_ROWS, Integer.parseInt(query.getOrDefault("limit", "500")));
        ArrayNode found = answer.putArray("rows");
        int bytes = 0;
        boolean more = false;
        for (Row row : rows.tailMap(from).values()) {
            String id = id(row.table(), row.part(), row.key());
            if (!id.startsWith(first) || to != null && id.compareTo(to) >= 0) {
                break;
            }
            bytes += row.value().length() + row.key().length();
            if (found.size() >= limit || bytes > MAX_CALL_BYTES && !found.isEmpty()) {
                more = true;
                break;
            }
            found.add(json(row));
        }
        answer.put("has_more", more);
        answer.put("schema_version", version);
        return 200;
    }

    private synchronized int feed(Map<String, String> query, ObjectNode answer)
            throws InterruptedException {
        String table = query.get("table");
        long after = Long.parseLong(query.get("after"));
        long wait = Math.min(30_000, Long.parseLong(query.getOrDefault("wait_ms", "0")));
        long end = System.nanoTime() / 1_000_000 + wait;
        ArrayNode found = answer.putArray("rows");
        while (true) {
            int low = firstChangeAfter(after);
            for (Row row : changes.subList(low, changes.size())) {
                if (row.table().equals(table)) {
                    found.add(json(row));
                }
            }
            long left = end - System.nanoTime() / 1_000_000;
            if (!found.isEmpty() || left <= 0) {
                break;
            }
            after = version;
            wait(left);
        }
        answer.put("schema_version", version);
        return 200;
    }

    private int firstChangeAfter(long after) {
        int low = 0;
        int high = changes.size();
        while (low < high) {
            int middle = (low + high) / 2;
            if (changes.get(middle).version() <= after) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }
}
