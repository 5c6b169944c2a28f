package org.peridotcourse.daemon.dispatch;

import org.peridotcourse.Failure;
import org.peridotcourse.daemon.log.EventLog;

/** Log lines about rows. It holds no state and is thread-safe. */
final class RowLog {
    private RowLog() {}

    /** Logs that a row cannot be parsed and is ignored. */
    static void logUnreadable(EventLog log, StoredRow row, Failure failure) {
        log.event(DispatchEvent.ROW_UNREADABLE)
                .with("table", row.table())
                .with("key", row.key())
                .with("version", row.version())
                .with("reason", failure.message())
                .write();
    }

    /** Runs the processing of a row; an exception is logged and affects this row only. */
    static void runIsolated(EventLog log, StoredRow row, Runnable task) {
        try {
            task.run();
        } catch (RuntimeException fault) {
            log.event(DispatchEvent.FAULT)
                    .with("fault", fault)
                    .with("at", "row " + row.table() + "/" + row.key())
                    .write();
        }
    }
}
