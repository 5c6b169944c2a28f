package org.peridotcourse.config;

import java.util.Map;
import java.util.Optional;

/**
 * A row as operators wrote it.
 *
 * <p>Instances are immutable and thread-safe as long as nobody writes to the columns.
 *
 * @param key the name of the row
 * @param commit the commit that wrote or removed it
 * @param text the JSON text, empty if it was removed
 * @param columns the plain JSON values, empty if the row was removed
 */
public record OperatorRow(
        RowKey key, long commit, String text, Optional<Map<String, Object>> columns) {
    /**
     * Returns a removed row.
     *
     * @param key the name of the row
     * @param commit the commit that removed it, or a later one
     * @return the row
     */
    public static OperatorRow removed(RowKey key, long commit) {
        return new OperatorRow(key, commit, "", Optional.empty());
    }
}
