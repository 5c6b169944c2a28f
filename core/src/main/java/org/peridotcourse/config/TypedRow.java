package org.peridotcourse.config;

/** A row without faults of its own. Implementations are immutable and thread-safe. */
public sealed interface TypedRow permits DataCentreRow, CustomerRow, WorkloadRow {
    /**
     * Returns the name of the row.
     *
     * @return the table and key
     */
    RowKey rowKey();
}
