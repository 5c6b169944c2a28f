package org.peridotcourse.routing;

/**
 * Token bucket that limits retries to a percentage of the first attempts. Confined to the router's
 * thread.
 */
final class RetryBudget {
    private static final int TOKENS_PER_RETRY = 100;

    /** Limits a burst to 50 retries. Larger bursts only add load during an outage. */
    private static final int MAX_TOKENS = 50 * TOKENS_PER_RETRY;

    private final int retryPercent;
    private int tokens;

    RetryBudget(int percent) {
        this.retryPercent = percent;
    }

    /** Adds the tokens for a first attempt. */
    void onFirstAttempt() {
        tokens = Math.min(MAX_TOKENS, tokens + retryPercent);
    }

    /** Takes the tokens for one retry, if there are enough. */
    boolean tryAcquire() {
        if (tokens < TOKENS_PER_RETRY) {
            return false;
        }
        tokens -= TOKENS_PER_RETRY;
        return true;
    }
}
