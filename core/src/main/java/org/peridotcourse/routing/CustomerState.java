package org.peridotcourse.routing;

/**
 * Use of one customer's limits on this entry host. The limits of its row are divided by the number
 * of entry hosts. Confined to the router's thread.
 */
final class CustomerState {
    private CustomerInfo info;
    private double tokens;
    private long filledMillis;
    private int inFlight;

    CustomerState(CustomerInfo info, long now) {
        this.info = info;
        this.tokens = Double.MAX_VALUE;
        this.filledMillis = now;
    }

    CustomerInfo info() {
        return info;
    }

    void update(CustomerInfo changed) {
        info = changed;
    }

    /** Tells whether one more request fits the limit of requests in flight. */
    boolean hasRoom(int hosts) {
        return inFlight < Math.max(1, (info.maxInFlight() + hosts - 1) / hosts);
    }

    /**
     * Takes one request from the rate limit.
     *
     * @return 0 if it fits, otherwise the milliseconds until one fits
     */
    long takeRate(long now, int hosts) {
        double perMilli = info.maxRequestsPerSecond() / 1000.0 / hosts;
        double burst = Math.max(1, perMilli * 1000);
        tokens = Math.min(burst, tokens + (now - filledMillis) * perMilli);
        filledMillis = now;
        if (tokens < 1) {
            return (long) Math.ceil((1 - tokens) / perMilli);
        }
        tokens -= 1;
        return 0;
    }

    void onAdmitted() {
        inFlight++;
    }

    void onFinished() {
        inFlight--;
    }
}
