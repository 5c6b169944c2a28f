package org.peridotcourse.daemon.platform;

import java.util.Optional;
import org.peridotcourse.Result;

/**
 * The platform's transactional table service.
 *
 * <p>Calls block for at most the configured time-out, so they belong on duty threads and never on
 * selector threads. Implementations are thread-safe.
 */
public interface TableStore {
    /**
     * Reads one row.
     *
     * @param table the table
     * @param key the key
     * @return the row, empty if it is absent, or a {@link StoreFailure}
     */
    Result<Optional<Row>> row(String table, String key);

    /**
     * Reads the rows that changed after a commit.
     *
     * @param table the table
     * @param prefix the beginning of the keys, empty for all
     * @param since the commit after which rows are wanted, 0 for all present rows
     * @param limit the largest number of rows
     * @return a page of rows, or a {@link StoreFailure}
     */
    Result<RowPage> rows(String table, String prefix, long since, int limit);

    /**
     * Writes rows conditionally, once. The caller settles {@link WriteOutcome.Unknown}.
     *
     * @param transaction the write
     * @return the outcome
     */
    WriteOutcome write(Transaction transaction);

    /**
     * Writes rows conditionally and settles a lost answer: repeats the same write until the
     * deadline and reads the writer of a conflicting row.
     *
     * @param transaction the write; it must put at least one row, or its conflicts stay as they are
     * @param attempts the largest number of tries
     * @return the outcome; {@code Unknown} only if every try went unanswered
     */
    default WriteOutcome settle(Transaction transaction, int attempts) {
        return SettledWrite.run(this, transaction, attempts);
    }
}
