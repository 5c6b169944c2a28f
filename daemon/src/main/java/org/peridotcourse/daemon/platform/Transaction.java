package org.peridotcourse.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A conditional write of several rows, all or nothing.
 *
 * <p>Build it with {@link #builder}. Instances are immutable and thread-safe.
 *
 * @param id the identifier of the write, never reused for another write; retries carry the same one
 * @param checks the rows that must have the expected commits
 * @param puts the rows to write
 * @param deletes the rows to remove
 */
public record Transaction(String id, List<Check> checks, List<Put> puts, List<Delete> deletes) {
    /**
     * Returns a builder.
     *
     * @param id the identifier of the write
     * @return the builder
     */
    public static Builder builder(String id) {
        return new Builder(id);
    }

    /**
     * A condition: a row that must have a given commit.
     *
     * @param table the table
     * @param key the key
     * @param commit the expected commit, 0 for an absent row
     */
    public record Check(String table, String key, long commit) {}

    /**
     * A row to write.
     *
     * @param table the table
     * @param key the key
     * @param value the columns
     */
    public record Put(String table, String key, JsonNode value) {}

    /**
     * A row to remove.
     *
     * @param table the table
     * @param key the key
     */
    public record Delete(String table, String key) {}

    /** Collects the parts of a transaction. Not thread-safe. */
    public static final class Builder {
        private final String id;
        private final List<Check> checks = new ArrayList<>();
        private final List<Put> puts = new ArrayList<>();
        private final List<Delete> deletes = new ArrayList<>();

        private Builder(String id) {
            this.id = id;
        }

        /**
         * Requires a row to have a given commit.
         *
         * @param table the table
         * @param key the key
         * @param commit the expected commit, 0 for an absent row
         * @return this builder
         */
        public Builder check(String table, String key, long commit) {
            checks.add(new Check(table, key, commit));
            return this;
        }

        /**
         * Writes a row.
         *
         * @param table the table
         * @param key the key
         * @param value the columns
         * @return this builder
         */
        public Builder put(String table, String key, JsonNode value) {
            puts.add(new Put(table, key, value));
            return this;
        }

        /**
         * Removes a row.
         *
         * @param table the table
         * @param key the key
         * @return this builder
         */
        public Builder delete(String table, String key) {
            deletes.add(new Delete(table, key));
            return this;
        }

        /**
         * Returns the transaction.
         *
         * @return the transaction
         */
        public Transaction build() {
            return new Transaction(
                    id, List.copyOf(checks), List.copyOf(puts), List.copyOf(deletes));
        }
    }
}
