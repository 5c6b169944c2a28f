package org.peridotcourse.daemon.dispatch;

import org.peridotcourse.Failure;
import org.peridotcourse.daemon.log.EventLog;

/** Log lines about rows. It holds no state and is thread-safe. */
final class RowLog {
    private RowLog() {}

    /** Writes that a row is passed over. */
    static void logUnreadable(EventLog log, StoredRow row, Failure why) {
        log.event(DispatchEvent.ROW_REFUSED)
                .with("table", row.table())
                .with("key", row.key())
                .with("version", row.version())
                .with("reason", why.message())
                .write();
    }

    /** Runs what a row gives rise to; a fault in it is logged and concerns this row only. */
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
