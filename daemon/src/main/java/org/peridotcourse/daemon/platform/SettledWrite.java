package org.peridotcourse.daemon.platform;

import java.util.Optional;
import org.peridotcourse.Result;

/**
 * Repeats a conditional write whose answer was lost until its effect is known.
 *
 * <p>A plain read does not settle a write, because the first try may still be on its way. The
 * repeat carries the same condition, so at most one try takes effect; a conflict after a lost
 * answer is followed by a read, and the writer of the row tells whether an earlier try took effect.
 * It holds no state and is thread-safe.
 */
final class SettledWrite {
    private SettledWrite() {}

    static WriteOutcome run(TableStore store, Transaction transaction, int attempts) {
        boolean answerLost = false;
        for (int i = 0; i < attempts; i++) {
            WriteOutcome outcome = store.write(transaction);
            if (outcome instanceof WriteOutcome.Unknown) {
                answerLost = true;
            } else if (outcome instanceof WriteOutcome.Conflict && answerLost) {
                return afterConflict(store, transaction, outcome);
            } else {
                return outcome;
            }
        }
        return new WriteOutcome.Unknown();
    }

    private static WriteOutcome afterConflict(
            TableStore store, Transaction transaction, WriteOutcome conflict) {
        if (transaction.puts().isEmpty()) {
            return conflict;
        }
        Transaction.Put first = transaction.puts().get(0);
        Result<Optional<Row>> read = store.row(first.table(), first.key());
        if (!(read instanceof Result.Ok<Optional<Row>> ok)) {
            return new WriteOutcome.Unknown();
        }
        Optional<Row> own = ok.value().filter(row -> row.writer().equals(transaction.id()));
        return own.<WriteOutcome>map(row -> new WriteOutcome.Committed(row.commit()))
                .orElse(conflict);
    }
}
