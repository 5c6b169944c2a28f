package org.peridotcourse.daemon.dispatch;

/**
 * A row of the platform's store as of one read.
 *
 * <p>Instances are immutable and thread-safe as long as the array is not modified.
 *
 * @param table the table
 * @param key the key
 * @param value the bytes, empty if the row was removed
 * @param version the transaction that wrote the row last, 0 if there is no row
 * @param deleted true if the row was removed
 */
public record StoredRow(String table, String key, byte[] value, long version, boolean deleted) {}
