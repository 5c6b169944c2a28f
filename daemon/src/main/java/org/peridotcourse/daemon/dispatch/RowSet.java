package org.peridotcourse.daemon.dispatch;

import java.util.List;
import java.util.Optional;

/**
 * Rows that one read returned.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param rows the rows; changes are ordered by version, others by key
 * @param hasMore true if further rows follow
 * @param version the newest version of the store as of the read
 */
public record RowSet(List<StoredRow> rows, boolean hasMore, long version) {
    /**
     * Returns the row with a key.
     *
     * @param key the key
     * @return the row, or empty if the read did not return it
     */
    public Optional<StoredRow> row(String key) {
        return rows.stream().filter(row -> row.key().equals(key)).findFirst();
    }
}
