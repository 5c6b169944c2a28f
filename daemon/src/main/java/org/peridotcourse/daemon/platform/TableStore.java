package org.peridotcourse.daemon.platform;

import java.util.Optional;
import org.peridotcourse.Result;

/**
 * The platform's transactional table service.
 *
 * <p>Calls block for at most the configured time-out, so they are made on duty threads and never on
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
     * @param prefix the prefix of the keys, empty for all keys
     * @param since the commit after which changed rows are returned, 0 for all existing rows
     * @param limit the largest number of rows
     * @return a page of rows, or a {@link StoreFailure}
     */
    Result<RowPage> rows(String table, String prefix, long since, int limit);

    /**
     * Writes rows conditionally, with one attempt. The caller handles {@link WriteOutcome.Unknown}.
     *
     * @param transaction the write
     * @return the outcome
     */
    WriteOutcome write(Transaction transaction);

    /**
     * Writes rows conditionally and determines the outcome when a response is lost: retries the
     * same write and, on a conflict after a lost response, reads the writer of the first row put.
     *
     * @param transaction the write; if it puts no row, a conflict is returned without a check for
     *     an earlier attempt that succeeded
     * @param attempts the largest number of attempts
     * @return the outcome; {@code Unknown} if no attempt had a clear response or the read after a
     *     conflict failed
     */
    default WriteOutcome writeWithRetries(Transaction transaction, int attempts) {
        return WriteRetrier.run(this, transaction, attempts);
    }

    /**
     * Repeats a write once whose earlier attempts had no response, and determines its outcome as
     * {@link #writeWithRetries} does.
     *
     * @param transaction the write
     * @return the outcome; {@code Unknown} if this attempt had no clear response either or the read
     *     after a conflict failed
     */
    default WriteOutcome repeatWrite(Transaction transaction) {
        return WriteRetrier.repeat(this, transaction);
    }
}
