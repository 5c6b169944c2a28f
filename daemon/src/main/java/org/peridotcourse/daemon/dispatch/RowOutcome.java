package org.peridotcourse.daemon.dispatch;

import java.util.List;
import java.util.Optional;

/** The outcome of a {@link RowWrite}. Instances are immutable and thread-safe. */
public sealed interface RowOutcome
        permits RowOutcome.Written, RowOutcome.Conflict, RowOutcome.NotApplied, RowOutcome.Unknown {
    /**
     * Returns the failure of the call, if the store did not report whether the conditions hold.
     *
     * @return the failure, or empty if the write took effect or found a conflict
     */
    default Optional<RowStoreFailure> failure() {
        return Optional.empty();
    }

    /**
     * The write took effect.
     *
     * @param version the version of the written rows
     */
    record Written(long version) implements RowOutcome {}

    /**
     * The write did not take effect, because rows did not have the expected versions.
     *
     * @param rows the current rows of the conditions
     */
    record Conflict(List<StoredRow> rows) implements RowOutcome {
        /**
         * Returns a row of the conditions.
         *
         * @param table the table
         * @param key the key
         * @return the row, or empty if it does not exist
         */
        public Optional<StoredRow> row(String table, String key) {
            return rows.stream()
                    .filter(row -> row.table().equals(table) && row.key().equals(key))
                    .filter(row -> row.version() > 0 && !row.deleted())
                    .findFirst();
        }
    }

    /**
     * The write certainly takes no effect, now or later.
     *
     * @param cause why
     */
    record NotApplied(RowStoreFailure cause) implements RowOutcome {
        @Override
        public Optional<RowStoreFailure> failure() {
            return Optional.of(cause);
        }
    }

    /**
     * There is no answer; the write may have taken effect or may still do so.
     *
     * @param cause why
     */
    record Unknown(RowStoreFailure cause) implements RowOutcome {
        @Override
        public Optional<RowStoreFailure> failure() {
            return Optional.of(cause);
        }
    }
}
