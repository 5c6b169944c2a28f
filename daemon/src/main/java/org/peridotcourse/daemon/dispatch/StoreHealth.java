package org.peridotcourse.daemon.dispatch;

import org.peridotcourse.Result;
import org.peridotcourse.daemon.log.EventLog;

/** Judges from the outcomes of calls whether this host reaches the store. Confined to the loop. */
public final class StoreHealth {
    /** Failures in a row after which calls go to other hosts first. */
    private static final int MIN_FAILURES = 2;

    /** Calls that were sent before a good answer may still time out after it. */
    private static final long MIN_FAILING_MILLIS = 300;

    private final EventLog log;
    private int consecutiveFailures;
    private long lastSuccessAt;
    private long firstFailureAt;
    private boolean unavailable;

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
        outcome.failure().ifPresentOrElse(trouble -> onFailure(trouble, now), () -> onSuccess(now));
    }

    /** Takes the outcome of a read. */
    void onRead(Result<RowSet> result, long now) {
        if (result instanceof Result.Ok<RowSet>) {
            onSuccess(now);
        } else {
            onFailure(RowStoreFailure.of(result), now);
        }
    }

    private void onSuccess(long now) {
        if (unavailable) {
            log.event(DispatchEvent.STORE_REGAINED)
                    .with("awayMillis", now - firstFailureAt)
                    .write();
        }
        unavailable = false;
        consecutiveFailures = 0;
        lastSuccessAt = now;
    }

    private void onFailure(RowStoreFailure trouble, long now) {
        if (trouble.isAnsweredByStore()) {
            onSuccess(now);
            return;
        }
        if (consecutiveFailures == 0) {
            firstFailureAt = now;
        }
        if (lastSuccessAt == 0) {
            lastSuccessAt = now;
        }
        consecutiveFailures++;
        if (!unavailable
                && consecutiveFailures >= MIN_FAILURES
                && now - lastSuccessAt >= MIN_FAILING_MILLIS) {
            unavailable = true;
            log.event(DispatchEvent.STORE_LOST)
                    .with("cause", trouble.code())
                    .with("sinceMillis", now - lastSuccessAt)
                    .write();
        }
    }

    /** Tells whether the last calls all failed. */
    boolean isUnavailable() {
        return unavailable;
    }
}
