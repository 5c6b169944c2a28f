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
 * Keeps up with one table: reads it once, then follows its changes, and reads it again when the
 * history is gone. Rows older than one that was delivered before are left out. Confined to the
 * loop.
 */
final class TableFeed {
    private static final long RETRY_MILLIS = 150;

    /** Takes what a feed finds. Implementations run on the loop. */
    interface Listener {
        /** Takes a row that is new or changed. */
        void onRow(StoredRow row);

        /** Takes the news that a row is gone. */
        void onRemoved(String key);

        /** Takes the news that the whole table was delivered. */
        default void onCaughtUp() {
            // Most listeners need no such news.
        }

        /**
         * Takes the news that all rows up to a moment were delivered.
         *
         * @param asOf the moment
         */
        default void onCurrent(long asOf) {
            // Most listeners need no such news.
        }
    }

    /**
     * How a feed reads.
     *
     * @param table the table
     * @param part the part
     * @param waitMillis how long a call waits for a change
     * @param pauseMillis pause between calls, to take several changes at once
     * @param timeoutMillis time for the answer to a read
     */
    record Options(
            String table, String part, long waitMillis, long pauseMillis, long timeoutMillis) {}

    private final EventLoop loop;
    private final RowStore store;
    private final EventLog log;
    private final Options mode;
    private final Listener listener;

    /** True if the changes of the table are not followed. */
    private final boolean snapshotOnly;

    private final Map<String, Long> versions = new HashMap<>();

    private List<StoredRow> rowsOfPages = new ArrayList<>();
    private long deliveredVersion;

    /** When the present reading of the whole table began. */
    private long readStartedAt;

    private boolean stopped;
    private boolean caughtUp;

    TableFeed(
            EventLoop loop,
            RowStore store,
            EventLog log,
            Options mode,
            Listener listener,
            boolean once) {
        this.snapshotOnly = once;
        this.loop = loop;
        this.store = store;
        this.log = log;
        this.mode = mode;
        this.listener = listener;
    }

    void start() {
        readStartedAt = loop.now();
        readPage(RowRange.ofPart(mode.table(), mode.part()), 0);
    }

    void stop() {
        stopped = true;
    }

    private void readPage(RowRange range, long firstVersion) {
        store.read(
                range,
                mode.timeoutMillis(),
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
        Set<String> present = new HashSet<>();
        for (StoredRow row : rows) {
            present.add(row.key());
            deliver(row);
        }
        for (String key : new ArrayList<>(versions.keySet())) {
            if (!present.contains(key) && versions.get(key) <= version) {
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
        long known = versions.getOrDefault(row.key(), 0L);
        if (row.version() <= known) {
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
            long sentAt = loop.now();
            store.changes(
                    mode.table(),
                    deliveredVersion,
                    mode.waitMillis(),
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
            long waited = ok.value().rows().isEmpty() ? mode.waitMillis() : 0;
            listener.onCurrent(Math.min(loop.now(), sentAt + waited));
            if (mode.pauseMillis() > 0) {
                loop.after(mode.pauseMillis(), this::follow);
            } else {
                follow();
            }
            return;
        }
        RowStoreFailure trouble = RowStoreFailure.of(result);
        if (trouble == RowStoreFailure.HISTORY_GONE) {
            log.event(DispatchEvent.FEED_RESTARTED)
                    .with("table", mode.table())
                    .with("after", deliveredVersion)
                    .with("reason", trouble.code())
                    .write();
            start();
        } else {
            retry(this::follow);
        }
    }

    private void retry(Runnable call) {
        loop.after(
                RETRY_MILLIS,
                () -> {
                    if (!stopped) {
                        call.run();
                    }
                });
    }
}
