package org.peridotcourse.daemon.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Limits how many unknown ids each customer withdraws through this host, by a token bucket. Each
 * withdrawal is a write and leaves a row for minutes, and no job bounds their number. Confined to
 * the event loop.
 */
final class WithdrawalLimiter {
    /**
     * Withdrawals that a customer may make at once. After an outage of the store callers cancel all
     * submissions that got no answer.
     */
    static final int BURST = 50;

    /** Time after which a customer may make one more withdrawal. */
    static final long INTERVAL_MILLIS = 500;

    /** By customer, the time at which its bucket will be full; full buckets are left out. */
    private final Map<Optional<String>, Long> fullAt = new HashMap<>();

    /**
     * Takes a token of a customer.
     *
     * @param customer the customer; all calls without one share a bucket
     * @param now the current time
     * @return 0 if there was a token, otherwise the time until there is one, in milliseconds
     */
    long tryTake(Optional<String> customer, long now) {
        fullAt.values().removeIf(time -> time <= now);
        long newFullAt = fullAt.getOrDefault(customer, now) + INTERVAL_MILLIS;
        long wait = newFullAt - now - BURST * INTERVAL_MILLIS;
        if (wait > 0) {
            return wait;
        }
        fullAt.put(customer, newFullAt);
        return 0;
    }
}
