package org.peridotcourse.daemon.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Optional;
import org.peridotcourse.Result;
import org.peridotcourse.config.Acceptance;
import org.peridotcourse.config.ConfigEntry;
import org.peridotcourse.config.OperatorRow;
import org.peridotcourse.config.RowKey;
import org.peridotcourse.config.TypedRow;
import org.peridotcourse.daemon.platform.Row;

/** Converts between JSON and rows of the configuration. It holds no state and is thread-safe. */
public final class RowCodec {
    /** Table of accepted rows. */
    public static final String ACCEPTED_TABLE = "accepted";

    /** Table of notes about operators' rows. */
    public static final String ACCEPTANCE_TABLE = "acceptance";

    /**
     * Key in {@link #ACCEPTED_TABLE} that every change of accepted rows rewrites. Its commit is the
     * version: without it, a version that only removed rows would not show in a read of the present
     * rows.
     */
    public static final String VERSION_KEY = "version";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final TypeReference<Map<String, Object>> COLUMNS_TYPE = new TypeReference<>() {};

    private RowCodec() {}

    /**
     * Converts an accepted row.
     *
     * @param key the name of the row
     * @param version the version that wrote it
     * @param text the JSON text, or empty for a removed row
     * @return the entry, or empty if the text is not an acceptable row, which the acceptor never
     *     writes
     */
    public static Optional<ConfigEntry> toConfigEntry(
            RowKey key, long version, Optional<String> text) {
        if (text.isEmpty()) {
            return Optional.of(new ConfigEntry(key, version, "", Optional.empty()));
        }
        Result<TypedRow> row =
                parseColumns(text.get())
                        .map(found -> key.table().parse(key.key(), found))
                        .orElseGet(() -> Result.failed(RowFormatFailure.NOT_AN_OBJECT));
        return row.toOptional()
                .map(typed -> new ConfigEntry(key, version, text.get(), Optional.of(typed)));
    }

    static OperatorRow toOperatorRow(RowKey key, Row row) {
        if (row.value().isEmpty()) {
            return OperatorRow.removed(key, row.commit());
        }
        String text = row.value().get().toString();
        return new OperatorRow(
                key, row.commit(), text, Optional.of(parseColumns(text).orElse(Map.of("", text))));
    }

    static ObjectNode acceptanceRow(Acceptance note) {
        ObjectNode json =
                JSON.createObjectNode()
                        .put("rowCommit", note.rowCommit())
                        .put("status", note.isAccepted() ? "accepted" : "refused");
        note.refusal()
                .ifPresent(
                        faults -> json.put("code", faults.code()).put("message", faults.message()));
        return json;
    }

    static ObjectNode versionRow(String daemon, long epoch) {
        return JSON.createObjectNode().put("acceptor", daemon).put("epoch", epoch);
    }

    static Optional<JsonNode> parseObject(String text) {
        try {
            return Optional.ofNullable(JSON.readTree(text)).filter(JsonNode::isObject);
        } catch (JsonProcessingException malformed) {
            return Optional.empty();
        }
    }

    private static Optional<Map<String, Object>> parseColumns(String text) {
        return parseObject(text).map(node -> JSON.convertValue(node, COLUMNS_TYPE));
    }
}
