package org.peridotcourse.daemon.platform;

import java.util.List;

/**
 * A page of rows that changed after a given commit.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param commit the last commit that the read includes
 * @param rows the rows in the order of their commits, including removed ones
 * @param more true if further rows follow
 */
public record RowPage(long commit, List<Row> rows, boolean more) {}
