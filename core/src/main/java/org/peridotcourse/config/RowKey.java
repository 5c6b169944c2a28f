package org.peridotcourse.config;

import java.util.Optional;

/**
 * Identifies a row that operators edit.
 *
 * <p>Instances are immutable and thread-safe. They are ordered by table, then by key.
 *
 * @param table the table
 * @param key the key within the table
 */
public record RowKey(ConfigTable table, String key) implements Comparable<RowKey> {
    /**
     * Parses the key that a row has in the tables {@code accepted} and {@code acceptance}.
     *
     * @param path {@code <table>/<key>}
     * @return the key, or empty if the table is unknown
     */
    public static Optional<RowKey> parse(String path) {
        int slash = path.indexOf('/');
        if (slash < 0) {
            return Optional.empty();
        }
        return ConfigTable.parse(path.substring(0, slash))
                .map(table -> new RowKey(table, path.substring(slash + 1)));
    }

    @Override
    public int compareTo(RowKey other) {
        int byTable = table.compareTo(other.table);
        return byTable != 0 ? byTable : key.compareTo(other.key);
    }

    /**
     * Returns the key that the row has in the tables {@code accepted} and {@code acceptance}.
     *
     * @return {@code <table>/<key>}
     */
    @Override
    public String toString() {
        return table.tableName() + "/" + key;
    }
}
