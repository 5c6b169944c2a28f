package org.peridotcourse.config;

import java.util.Map;
import java.util.Optional;

/**
 * A row as operators wrote it, before validation.
 *
 * <p>Instances are immutable and thread-safe as long as the map of columns is not modified.
 *
 * @param key the table and key of the row
 * @param commit the commit that wrote or removed the row
 * @param text the JSON text, empty if the row was removed
 * @param columns the plain JSON values by column, empty if the row was removed
 */
public record OperatorRow(
        RowKey key, long commit, String text, Optional<Map<String, Object>> columns) {
    /**
     * Returns a removed row.
     *
     * @param key the table and key of the row
     * @param commit the commit that removed the row, or a later one
     * @return the row
     */
    public static OperatorRow removed(RowKey key, long commit) {
        return new OperatorRow(key, commit, "", Optional.empty());
    }
}
