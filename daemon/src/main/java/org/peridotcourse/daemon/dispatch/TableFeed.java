package org.peridotcourse.daemon.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.peridotcourse.Result;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.ring.EventLoop;

/**
 * Follows one table: reads a snapshot, then its changes, and reads a snapshot again when the change
 * history is no longer available. Rows older than a version that was already delivered are skipped.
 * Confined to the event loop.
 */
final class TableFeed {
    private static final long RETRY_MILLIS = 150;

    /** Listens to the rows of a feed. Implementations run on the event loop. */
    interface Listener {
        /** Called with a row that is new or changed. */
        void onRow(StoredRow row);

        /** Called when a row was removed. */
        void onRemoved(String key);

        /** Called once, when the whole table was delivered for the first time. */
        default void onCaughtUp() {
            // Most listeners do not need this notification.
        }

        /**
         * Called when all changes up to a time were delivered.
         *
         * @param asOf that time
         */
        default void onCurrent(long asOf) {
            // Most listeners do not need this notification.
        }
    }

    /**
     * The options of a feed.
     *
     * @param table the table
     * @param part the part
     * @param waitMillis how long a call waits for a change
     * @param pauseMillis pause between calls, to receive several changes at once
     * @param timeoutMillis time for the answer to a read
     */
    record Options(
            String table, String part, long waitMillis, long pauseMillis, long timeoutMillis) {}

    private final EventLoop loop;
    private final RowStore store;
    private final EventLog log;
    private final Options options;
    private final Listener listener;

    /** True if only one snapshot is read and changes are not followed. */
    private final boolean snapshotOnly;

    private final Map<String, Long> versions = new HashMap<>();

    private List<StoredRow> rowsOfPages = new ArrayList<>();
    private long deliveredVersion;

    /** When the current read of the whole table started. */
    private long readStartedAt;

    private boolean stopped;
    private boolean caughtUp;

    TableFeed(
            EventLoop loop,
            RowStore store,
            EventLog log,
            Options options,
            Listener listener,
            boolean snapshotOnly) {
        this.snapshotOnly = snapshotOnly;
        this.loop = loop;
        this.store = store;
        this.log = log;
        this.options = options;
        this.listener = listener;
    }

    void start() {
        readStartedAt = loop.nowMillis();
        readPage(RowRange.ofPart(options.table(), options.part()), 0);
    }

    void stop() {
        stopped = true;
    }

    private void readPage(RowRange range, long firstVersion) {
        store.read(
                range,
                options.timeoutMillis(),
                result -> {
                    if (!stopped) {
                        onPage(range, firstVersion, result);
                    }
                });
    }

    private void onPage(RowRange range, long firstVersion, Result<RowSet> result) {
        if (!(result instanceof Result.Ok<RowSet> ok)) {
            retry(this::start);
            rowsOfPages = new ArrayList<>();
            return;
        }
        RowSet page = ok.value();
        rowsOfPages.addAll(page.rows());
        long first = firstVersion == 0 ? page.version() : firstVersion;
        if (page.hasMore() && !page.rows().isEmpty()) {
            readPage(range.after(page.rows().get(page.rows().size() - 1).key()), first);
            return;
        }
        List<StoredRow> rows = rowsOfPages;
        rowsOfPages = new ArrayList<>();
        deliverTable(rows, first);
    }

    private void deliverTable(List<StoredRow> rows, long version) {
        Set<String> presentKeys = new HashSet<>();
        for (StoredRow row : rows) {
            presentKeys.add(row.key());
            deliver(row);
        }
        for (String key : new ArrayList<>(versions.keySet())) {
            if (!presentKeys.contains(key) && versions.get(key) <= version) {
                versions.remove(key);
                listener.onRemoved(key);
            }
        }
        deliveredVersion = Math.max(deliveredVersion, version);
        if (!caughtUp) {
            caughtUp = true;
            listener.onCaughtUp();
        }
        listener.onCurrent(readStartedAt);
        follow();
    }

    private void deliver(StoredRow row) {
        long deliveredVersionOfRow = versions.getOrDefault(row.key(), 0L);
        if (row.version() <= deliveredVersionOfRow) {
            return;
        }
        if (row.deleted()) {
            versions.remove(row.key());
            RowLog.runIsolated(log, row, () -> listener.onRemoved(row.key()));
        } else {
            versions.put(row.key(), row.version());
            RowLog.runIsolated(log, row, () -> listener.onRow(row));
        }
    }

    private void follow() {
        if (!stopped && !snapshotOnly) {
            long sentAt = loop.nowMillis();
            store.changes(
                    options.table(),
                    deliveredVersion,
                    options.waitMillis(),
                    result -> {
                        if (!stopped) {
                            onChanges(result, sentAt);
                        }
                    });
        }
    }

    private void onChanges(Result<RowSet> result, long sentAt) {
        if (result instanceof Result.Ok<RowSet> ok) {
            ok.value().rows().forEach(this::deliver);
            deliveredVersion = Math.max(deliveredVersion, ok.value().version());
            // Without changes the store answers only after the whole wait.
            long waited = ok.value().rows().isEmpty() ? options.waitMillis() : 0;
            listener.onCurrent(Math.min(loop.nowMillis(), sentAt + waited));
            if (options.pauseMillis() > 0) {
                loop.schedule(options.pauseMillis(), this::follow);
            } else {
                follow();
            }
            return;
        }
        RowStoreFailure failure = RowStoreFailure.of(result);
        if (failure == RowStoreFailure.HISTORY_GONE) {
            log.event(DispatchEvent.FEED_RESTARTED)
                    .with("table", options.table())
                    .with("after", deliveredVersion)
                    .with("reason", failure.code())
                    .write();
            start();
        } else {
            retry(this::follow);
        }
    }

    private void retry(Runnable call) {
        loop.schedule(
                RETRY_MILLIS,
                () -> {
                    if (!stopped) {
                        call.run();
                    }
                });
    }
}
