package org.peridotcourse.config;

import org.peridotcourse.base.Codes;

/**
 * One reason why a row is not accepted.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param kind what is wrong
 * @param key the table and key of the row
 * @param column the column, empty if the whole row is meant
 * @param found the value found
 * @param allowed the allowed values
 */
public record RowFault(Kind kind, RowKey key, String column, String found, String allowed) {
    /** The kinds of faults. Constants are immutable and thread-safe. */
    public enum Kind {
        /** The key has a wrong form. */
        INVALID_KEY,
        /** The table has no such column. */
        UNKNOWN_COLUMN,
        /** A required column is absent. */
        MISSING_COLUMN,
        /** The value is of the wrong type or out of range. */
        INVALID_VALUE,
        /** The column does not apply to a row with these other values. */
        NOT_APPLICABLE,
        /** The row refers to a customer or data centre that is not accepted. */
        UNKNOWN_REFERENCE,
        /** Another accepted row of the customer offers the same service. */
        DUPLICATE_SERVICE,
        /** The removed row is still referred to by accepted rows. */
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
        String place = key + (column.isEmpty() ? "" : " column " + column);
        return place + ": " + kind.code() + ", found " + found + ", allowed " + allowed;
    }
}
