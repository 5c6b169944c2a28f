package org.peridotcourse.routing;

/**
 * Limits of the routing decisions.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param policy how backend servers are chosen and limited
 * @param maxAttempts attempts of a request, the first one included
 * @param retryPercent retries per hundred first attempts
 */
public record RoutingSettings(RoutingPolicy policy, int maxAttempts, int retryPercent) {
    /**
     * Returns the settings in use.
     *
     * @return the default settings
     */
    public static RoutingSettings defaults() {
        return new RoutingSettings(RoutingPolicy.GUARDED, 2, 10);
    }

    /**
     * Returns these settings with another policy.
     *
     * @param other the policy
     * @return the changed copy
     */
    public RoutingSettings withPolicy(RoutingPolicy other) {
        return new RoutingSettings(other, maxAttempts, retryPercent);
    }
}
