package org.peridotcourse.routing;

/**
 * Use of one customer's limits on this entry host. The limits of its row are divided by the number
 * of entry hosts. Confined to the router's thread.
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

    void update(CustomerInfo changed) {
        info = changed;
    }

    /** Tells whether one more request fits the limit of requests in flight. */
    boolean isBelowInFlightLimit(int hosts) {
        return inFlight < Math.max(1, (info.maxInFlight() + hosts - 1) / hosts);
    }

    /**
     * Takes one request from the rate limit.
     *
     * @return 0 if it fits, otherwise the milliseconds until one fits
     */
    long acquireRateToken(long now, int hosts) {
        double perMilli = info.maxRequestsPerSecond() / 1000.0 / hosts;
        double burst = Math.max(1, perMilli * 1000);
        rateTokens = Math.min(burst, rateTokens + (now - refilledMillis) * perMilli);
        refilledMillis = now;
        if (rateTokens < 1) {
            return (long) Math.ceil((1 - rateTokens) / perMilli);
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
