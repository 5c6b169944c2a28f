package org.peridotcourse.daemon.platform;

import java.util.List;

/** The outcome of a conditional write. Instances are immutable and thread-safe. */
public sealed interface WriteOutcome
        permits WriteOutcome.Committed, WriteOutcome.Conflict, WriteOutcome.Unknown {
    /**
     * The write took effect.
     *
     * @param commit the commit number of the write
     */
    record Committed(long commit) implements WriteOutcome {}

    /**
     * The write did not take effect, because rows did not have the expected commits.
     *
     * @param rows the rows that differ
     */
    record Conflict(List<Mismatch> rows) implements WriteOutcome {}

    /** There is no clear response; the write may have taken effect or may still do so. */
    record Unknown() implements WriteOutcome {}

    /**
     * A row whose commit differs from the expected one.
     *
     * @param table the table
     * @param key the key
     * @param commit the commit found, 0 if the row is absent
     */
    record Mismatch(String table, String key, long commit) {}
}
