package org.peridotcourse.daemon.dispatch;

import org.peridotcourse.Failure;
import org.peridotcourse.daemon.log.EventLog;

/** Log lines about rows. It holds no state and is thread-safe. */
final class RowLog {
    private RowLog() {}

    /** Writes that a row is passed over. */
    static void refused(EventLog log, StoredRow row, Failure why) {
        log.event(DispatchEvent.ROW_REFUSED)
                .with("table", row.table())
                .with("key", row.key())
                .with("version", row.version())
                .with("reason", why.message())
                .write();
    }
}
