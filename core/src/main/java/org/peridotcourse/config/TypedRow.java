package org.peridotcourse.config;

/**
 * A converted row whose own columns are valid; its references are checked separately.
 *
 * <p>Implementations are immutable and thread-safe.
 */
public sealed interface TypedRow permits DataCentreRow, CustomerRow, WorkloadRow {
    /**
     * Returns the table and key of the row.
     *
     * @return the key
     */
    RowKey rowKey();
}
