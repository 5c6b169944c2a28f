package org.peridotcourse.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.peridotcourse.Result;
import org.peridotcourse.base.StringId;

/**
 * The tables that operators edit, with their columns and the conversion of their rows.
 *
 * <p>The order of the constants matters: a row refers only to rows of earlier tables. Constants are
 * immutable and thread-safe.
 */
public enum ConfigTable {
    /** Data centres. */
    DATA_CENTRES(
            "datacentres",
            1,
            List.of(
                    Column.name("region").asRequired(),
                    Column.choice("state", "in", "out").withDefault("in"))) {
        @Override
        TypedRow toRow(String key, RowValues values) {
            return DataCentreRow.of(key, values);
        }
    },
    /** Customers. */
    CUSTOMERS(
            "customers",
            1,
            List.of(
                    Column.number("weight", "", 1, 1000).withDefault(100L),
                    Column.number("max-in-flight", "requests", 1, 100_000).withDefault(1000L),
                    Column.number("max-requests-per-second", "requests/s", 1, 1_000_000)
                            .withDefault(10_000L),
                    Column.names("data-centres"),
                    Column.number("quota-milli-cores", "milli-cores", 0, Limits.MAX_SIZE),
                    Column.number("quota-memory-mib", "MiB", 0, Limits.MAX_SIZE),
                    Column.number("quota-accelerators", "accelerators", 0, Limits.MAX_SIZE))) {
        @Override
        TypedRow toRow(String key, RowValues values) {
            return CustomerRow.of(key, values);
        }
    },
    /** Workloads of customers. */
    WORKLOADS(
            "workloads",
            2,
            List.of(
                    Column.choice("class", "latency-critical", "batch").asRequired(),
                    Column.name("service"),
                    Column.number("deadline-ms", "ms", 10, 60_000).withDefault(2000L),
                    Column.number("weight", "", 1, 1000).withDefault(100L),
                    Column.names("data-centres"),
                    Column.number("replicas", "tasks", 0, 1000).withDefault(0L),
                    Column.number("milli-cores", "milli-cores", 0, Limits.MAX_SIZE).withDefault(0L),
                    Column.number("memory-mib", "MiB", 0, Limits.MAX_SIZE).withDefault(0L),
                    Column.number("accelerators", "accelerators", 0, Limits.MAX_SIZE)
                            .withDefault(0L),
                    Column.choice("urgent", "yes", "no").withDefault("no"),
                    Column.number("cut-off-hold-seconds", "s", 30, 3600).withDefault(600L),
                    Column.number("max-evictions-per-minute", "evictions/min", 0, 1000)
                            .withDefault(10L))) {
        @Override
        TypedRow toRow(String key, RowValues values) {
            return WorkloadRow.of(key, values);
        }

        @Override
        List<RowFault> rowFaults(RowKey key, RowValues values) {
            return WorkloadRow.faults(key, values);
        }
    };

    private final String tableName;
    private final int keyParts;
    private final List<Column> columns;

    ConfigTable(String tableName, int keyParts, List<Column> columns) {
        this.tableName = tableName;
        this.keyParts = keyParts;
        this.columns = columns;
    }

    /**
     * Returns the table with a given name.
     *
     * @param tableName the name in the table service
     * @return the table, or empty if operators edit no such table
     */
    public static Optional<ConfigTable> parse(String tableName) {
        for (ConfigTable table : values()) {
            if (table.tableName.equals(tableName)) {
                return Optional.of(table);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the name of the table in the table service.
     *
     * @return the name
     */
    public String tableName() {
        return tableName;
    }

    /**
     * Returns the columns.
     *
     * @return the columns in the order of the documentation
     */
    public List<Column> columns() {
        return columns;
    }

    /**
     * Returns a column.
     *
     * @param name the name of the column
     * @return the column, or empty if the table has no such column
     */
    public Optional<Column> column(String name) {
        return columns.stream().filter(column -> column.name().equals(name)).findFirst();
    }

    /**
     * Converts a row and reports all its faults at once. References to other rows are not checked.
     *
     * @param key the key of the row
     * @param columnValues the values by column, as plain JSON values
     * @return the row, or {@link RowFaults}
     */
    public Result<TypedRow> parse(String key, Map<String, Object> columnValues) {
        RowKey rowKey = new RowKey(this, key);
        List<RowFault> faults = new ArrayList<>();
        if (!isValidKey(key)) {
            String form = keyParts == 1 ? "<name>" : "<customer>/<name>";
            faults.add(
                    new RowFault(RowFault.Kind.INVALID_KEY, rowKey, "", describeValue(key), form));
        }
        Map<String, Object> values = new HashMap<>();
        Set<String> unknown = new HashSet<>(columnValues.keySet());
        for (Column column : columns) {
            unknown.remove(column.name());
            convert(rowKey, column, columnValues, values).ifPresent(faults::add);
        }
        for (String name : unknown.stream().sorted().toList()) {
            faults.add(
                    new RowFault(
                            RowFault.Kind.UNKNOWN_COLUMN,
                            rowKey,
                            name,
                            describeValue(columnValues.get(name)),
                            String.join(", ", columns.stream().map(Column::name).toList())));
        }
        RowValues converted = new RowValues(values, columnValues.keySet());
        faults.addAll(rowFaults(rowKey, converted));
        return faults.isEmpty()
                ? Result.ok(toRow(key, converted))
                : Result.failed(new RowFaults(List.copyOf(faults)));
    }

    abstract TypedRow toRow(String key, RowValues values);

    List<RowFault> rowFaults(RowKey key, RowValues values) {
        return List.of();
    }

    private static Optional<RowFault> convert(
            RowKey key,
            Column column,
            Map<String, Object> columnValues,
            Map<String, Object> values) {
        if (!columnValues.containsKey(column.name())) {
            column.defaultValue().ifPresent(value -> values.put(column.name(), value));
            return column.required()
                    ? Optional.of(
                            new RowFault(
                                    RowFault.Kind.MISSING_COLUMN,
                                    key,
                                    column.name(),
                                    "nothing",
                                    column.allowed()))
                    : Optional.empty();
        }
        Object raw = columnValues.get(column.name());
        Optional<Object> value = column.convert(raw);
        value.ifPresent(converted -> values.put(column.name(), converted));
        return value.isPresent()
                ? Optional.empty()
                : Optional.of(
                        new RowFault(
                                RowFault.Kind.INVALID_VALUE,
                                key,
                                column.name(),
                                describeValue(raw),
                                column.allowed()));
    }

    private boolean isValidKey(String key) {
        String[] parts = key.split("/", -1);
        boolean valid = parts.length == keyParts;
        for (String part : parts) {
            valid = valid && StringId.isValid(part);
        }
        return valid;
    }

    private static String describeValue(Object value) {
        String text = value instanceof String ? "'" + value + "'" : String.valueOf(value);
        return text.length() <= Limits.MAX_SHOWN_LENGTH
                ? text
                : text.substring(0, Limits.MAX_SHOWN_LENGTH) + "...";
    }

    /** Limits that the documentation of the columns does not state. */
    private static final class Limits {
        /** Largest size or quota, so that sums of thousands of them are far from overflow. */
        static final long MAX_SIZE = 1_000_000_000L;

        /** Longest value that a fault quotes in full, in characters. */
        static final int MAX_SHOWN_LENGTH = 80;

        private Limits() {}
    }
}
