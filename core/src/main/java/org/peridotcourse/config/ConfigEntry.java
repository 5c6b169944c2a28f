package org.peridotcourse.config;

import java.util.Optional;

/**
 * An accepted row with the version that wrote it.
 *
 * <p>The text is what the table service holds; it is passed on to peers unchanged. Instances are
 * immutable and thread-safe.
 *
 * @param key the name of the row
 * @param version the version that wrote it, or a later one if it came from a peer
 * @param text the JSON text, empty if the row was removed
 * @param row the converted row, empty if it was removed
 */
public record ConfigEntry(RowKey key, long version, String text, Optional<TypedRow> row) {
    /**
     * Tells whether the row was removed.
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
