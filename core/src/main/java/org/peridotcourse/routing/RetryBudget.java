package org.peridotcourse.routing;

/** Token budget that bounds retries to a part of the requests. Confined to the router's thread. */
final class RetryBudget {
    private static final int TOKENS_PER_RETRY = 100;

    /** Retries that may follow at once after a calm period; larger bursts only feed an outage. */
    private static final int MAX_TOKENS = 50 * TOKENS_PER_RETRY;

    private final int retryPercent;
    private int tokens;

    RetryBudget(int percent) {
        this.retryPercent = percent;
    }

    /** Counts a first attempt. */
    void onFirstAttempt() {
        tokens = Math.min(MAX_TOKENS, tokens + retryPercent);
    }

    /** Takes the right to one retry, if there is one. */
    boolean tryAcquire() {
        if (tokens < TOKENS_PER_RETRY) {
            return false;
        }
        tokens -= TOKENS_PER_RETRY;
        return true;
    }
}
