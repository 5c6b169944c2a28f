package org.peridotcourse.routing;

import java.util.Optional;

/**
 * Admission control: refuses a request at once if it exceeds a limit or would probably start too
 * late. Confined to the router's thread.
 */
final class Admission {
    /**
     * Fraction of the time to its deadline that a request may wait in the queue. A longer queue
     * adds no goodput, and a request that starts close to its deadline wastes a slot if it misses
     * the deadline.
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
        ServicePool.RequestClass requestClass = request.pool.requestClassOf(request);
        if (!customer.isBelowInFlightLimit(hosts.count())) {
            return refusal(NotRunReason.CUSTOMER_IN_FLIGHT, requestClass.meanMillis());
        }
        double expectedWaitMillis = requestClass.expectedWaitMillis(customer.info());
        double remainingMillis = request.info.deadlineMillis() - now;
        boolean exceedsMaxWait =
                request.occupiesSlot() && expectedWaitMillis > remainingMillis * MAX_WAIT_FRACTION;
        if (exceedsMaxWait
                || !requestClass.hasQueueCapacity(customer.info(), settings.maxQueued())) {
            return refusal(
                    NotRunReason.OVERLOAD,
                    Math.max(
                            requestClass.meanMillis(),
                            expectedWaitMillis - remainingMillis * MAX_WAIT_FRACTION));
        }
        long rateDelayMillis = customer.acquireRateToken(now, hosts.count());
        return rateDelayMillis > 0
                ? Optional.of(new Outcome.NotRun(NotRunReason.CUSTOMER_RATE, rateDelayMillis))
                : Optional.empty();
    }

    private Optional<Outcome.NotRun> refusal(NotRunReason reason, double retryAfterMillis) {
        return Optional.of(
                new Outcome.NotRun(reason, dispatcher.jitteredRetryAfterMillis(retryAfterMillis)));
    }
}
