package org.peridotcourse.routing;

/** Token budget that bounds retries to a part of the requests. Confined to the router's thread. */
final class RetryBudget {
    private static final int TOKEN = 100;

    /** Retries that may follow at once after a calm period; larger bursts only feed an outage. */
    private static final int MAX_TOKENS = 50 * TOKEN;

    private final int percent;
    private int tokens;

    RetryBudget(int percent) {
        this.percent = percent;
    }

    /** Counts a first attempt. */
    void onFirstAttempt() {
        tokens = Math.min(MAX_TOKENS, tokens + percent);
    }

    /** Takes the right to one retry, if there is one. */
    boolean tryTake() {
        if (tokens < TOKEN) {
            return false;
        }
        tokens -= TOKEN;
        return true;
    }
}
