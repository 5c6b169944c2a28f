package org.peridotcourse.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Reads and writes operators' rows in the platform's table service. It holds no state and is
 * thread-safe.
 */
final class RowStore {
    /** A lost response is rare; five attempts outlast a restart of the connection. */
    private static final int MAX_ATTEMPTS = 5;

    private static final int PAGE_SIZE = 500;

    private final JsonHttp http;

    RowStore(JsonHttp http) {
        this.http = http;
    }

    Optional<JsonNode> row(String table, String key) throws CtlException {
        JsonNode body =
                http.get("/v1/rows/" + JsonHttp.encode(table) + "?key=" + JsonHttp.encode(key))
                        .requireStatus(http.address(), 200);
        return Optional.of(body.path("row")).filter(JsonNode::isObject);
    }

    List<JsonNode> rows(String table, String prefix) throws CtlException {
        List<JsonNode> presentRows = new ArrayList<>();
        long since = 0;
        boolean more = true;
        while (more) {
            JsonNode page = page(table, prefix, since);
            for (JsonNode row : page.path("rows")) {
                since = row.path("commit").asLong();
                presentRows.removeIf(earlier -> earlier.get("key").equals(row.get("key")));
                if (!row.path("deleted").asBoolean()) {
                    presentRows.add(row);
                }
            }
            more = page.path("more").asBoolean() && !page.path("rows").isEmpty();
        }
        presentRows.sort((a, b) -> a.path("key").asText().compareTo(b.path("key").asText()));
        return presentRows;
    }

    /**
     * Writes or removes a row if its commit is as expected. After a lost response, repeats the
     * write with the same id and determines whether it took effect.
     *
     * @param id the id of the transaction
     * @param table the table
     * @param key the key
     * @param value the columns, empty to remove the row
     * @param expected the commit of the present row, 0 for an absent one
     * @return the commit of the write, empty if another writer changed the row
     * @throws CtlException if it is not known whether the write took effect
     */
    Optional<Long> write(
            String id, String table, String key, Optional<JsonNode> value, long expected)
            throws CtlException {
        ObjectNode transaction = JsonHttp.MAPPER.createObjectNode().put("id", id);
        ObjectNode check = transaction.putArray("checks").addObject();
        check.put("table", table).put("key", key).put("commit", expected);
        ObjectNode row = transaction.putArray(value.isPresent() ? "puts" : "deletes").addObject();
        row.put("table", table).put("key", key);
        value.ifPresent(columns -> row.set("value", columns));
        CtlException lastFailure = null;
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            try {
                JsonHttp.Response response = http.post("/v1/transactions", transaction);
                if (response.status() == 409) {
                    return lastFailure == null
                            ? Optional.empty()
                            : ownCommit(id, table, key, expected);
                }
                JsonNode body = response.requireStatus(http.address(), 200);
                return Optional.of(body.path("commit").asLong());
            } catch (CtlException e) {
                lastFailure = e;
            }
        }
        throw lastFailure;
    }

    /** Finds the commit after the expected one with which a transaction wrote the row. */
    private Optional<Long> ownCommit(String id, String table, String key, long expected)
            throws CtlException {
        long since = expected;
        boolean more = true;
        while (more) {
            JsonNode page = page(table, key, since);
            for (JsonNode row : page.path("rows")) {
                since = row.path("commit").asLong();
                if (row.path("key").asText().equals(key)
                        && row.path("writer").asText().equals(id)) {
                    return Optional.of(since);
                }
            }
            more = page.path("more").asBoolean() && !page.path("rows").isEmpty();
        }
        return Optional.empty();
    }

    private JsonNode page(String table, String prefix, long since) throws CtlException {
        String query =
                "?prefix=" + JsonHttp.encode(prefix) + "&since=" + since + "&limit=" + PAGE_SIZE;
        return http.get("/v1/rows/" + JsonHttp.encode(table) + query)
                .requireStatus(http.address(), 200);
    }
}
