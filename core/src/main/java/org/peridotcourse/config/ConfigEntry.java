package org.peridotcourse.config;

import java.util.Optional;

/**
 * An accepted row with the version in which it was written.
 *
 * <p>The text is the row as the table service stores it; peers receive it unchanged. Instances are
 * immutable and thread-safe.
 *
 * @param key the table and key of the row
 * @param version the version in which the row was written, or a later one if it was received from a
 *     peer
 * @param text the JSON text, empty if the row was removed
 * @param row the converted row, empty if the row was removed
 */
public record ConfigEntry(RowKey key, long version, String text, Optional<TypedRow> row) {
    /**
     * Returns whether the row was removed.
     *
     * @return true if the row was removed
     */
    public boolean isRemoved() {
        return row.isEmpty();
    }

    ConfigEntry withVersion(long newVersion) {
        return new ConfigEntry(key, newVersion, text, row);
    }
}
