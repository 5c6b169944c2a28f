package org.peridotcourse.daemon.control;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.peridotcourse.Result;
import org.peridotcourse.daemon.platform.Row;
import org.peridotcourse.daemon.platform.RowPage;
import org.peridotcourse.daemon.platform.StoreFailure;
import org.peridotcourse.daemon.platform.TableStore;

/** Reads all changes of a table, over as many pages as needed. It is stateless and thread-safe. */
public final class TableReader {
    private static final int PAGE_ROWS = 1000;

    /**
     * Largest page that is requested. A transaction with more rows than this in one table cannot be
     * read, because a page must hold all rows of a commit.
     */
    private static final int MAX_PAGE_ROWS = 64 * PAGE_ROWS;

    private TableReader() {}

    /**
     * Reads the rows that changed after a commit. A page may end between two rows of one
     * transaction, so the next page starts again with the last commit of the previous page.
     *
     * @param store the table service
     * @param table the table
     * @param since the commit after which changes are read, 0 for all existing rows
     * @return the rows at their latest commit, in the order of their commits, and the commit up to
     *     which the result is complete
     */
    static Result<RowPage> readChanges(TableStore store, String table, long since) {
        return readChanges(store, table, "", since);
    }

    /**
     * Reads the rows with a key prefix that changed after a commit.
     *
     * @param store the table service
     * @param table the table
     * @param prefix the prefix of the keys
     * @param since the commit after which changes are read, 0 for all existing rows
     * @return the rows at their latest commit, in the order of their commits, and the commit up to
     *     which the result is complete
     */
    public static Result<RowPage> readChanges(
            TableStore store, String table, String prefix, long since) {
        Map<String, Row> rows = new LinkedHashMap<>();
        long from = since;
        int limit = PAGE_ROWS;
        while (true) {
            Result<RowPage> read = store.rows(table, prefix, from, limit);
            if (!(read instanceof Result.Ok<RowPage> ok)) {
                return read;
            }
            RowPage page = ok.value();
            for (Row row : page.rows()) {
                rows.remove(row.key());
                rows.put(row.key(), row);
            }
            if (!page.more() || page.rows().isEmpty()) {
                return Result.ok(new RowPage(page.commit(), List.copyOf(rows.values()), false));
            }
            long lastCommit = page.rows().get(page.rows().size() - 1).commit();
            if (lastCommit - 1 > from) {
                from = lastCommit - 1;
            } else if (limit < MAX_PAGE_ROWS) {
                limit *= 2;
            } else {
                return Result.failed(StoreFailure.PROTOCOL);
            }
        }
    }
}
