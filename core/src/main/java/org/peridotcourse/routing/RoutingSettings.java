package org.peridotcourse.routing;

/**
 * Limits of the routing decisions.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param policy how backend servers are chosen and limited
 * @param maxAttempts attempts of a request, the first one included
 * @param retryPercent retries per hundred first attempts
 * @param maxQueued requests that wait per service, as a bound of memory
 * @param adaptive whether the limit per backend server may exceed the fixed share
 * @param candidateCount number of backend servers drawn for a choice; 0 for all
 */
public record RoutingSettings(
        RoutingPolicy policy,
        int maxAttempts,
        int retryPercent,
        int maxQueued,
        boolean adaptive,
        int candidateCount) {
    /**
     * Returns the settings in use.
     *
     * @return the default settings
     */
    public static RoutingSettings defaults() {
        return new RoutingSettings(RoutingPolicy.LOAD_AWARE, 2, 10, 4000, true, 0);
    }

    /**
     * Returns these settings with another policy.
     *
     * @param other the policy
     * @return the changed copy
     */
    public RoutingSettings withPolicy(RoutingPolicy other) {
        return new RoutingSettings(
                other, maxAttempts, retryPercent, maxQueued, adaptive, candidateCount);
    }
}
