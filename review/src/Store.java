import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The platform's store, by PROTOCOL.md "The platform's metadata store". Each host has an endpoint
 * of its own, so that the store can be away for one host or for all.
 */
final class Store {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int PAGE_ROWS = 500;
    private static final int PAGE_BYTES = 1_000_000;
    private static final int ROW_BYTES = 65_536;
    private static final long TX_MILLIS = 4;

    private record Row(
            String table, String part, String key, String value, long version, boolean deleted) {
        ObjectNode json() {
            ObjectNode node = JSON.createObjectNode();
            node.put("table", table).put("part", part).put("key", key);
            if (deleted) {
                node.put("deleted", true);
            } else {
                node.put("value", value);
            }
            return node.put("schema_version", version);
        }
    }

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final List<Row> history = new ArrayList<>();
    private long version;

    /** The host that last wrote under a condition. */
    private volatile int lastConditionalWriter = -1;

    /** True while the store answers 503 to every host. */
    volatile boolean down;

    int lastConditionalWriter() {
        return lastConditionalWriter;
    }

    /** The endpoint of one host. */
    final class Endpoint extends Server {
        private final int host;

        /** By address in the rows of hosts, the address of the proxy in front of it. */
        final Map<String, String> proxies = new ConcurrentHashMap<>();

        /** True while the network between this host and the store is cut; channels are reset. */
        volatile boolean cut;

        Endpoint(int host, InetSocketAddress address) throws IOException {
            super(address);
            this.host = host;
        }

        @Override
        Answer answer(Call call) throws Exception {
            if (cut) {
                return new Answer(0, "");
            }
            if (down) {
                return new Answer(503, "{}");
            }
            Answer answer =
                    switch (call.path()) {
                        case "/-/rows-tx" -> transact(host, JSON.readTree(call.body()));
                        case "/-/rows-get" -> read(parse(call.query()));
                        case "/-/rows-feed" -> feed(parse(call.query()));
                        default -> new Answer(404, "{}");
                    };
            return cut ? new Answer(0, "") : throughProxies(answer, call);
        }

        /** Lets this host reach the control ports of the others through proxies only. */
        private Answer throughProxies(Answer answer, Call call) throws IOException {
            if (proxies.isEmpty() || !call.query().contains("table=hosts")) {
                return answer;
            }
            JsonNode node = JSON.readTree(answer.body());
            for (JsonNode row : node.path("rows")) {
                byte[] bytes = Base64.getDecoder().decode(row.path("value").asText());
                String value = new String(bytes, StandardCharsets.UTF_8);
                for (Map.Entry<String, String> entry : proxies.entrySet()) {
                    value = value.replace(entry.getKey(), entry.getValue());
                }
                byte[] replaced = value.getBytes(StandardCharsets.UTF_8);
                ((ObjectNode) row).put("value", Base64.getEncoder().encodeToString(replaced));
            }
            return new Answer(answer.status(), node.toString());
        }
    }

    private static Map<String, String> parse(String query) {
        Map<String, String> values = new HashMap<>();
        for (String pair : query.split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                values.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return values;
    }

    /** Writes a row as the operator or a runner does. */
    synchronized void put(String table, String key, String value) {
        version++;
        String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        set(new Row(table, "", key, encoded, version, false));
        notifyAll();
    }

    synchronized void delete(String table, String key) {
        version++;
        set(new Row(table, "", key, "", version, true));
        notifyAll();
    }

    private void set(Row row) {
        String key = row.table() + "\n" + row.part() + "\n" + row.key();
        if (row.deleted()) {
            rows.remove(key);
        } else {
            rows.put(key, row);
        }
        history.add(row);
    }

    private Server.Answer transact(int host, JsonNode call) throws InterruptedException {
        Thread.sleep(TX_MILLIS);
        synchronized (this) {
            int entries =
                    call.path("expected").size()
                            + call.path("set_keys").size()
                            + call.path("delete_keys").size();
            boolean tooLarge = entries > 100;
            for (JsonNode row : call.path("set_keys")) {
                tooLarge |=
                        Base64.getDecoder().decode(row.path("value").asText()).length > ROW_BYTES;
            }
            if (tooLarge) {
                return new Server.Answer(400, "{}");
            }
            ObjectNode answer = answer();
            ArrayNode present = JSON.createArrayNode();
            boolean holds = true;
            for (JsonNode expected : call.path("expected")) {
                Row row = rows.get(keyOf(expected));
                long found = row == null ? 0 : row.version();
                holds &= found == expected.path("schema_version").asLong();
                if (row != null) {
                    present.add(row.json());
                }
            }
            if (!holds) {
                answer.set("rows", present);
                return new Server.Answer(412, answer.toString());
            }
            if (call.path("expected").size() > 0) {
                lastConditionalWriter = host;
            }
            version++;
            for (JsonNode row : call.path("set_keys")) {
                set(rowOf(row, row.path("value").asText(), false));
            }
            for (JsonNode row : call.path("delete_keys")) {
                set(rowOf(row, "", true));
            }
            notifyAll();
            return new Server.Answer(200, answer().toString());
        }
    }

    private Row rowOf(JsonNode row, String value, boolean deleted) {
        return new Row(
                row.path("table").asText(),
                row.path("part").asText(),
                row.path("key").asText(),
                value,
                version,
                deleted);
    }

    private static String keyOf(JsonNode row) {
        return row.path("table").asText()
                + "\n"
                + row.path("part").asText()
                + "\n"
                + row.path("key").asText();
    }

    private synchronized Server.Answer read(Map<String, String> query) {
        int limit = Math.min(PAGE_ROWS, Integer.parseInt(query.getOrDefault("limit", "500")));
        ObjectNode answer = answer();
        ArrayNode list = answer.putArray("rows");
        int bytes = 0;
        boolean more = false;
        for (Row row : rows.values()) {
            boolean inRange =
                    row.table().equals(query.get("table"))
                            && row.part().equals(query.getOrDefault("part", ""))
                            && row.key().compareTo(query.getOrDefault("from", "")) >= 0
                            && (!query.containsKey("to")
                                    || row.key().compareTo(query.get("to")) < 0);
            if (!inRange) {
                continue;
            }
            bytes += row.value().length();
            if (list.size() >= limit || bytes > PAGE_BYTES && list.size() > 0) {
                more = true;
                break;
            }
            list.add(row.json());
        }
        answer.put("has_more", more);
        return new Server.Answer(200, answer.toString());
    }

    private synchronized Server.Answer feed(Map<String, String> query)
            throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long deadline =
                System.nanoTime() / 1_000_000
                        + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        while (true) {
            ObjectNode answer = answer();
            ArrayNode list = answer.putArray("rows");
            for (int i = history.size() - 1; i >= 0 && history.get(i).version() > after; i--) {
                if (history.get(i).table().equals(query.get("table"))) {
                    list.insert(0, history.get(i).json());
                }
            }
            long remaining = deadline - System.nanoTime() / 1_000_000;
            if (!list.isEmpty() || remaining <= 0 || down) {
                return down
                        ? new Server.Answer(503, "{}")
                        : new Server.Answer(200, answer.toString());
            }
            wait(Math.min(50, remaining));
        }
    }

    private ObjectNode answer() {
        return JSON.createObjectNode()
                .put("schema_version", version)
                .put("now_ms", System.nanoTime() / 1_000_000);
    }
}
