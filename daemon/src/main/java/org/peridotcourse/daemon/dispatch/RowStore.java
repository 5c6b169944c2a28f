package org.peridotcourse.daemon.dispatch;

import java.util.function.Consumer;
import org.peridotcourse.Result;

/**
 * The platform's store of rows with versions, conditional writes and a feed of changes.
 *
 * <p>Calls return at once; handlers run on the event loop. Confined to the event loop.
 */
public interface RowStore {
    /**
     * Reads a consistent snapshot of rows.
     *
     * @param range the rows
     * @param timeoutMillis time for the whole answer
     * @param handler receives the rows or a {@link RowStoreFailure}
     */
    void read(RowRange range, long timeoutMillis, Consumer<Result<RowSet>> handler);

    /**
     * Writes rows under a condition.
     *
     * @param write the write
     * @param timeoutMillis time for the whole answer
     * @param handler receives the outcome
     */
    void write(RowWrite write, long timeoutMillis, Consumer<RowOutcome> handler);

    /**
     * Reads the changes of a table; waits if there is none yet.
     *
     * @param table the table
     * @param after the version after which changes are returned
     * @param waitMillis the longest time to wait for a change
     * @param handler receives the changes or a {@link RowStoreFailure}
     */
    void changes(String table, long after, long waitMillis, Consumer<Result<RowSet>> handler);
}
