package org.peridotcourse.daemon.dispatch;

import org.peridotcourse.Result;
import org.peridotcourse.daemon.log.EventLog;

/**
 * Derives from the outcomes of calls whether the store is available to this host. Confined to the
 * event loop.
 */
public final class StoreHealth {
    /**
     * Consecutive failures after which the store counts as unavailable and calls are forwarded to
     * other hosts.
     */
    private static final int MIN_FAILURES = 2;

    /**
     * Time since the last success after which the store may count as unavailable. Calls that were
     * sent before a success may still time out after it.
     */
    private static final long MIN_FAILING_MILLIS = 300;

    private final EventLog log;
    private int consecutiveFailures;
    private long lastSuccessAt;
    private long firstFailureAt;
    private boolean unavailable;

    /**
     * Creates the health of a store that has not been called yet.
     *
     * @param log receives an event when the store becomes unavailable or available again
     */
    public StoreHealth(EventLog log) {
        this.log = log;
    }

    /** Records the outcome of a write. */
    void onWrite(RowOutcome outcome, long now) {
        outcome.failure().ifPresentOrElse(failure -> onFailure(failure, now), () -> onSuccess(now));
    }

    /** Records the outcome of a read. */
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

    private void onFailure(RowStoreFailure failure, long now) {
        if (failure.isAnsweredByStore()) {
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
                    .with("cause", failure.code())
                    .with("sinceMillis", now - lastSuccessAt)
                    .write();
        }
    }

    /** Returns whether the store counts as unavailable. */
    boolean isUnavailable() {
        return unavailable;
    }
}
