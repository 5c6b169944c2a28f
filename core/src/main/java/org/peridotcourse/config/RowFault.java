package org.peridotcourse.config;

import org.peridotcourse.base.Codes;

/**
 * One reason for which a row is refused.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param kind the kind of fault
 * @param key the table and key of the row
 * @param column the column, empty if the fault concerns the whole row
 * @param found the value found, as text
 * @param allowed a description of the allowed values
 */
public record RowFault(Kind kind, RowKey key, String column, String found, String allowed) {
    /** The kinds of faults. Constants are immutable and thread-safe. */
    public enum Kind {
        /** The key does not have the form that the table requires. */
        INVALID_KEY,
        /** The table has no such column. */
        UNKNOWN_COLUMN,
        /** A required column is absent. */
        MISSING_COLUMN,
        /** The value is of the wrong type or out of range. */
        INVALID_VALUE,
        /** The column does not apply, given the values of other columns of the row. */
        NOT_APPLICABLE,
        /** The row refers to a customer or data centre that is not accepted. */
        UNKNOWN_REFERENCE,
        /** Another accepted row of the customer offers the same service. */
        DUPLICATE_SERVICE,
        /** Accepted rows still refer to the removed row. */
        STILL_REFERENCED;

        /**
         * Returns the stable code.
         *
         * @return lower-case words joined by hyphens
         */
        public String code() {
            return Codes.of(this);
        }

        boolean dependsOnOtherRows() {
            return this == UNKNOWN_REFERENCE
                    || this == DUPLICATE_SERVICE
                    || this == STILL_REFERENCED;
        }
    }

    @Override
    public String toString() {
        String location = key + (column.isEmpty() ? "" : " column " + column);
        return location + ": " + kind.code() + ", found " + found + ", allowed " + allowed;
    }
}
