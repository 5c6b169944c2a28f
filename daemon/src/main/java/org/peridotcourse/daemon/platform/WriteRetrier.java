package org.peridotcourse.daemon.platform;

import java.util.Optional;
import org.peridotcourse.Result;

/**
 * Retries a conditional write whose response was lost until its outcome is known.
 *
 * <p>A plain read does not determine the outcome, because the first attempt may still be in
 * transit. A retry carries the same condition, so at most one attempt takes effect. After a lost
 * response, a conflict is followed by a read: the writer of the row shows whether an earlier
 * attempt succeeded. It holds no state and is thread-safe.
 */
final class WriteRetrier {
    private WriteRetrier() {}

    static WriteOutcome run(TableStore store, Transaction transaction, int attempts) {
        WriteOutcome outcome = store.write(transaction);
        for (int i = 1; i < attempts && outcome instanceof WriteOutcome.Unknown; i++) {
            outcome = repeat(store, transaction);
        }
        return outcome;
    }

    static WriteOutcome repeat(TableStore store, Transaction transaction) {
        WriteOutcome outcome = store.write(transaction);
        return outcome instanceof WriteOutcome.Conflict
                ? resolveConflict(store, transaction, outcome)
                : outcome;
    }

    private static WriteOutcome resolveConflict(
            TableStore store, Transaction transaction, WriteOutcome conflict) {
        if (transaction.puts().isEmpty()) {
            return conflict;
        }
        Transaction.Put first = transaction.puts().get(0);
        Result<Optional<Row>> read = store.row(first.table(), first.key());
        if (!(read instanceof Result.Ok<Optional<Row>> ok)) {
            return new WriteOutcome.Unknown();
        }
        Optional<Row> ownRow = ok.value().filter(row -> row.writer().equals(transaction.id()));
        return ownRow.<WriteOutcome>map(row -> new WriteOutcome.Committed(row.commit()))
                .orElse(conflict);
    }
}
