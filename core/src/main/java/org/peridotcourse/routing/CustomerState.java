package org.peridotcourse.routing;

/**
 * Requests in flight and rate limit of one customer on this entry host. The limits in the
 * customer's row are divided by the number of entry hosts. Confined to the router's thread.
 */
final class CustomerState {
    private CustomerInfo info;
    private double rateTokens;
    private long refilledMillis;
    private int inFlight;

    CustomerState(CustomerInfo info, long now) {
        this.info = info;
        this.rateTokens = Double.MAX_VALUE;
        this.refilledMillis = now;
    }

    CustomerInfo info() {
        return info;
    }

    void update(CustomerInfo newInfo) {
        info = newInfo;
    }

    /** Returns whether one more request is within the limit on requests in flight. */
    boolean isBelowInFlightLimit(int entryHostCount) {
        return inFlight < Math.max(1, (info.maxInFlight() + entryHostCount - 1) / entryHostCount);
    }

    /**
     * Takes a token for one request from the token bucket of the rate limit.
     *
     * @return 0 if a token was taken, otherwise the milliseconds until one is available
     */
    long acquireRateToken(long now, int entryHostCount) {
        double tokensPerMilli = info.maxRequestsPerSecond() / 1000.0 / entryHostCount;
        double burst = Math.max(1, tokensPerMilli * 1000);
        rateTokens = Math.min(burst, rateTokens + (now - refilledMillis) * tokensPerMilli);
        refilledMillis = now;
        if (rateTokens < 1) {
            return (long) Math.ceil((1 - rateTokens) / tokensPerMilli);
        }
        rateTokens -= 1;
        return 0;
    }

    void onAdmitted() {
        inFlight++;
    }

    void onFinished() {
        inFlight--;
    }
}
