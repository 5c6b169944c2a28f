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

/** Converts between JSON and configuration rows. It is stateless and thread-safe. */
public final class RowCodec {
    /** Table of the last accepted value of each operator's row. */
    public static final String ACCEPTED_TABLE = "accepted";

    /** Table of the validation results of operators' rows. */
    public static final String ACCEPTANCE_TABLE = "acceptance";

    /**
     * Key of the row in {@link #ACCEPTED_TABLE} that is rewritten by every change of accepted rows.
     * The commit of this row is the configuration version. Without it, a version that only removed
     * rows would not show in a read of the existing rows.
     */
    public static final String VERSION_KEY = "version";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final TypeReference<Map<String, Object>> COLUMNS_TYPE = new TypeReference<>() {};

    private RowCodec() {}

    /**
     * Converts an accepted row.
     *
     * @param key the table and key of the row
     * @param version the configuration version in which the row was written
     * @param text the JSON text, or empty for a removed row
     * @return the entry, or empty if the text is not a valid row; the acceptor never writes such a
     *     row
     */
    public static Optional<ConfigEntry> toConfigEntry(
            RowKey key, long version, Optional<String> text) {
        if (text.isEmpty()) {
            return Optional.of(new ConfigEntry(key, version, "", Optional.empty()));
        }
        Result<TypedRow> row =
                parseColumns(text.get())
                        .map(columns -> key.table().parse(key.key(), columns))
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

    static ObjectNode acceptanceRow(Acceptance acceptance) {
        ObjectNode json =
                JSON.createObjectNode()
                        .put("rowCommit", acceptance.rowCommit())
                        .put("status", acceptance.isAccepted() ? "accepted" : "refused");
        acceptance
                .refusal()
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
