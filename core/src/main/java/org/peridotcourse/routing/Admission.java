package org.peridotcourse.routing;

import java.util.Optional;

/**
 * Refuses at once what exceeds a limit or cannot start in time. Confined to the router's thread.
 */
final class Admission {
    /**
     * Part of the time left that a request may wait. A longer queue adds no goodput, and requests
     * that start close to their deadline waste the slot when they miss it.
     */
    private static final double MAX_WAIT_FRACTION = 0.5;

    private final RoutingSettings settings;
    private final Dispatcher dispatcher;

    Admission(RoutingSettings settings, Dispatcher dispatcher) {
        this.settings = settings;
        this.dispatcher = dispatcher;
    }

    /** Returns the refusal of a new request, or empty if it is admitted. */
    Optional<Outcome.NotRun> check(long now, RoutedRequest request, EntryHosts hosts) {
        CustomerState customer = request.customer;
        ServicePool.RequestClass lane = request.pool.requestClassOf(request);
        if (!customer.isBelowInFlightLimit(hosts.count())) {
            return refusal(NotRunReason.CUSTOMER_IN_FLIGHT, lane.meanMillis());
        }
        double wait = lane.expectedWaitMillis(customer.info());
        double left = request.info.deadlineMillis() - now;
        boolean late = request.occupiesSlot() && wait > left * MAX_WAIT_FRACTION;
        if (late || !lane.hasQueueCapacity(customer.info(), settings.maxQueued())) {
            return refusal(
                    NotRunReason.OVERLOAD,
                    Math.max(lane.meanMillis(), wait - left * MAX_WAIT_FRACTION));
        }
        long untilRate = customer.acquireRateToken(now, hosts.count());
        return untilRate > 0
                ? Optional.of(new Outcome.NotRun(NotRunReason.CUSTOMER_RATE, untilRate))
                : Optional.empty();
    }

    private Optional<Outcome.NotRun> refusal(NotRunReason reason, double retryAfterMillis) {
        return Optional.of(
                new Outcome.NotRun(reason, dispatcher.jitteredRetryAfterMillis(retryAfterMillis)));
    }
}
