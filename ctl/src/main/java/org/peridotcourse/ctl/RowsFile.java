package org.peridotcourse.ctl;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.peridotcourse.config.Acceptance;
import org.peridotcourse.config.ConfigTable;
import org.peridotcourse.config.OperatorRow;
import org.peridotcourse.config.RowFault;
import org.peridotcourse.config.RowFaults;
import org.peridotcourse.config.RowKey;
import org.peridotcourse.config.RowValidator;
import org.peridotcourse.daemon.settings.SettingFault;

/**
 * A JSON file of rows by table and key, checked by the rules of the configuration acceptor as if
 * the platform held no other rows.
 *
 * <p>It holds no state and is thread-safe.
 */
final class RowsFile {
    private static final ObjectMapper STRICT =
            JsonMapper.builder().enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION).build();

    private RowsFile() {}

    /**
     * Checks a file.
     *
     * @param path the file
     * @return all faults; the section is the table and key, the key is the column
     */
    static List<SettingFault> check(Path path) {
        String file = path.toString();
        JsonNode tables;
        try {
            tables = STRICT.readTree(Files.readString(path, StandardCharsets.UTF_8));
        } catch (JsonProcessingException e) {
            String found = e.getOriginalMessage() + ", line " + e.getLocation().getLineNr();
            return List.of(new SettingFault(file, "-", "-", found, "JSON"));
        } catch (IOException e) {
            return List.of(
                    new SettingFault(file, "-", "-", "an unreadable file", "a file in UTF-8"));
        }
        List<SettingFault> faults = new ArrayList<>();
        List<OperatorRow> rows = new ArrayList<>();
        tables.fields()
                .forEachRemaining(
                        entry -> readTable(file, entry.getKey(), entry.getValue(), rows, faults));
        for (Acceptance acceptance : RowValidator.validate(rows, Map.of())) {
            acceptance
                    .refusal()
                    .ifPresent(
                            refusal ->
                                    refusal.faults()
                                            .forEach(fault -> faults.add(toFault(file, fault))));
        }
        return faults;
    }

    /**
     * Checks one row by itself; references to other rows are checked only by the acceptor.
     *
     * @param table the table
     * @param key the key
     * @param columns the columns
     * @return its faults
     */
    static List<RowFault> faultsOf(String table, String key, JsonNode columns) {
        return ConfigTable.parse(table)
                .flatMap(found -> found.parse(key, toMap(columns)).failure())
                .filter(RowFaults.class::isInstance)
                .map(RowFaults.class::cast)
                .map(RowFaults::faults)
                .orElse(List.of());
    }

    private static void readTable(
            String file,
            String tableName,
            JsonNode content,
            List<OperatorRow> rows,
            List<SettingFault> faults) {
        Optional<ConfigTable> table = ConfigTable.parse(tableName);
        if (table.isEmpty()) {
            List<String> tableNames =
                    Arrays.stream(ConfigTable.values()).map(ConfigTable::tableName).toList();
            faults.add(
                    new SettingFault(
                            file,
                            tableName,
                            "-",
                            "an unknown table",
                            String.join(", ", tableNames)));
            return;
        }
        content.fields()
                .forEachRemaining(
                        entry -> {
                            RowKey key = new RowKey(table.get(), entry.getKey());
                            if (entry.getValue().isObject()) {
                                rows.add(row(key, entry.getValue()));
                            } else {
                                faults.add(
                                        new SettingFault(
                                                file,
                                                key.toString(),
                                                "-",
                                                entry.getValue().toString(),
                                                "an object of columns"));
                            }
                        });
    }

    private static OperatorRow row(RowKey key, JsonNode columns) {
        return new OperatorRow(key, 1, columns.toString(), Optional.of(toMap(columns)));
    }

    private static Map<String, Object> toMap(JsonNode columns) {
        return STRICT.convertValue(columns, new TypeReference<Map<String, Object>>() {});
    }

    private static SettingFault toFault(String file, RowFault fault) {
        String column = fault.column().isEmpty() ? "-" : fault.column();
        return new SettingFault(
                file, fault.key().toString(), column, fault.found(), fault.allowed());
    }
}
