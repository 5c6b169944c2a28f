package org.peridotcourse.daemon.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.peridotcourse.Result;

/**
 * Removes the withdrawals of ids after their retention time. It reads their rows page by page and
 * holds at most one page, so that callers who cancel many unknown ids use no memory of the owner
 * and do not delay a takeover. Confined to the event loop.
 */
final class WithdrawalCleaner {
    private static final long PERIOD_MILLIS = 15_000;
    private static final long READ_TIMEOUT_MILLIS = 1_200;

    /** The largest number of rows of one write, each of which is an entry twice. */
    private static final int ROWS_PER_WRITE = 49;

    private static final RowRange ALL_ROWS = RowRange.ofPart(RowNames.WITHDRAWN, RowNames.PART);

    private final HostComponents components;
    private final FencedWriter writer;
    private final long retentionMillis;

    /** Rows of the current page whose retention time is over. */
    private final Deque<StoredRow> expiredRows = new ArrayDeque<>();

    private RowRange nextPage = ALL_ROWS;
    private long nextReadAt;
    private boolean reading;

    WithdrawalCleaner(
            HostComponents components, long epoch, long epochVersion, Consumer<String> onDeposed) {
        this.components = components;
        this.writer = new FencedWriter(components, epoch, epochVersion, onDeposed);
        this.retentionMillis =
                ProgressCleaner.retentionMillis(
                        components.settings().limits().stateRetentionMillis());
    }

    void stop() {
        writer.stop();
    }

    /** Removes expired rows, or reads the next page if it is due. */
    void step(long now, long wallNow) {
        if (!writer.isIdle(now)) {
            return;
        }
        if (!expiredRows.isEmpty()) {
            removeExpired();
        } else if (!reading && now >= nextReadAt) {
            readPage(wallNow);
        }
    }

    private void readPage(long wallNow) {
        reading = true;
        components.store().read(nextPage, READ_TIMEOUT_MILLIS, result -> onPage(result, wallNow));
    }

    private void onPage(Result<RowSet> result, long wallNow) {
        reading = false;
        nextReadAt = components.loop().nowMillis() + PERIOD_MILLIS;
        if (!(result instanceof Result.Ok<RowSet> ok)) {
            nextPage = ALL_ROWS;
            return;
        }
        List<StoredRow> rows = ok.value().rows();
        rows.stream().filter(row -> isExpired(row, wallNow)).forEach(expiredRows::add);
        if (ok.value().hasMore() && !rows.isEmpty()) {
            nextPage = ALL_ROWS.after(rows.get(rows.size() - 1).key());
            nextReadAt = 0;
        } else {
            nextPage = ALL_ROWS;
        }
    }

    private boolean isExpired(StoredRow row, long wallNow) {
        Result<Long> withdrawnAt = RowCodec.withdrawnAtMillis(row.value());
        withdrawnAt
                .failure()
                .ifPresent(failure -> RowLog.logUnreadable(components.log(), row, failure));
        return withdrawnAt.toOptional().filter(at -> wallNow - at > retentionMillis).isPresent();
    }

    /**
     * Removes rows as they were read; a row that was written anew since is left to a later pass.
     */
    private void removeExpired() {
        List<StoredRow> batch = new ArrayList<>();
        RowWrite.Builder write = writer.begin();
        for (StoredRow row : expiredRows) {
            if (batch.size() == ROWS_PER_WRITE) {
                break;
            }
            batch.add(row);
            write.expect(RowNames.WITHDRAWN, row.key(), row.version());
            write.delete(RowNames.WITHDRAWN, row.key());
        }
        writer.send(
                "withdrawn",
                write.build(),
                version -> expiredRows.removeAll(batch),
                conflict -> expiredRows.removeAll(batch));
    }
}
