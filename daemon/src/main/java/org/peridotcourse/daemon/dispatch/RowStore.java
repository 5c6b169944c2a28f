package org.peridotcourse.daemon.dispatch;

import java.util.function.Consumer;
import org.peridotcourse.Result;

/**
 * The platform's store of rows with versions, conditional writes and a feed of changes.
 *
 * <p>Calls return at once; handlers run on the event loop. Confined to the loop.
 */
public interface RowStore {
    /**
     * Reads rows as of one moment.
     *
     * @param range the rows
     * @param timeoutMillis time for the whole answer
     * @param handler takes the rows or a {@link RowStoreFailure}
     */
    void read(RowRange range, long timeoutMillis, Consumer<Result<RowSet>> handler);

    /**
     * Writes rows under a condition.
     *
     * @param write the write
     * @param timeoutMillis time for the whole answer
     * @param handler takes the outcome
     */
    void write(RowWrite write, long timeoutMillis, Consumer<RowOutcome> handler);

    /**
     * Reads the changes of a table, and waits for the first one.
     *
     * @param table the table
     * @param after the version behind which changes are wanted
     * @param waitMillis the longest time to wait for a change
     * @param handler takes the changes or a {@link RowStoreFailure}
     */
    void changes(String table, long after, long waitMillis, Consumer<Result<RowSet>> handler);
}
