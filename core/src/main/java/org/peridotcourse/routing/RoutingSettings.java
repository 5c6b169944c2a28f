package org.peridotcourse.routing;

/**
 * Settings of the router.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param policy how backend servers are selected and limited
 * @param maxAttempts maximum number of attempts of a request, including the first one
 * @param retryPercent maximum number of retries per hundred first attempts
 * @param maxQueued maximum number of queued requests of each service and request class, which
 *     limits memory
 * @param adaptive whether the limit per backend server may exceed the fixed share
 * @param candidateCount number of randomly drawn backend servers among which one is selected; 0 for
 *     all
 */
public record RoutingSettings(
        RoutingPolicy policy,
        int maxAttempts,
        int retryPercent,
        int maxQueued,
        boolean adaptive,
        int candidateCount) {
    /**
     * Returns the default settings.
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
