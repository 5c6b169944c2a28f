package org.peridotcourse.daemon.dispatch;

import org.peridotcourse.Result;
import org.peridotcourse.daemon.log.EventLog;

/** Judges from the outcomes of calls whether this host reaches the store. Confined to the loop. */
public final class StoreHealth {
    /** Failures in a row after which calls go to other hosts first. */
    private static final int FAILURES = 2;

    /** Calls that were sent before a good answer may still time out after it. */
    private static final long SILENT_MILLIS = 300;

    private final EventLog log;
    private int failures;
    private long lastOkAt;
    private long firstFailureAt;
    private boolean away;

    /**
     * Creates the judgement of a host that has not called the store.
     *
     * @param log takes losses and returns
     */
    public StoreHealth(EventLog log) {
        this.log = log;
    }

    /** Takes the outcome of a write. */
    void onWrite(RowOutcome outcome, long now) {
        outcome.trouble().ifPresentOrElse(trouble -> onTrouble(trouble, now), () -> onOk(now));
    }

    /** Takes the outcome of a read. */
    void onRead(Result<RowSet> result, long now) {
        if (result instanceof Result.Ok<RowSet>) {
            onOk(now);
        } else {
            onTrouble(StoreTrouble.of(result), now);
        }
    }

    private void onOk(long now) {
        if (away) {
            log.event(DispatchEvent.STORE_REGAINED)
                    .with("awayMillis", now - firstFailureAt)
                    .write();
        }
        away = false;
        failures = 0;
        lastOkAt = now;
    }

    private void onTrouble(StoreTrouble trouble, long now) {
        if (trouble.isAnswered()) {
            onOk(now);
            return;
        }
        if (failures == 0) {
            firstFailureAt = now;
        }
        if (lastOkAt == 0) {
            lastOkAt = now;
        }
        failures++;
        if (!away && failures >= FAILURES && now - lastOkAt >= SILENT_MILLIS) {
            away = true;
            log.event(DispatchEvent.STORE_LOST)
                    .with("cause", trouble.code())
                    .with("sinceMillis", now - lastOkAt)
                    .write();
        }
    }

    /** Tells whether the last calls all failed. */
    boolean isAway() {
        return away;
    }
}
