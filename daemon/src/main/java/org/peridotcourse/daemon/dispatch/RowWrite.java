package org.peridotcourse.daemon.dispatch;

import java.util.ArrayList;
import java.util.List;

/**
 * A conditional, atomic write of rows of one part.
 *
 * <p>Build it with {@link #builder}. Instances are immutable and thread-safe.
 *
 * @param part the part
 * @param expected the versions that rows must have
 * @param puts the rows to write
 * @param deletes the rows to remove
 */
public record RowWrite(String part, List<Expected> expected, List<Put> puts, List<Key> deletes) {
    /**
     * Returns a builder.
     *
     * @param part the part of all rows
     * @return the builder
     */
    public static Builder builder(String part) {
        return new Builder(part);
    }

    /**
     * The identity of a row.
     *
     * @param table the table
     * @param key the key
     */
    public record Key(String table, String key) {}

    /**
     * A condition.
     *
     * @param row the row
     * @param version the version it must have, 0 if it must not exist
     */
    public record Expected(Key row, long version) {}

    /**
     * A row to write.
     *
     * @param row the row
     * @param value the bytes
     */
    public record Put(Key row, byte[] value) {}

    /** Builds a write. Not thread-safe. */
    public static final class Builder {
        private final String part;
        private final List<Expected> expected = new ArrayList<>();
        private final List<Put> puts = new ArrayList<>();
        private final List<Key> deletes = new ArrayList<>();

        private Builder(String part) {
            this.part = part;
        }

        /**
         * Requires a row to have a version.
         *
         * @param table the table
         * @param key the key
         * @param version the version, 0 if the row must not exist
         * @return this builder
         */
        public Builder expect(String table, String key, long version) {
            expected.add(new Expected(new Key(table, key), version));
            return this;
        }

        /**
         * Writes a row.
         *
         * @param table the table
         * @param key the key
         * @param value the bytes
         * @return this builder
         */
        public Builder put(String table, String key, byte[] value) {
            puts.add(new Put(new Key(table, key), value));
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
            deletes.add(new Key(table, key));
            return this;
        }

        /**
         * Returns the write.
         *
         * @return the write
         */
        public RowWrite build() {
            return new RowWrite(
                    part, List.copyOf(expected), List.copyOf(puts), List.copyOf(deletes));
        }
    }
}
