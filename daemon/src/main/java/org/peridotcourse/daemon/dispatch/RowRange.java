package org.peridotcourse.daemon.dispatch;

/**
 * A range of rows to read.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param table the table
 * @param part the part of the table
 * @param from the first key, empty for the beginning
 * @param to the exclusive end key, empty for the end of the part
 * @param limit the largest number of rows
 */
public record RowRange(String table, String part, String from, String to, int limit) {
    /** The largest number of rows of one read. */
    public static final int MAX_ROWS = 500;

    /**
     * Appended to a key to form the next possible key. It is the first printable character, so that
     * no key of this system lies in between.
     */
    private static final String NEXT_KEY_SUFFIX = "!";

    /**
     * Returns the range of one row.
     *
     * @param table the table
     * @param part the part
     * @param key the key
     * @return the range
     */
    public static RowRange ofKey(String table, String part, String key) {
        return new RowRange(table, part, key, key + "!", 1);
    }

    /**
     * Returns the range of a whole part.
     *
     * @param table the table
     * @param part the part
     * @return the range, to be continued by {@link #after}
     */
    public static RowRange ofPart(String table, String part) {
        return new RowRange(table, part, "", "", MAX_ROWS);
    }

    /**
     * Returns the rest of this range.
     *
     * @param key the last key that was read
     * @return the range after that key
     */
    public RowRange after(String key) {
        return new RowRange(table, part, key + NEXT_KEY_SUFFIX, to, limit);
    }
}
