package org.peridotcourse.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The tables of the platform. A transaction checks the commit numbers of rows before it writes, and
 * deleted rows remain as tombstones.
 *
 * <p>This class is thread-safe; transactions are serialized.
 */
final class TableState {
    private final Map<String, Table> tables = new HashMap<>();
    private long lastCommit;

    /**
     * Applies a transaction atomically.
     *
     * @param transaction the transaction as JSON
     * @return status 200 with the commit number, or 409 with the conflicts
     */
    synchronized Reply commit(JsonNode transaction) {
        String id = Json.text(transaction, "id");
        for (JsonNode put : transaction.path("puts")) {
            Json.text(put, "table");
            Json.text(put, "key");
            if (!put.path("value").isObject()) {
                throw new MalformedRequestException("the value of a put is not an object");
            }
        }
        for (JsonNode delete : transaction.path("deletes")) {
            Json.text(delete, "table");
            Json.text(delete, "key");
        }
        ArrayNode conflicts = conflicts(transaction.path("checks"));
        if (!conflicts.isEmpty()) {
            ObjectNode body = Json.object();
            body.set("conflicts", conflicts);
            return Reply.json(409, body);
        }
        lastCommit++;
        for (JsonNode put : transaction.path("puts")) {
            table(Json.text(put, "table")).set(Json.text(put, "key"), id, put.get("value"));
        }
        for (JsonNode delete : transaction.path("deletes")) {
            Table table = table(Json.text(delete, "table"));
            String key = Json.text(delete, "key");
            if (table.commitOf(key) > 0) {
                table.set(key, id, null);
            }
        }
        return Reply.json(200, Json.object().put("commit", lastCommit));
    }

    synchronized ObjectNode row(String table, String key) {
        RowVersion version = table(table).rows.get(key);
        ObjectNode body = Json.object().put("commit", lastCommit);
        body.set("row", version == null || version.value == null ? null : version.json(key));
        return body;
    }

    /**
     * Returns the rows that changed after a commit, in commit order.
     *
     * <p>A page never splits the rows of one commit, because the next page starts after a commit.
     * Therefore a page may contain more rows than the limit.
     *
     * @param table the table
     * @param prefix the prefix of the keys
     * @param since the commit number; 0 omits deleted rows
     * @param limit the number of rows after which the page ends
     * @return the page as JSON
     */
    synchronized ObjectNode rows(String table, String prefix, long since, long limit) {
        Table selectedTable = table(table);
        ObjectNode body = Json.object().put("commit", lastCommit);
        ArrayNode rows = body.putArray("rows");
        boolean more = false;
        for (Collection<String> keys : selectedTable.changesAfter(since, prefix)) {
            List<ObjectNode> commitRows = new ArrayList<>();
            for (String key : keys) {
                RowVersion version = selectedTable.rows.get(key);
                if (key.startsWith(prefix) && (since > 0 || version.value != null)) {
                    commitRows.add(version.json(key));
                }
            }
            if (!commitRows.isEmpty() && rows.size() >= limit) {
                more = true;
                break;
            }
            rows.addAll(commitRows);
        }
        return body.put("more", more);
    }

    private ArrayNode conflicts(JsonNode checks) {
        ArrayNode conflicts = Json.MAPPER.createArrayNode();
        for (JsonNode check : checks) {
            String table = Json.text(check, "table");
            String key = Json.text(check, "key");
            long commit = table(table).commitOf(key);
            if (commit != Json.number(check, "commit")) {
                conflicts.addObject().put("table", table).put("key", key).put("commit", commit);
            }
        }
        return conflicts;
    }

    private Table table(String name) {
        return tables.computeIfAbsent(name, unused -> new Table());
    }

    /** The rows of one table by key, and their keys by commit number. */
    private final class Table {
        private final TreeMap<String, RowVersion> rows = new TreeMap<>();
        private final TreeMap<Long, Set<String>> changes = new TreeMap<>();

        long commitOf(String key) {
            RowVersion version = rows.get(key);
            return version == null || version.value == null ? 0 : version.commit;
        }

        void set(String key, String writer, JsonNode value) {
            RowVersion previous = rows.put(key, new RowVersion(lastCommit, writer, value));
            if (previous != null) {
                Set<String> keys = changes.get(previous.commit);
                keys.remove(key);
                if (keys.isEmpty()) {
                    changes.remove(previous.commit);
                }
            }
            changes.computeIfAbsent(lastCommit, unused -> new LinkedHashSet<>()).add(key);
        }

        Collection<? extends Collection<String>> changesAfter(long since, String prefix) {
            if (prefix.isEmpty() || since > 0) {
                return changes.tailMap(since, false).values();
            }
            TreeMap<Long, Set<String>> selected = new TreeMap<>();
            for (Map.Entry<String, RowVersion> entry : rows.tailMap(prefix).entrySet()) {
                if (!entry.getKey().startsWith(prefix)) {
                    break;
                }
                selected.computeIfAbsent(entry.getValue().commit, unused -> new LinkedHashSet<>())
                        .add(entry.getKey());
            }
            return selected.values();
        }
    }

    /**
     * The latest version of a row.
     *
     * @param commit the number of the commit that wrote it
     * @param writer the id of the transaction that wrote it
     * @param value the columns, null for a tombstone
     */
    private record RowVersion(long commit, String writer, JsonNode value) {
        ObjectNode json(String key) {
            ObjectNode node = Json.object();
            node.put("key", key).put("commit", commit).put("writer", writer);
            if (value == null) {
                node.put("deleted", true);
            } else {
                node.set("value", value);
            }
            return node;
        }
    }
}
