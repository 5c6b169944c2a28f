package org.peridotcourse.daemon.entry;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.peridotcourse.CustomerId;
import org.peridotcourse.Failure;
import org.peridotcourse.ServiceId;
import org.peridotcourse.routing.NotRunReason;

/**
 * A snapshot of the customers and services that the entry host serves. Instances are immutable and
 * thread-safe.
 *
 * @param isConfigured false before the first configuration was received
 * @param customers the customers
 * @param defaultDeadlinesMillis the deadlines, in milliseconds, of requests that specify none, by
 *     customer and service
 * @param services the services that backend servers offer
 */
public record EntryView(
        boolean isConfigured,
        Set<CustomerId> customers,
        Map<CustomerId, Map<ServiceId, Long>> defaultDeadlinesMillis,
        Set<ServiceId> services) {
    /** The view before the first configuration. */
    public static final EntryView EMPTY = new EntryView(false, Set.of(), Map.of(), Set.of());

    private static final long DEFAULT_DEADLINE_MILLIS = 2_000;

    /**
     * Copies the collections.
     *
     * @param isConfigured false before the first configuration was received
     * @param customers the customers
     * @param defaultDeadlinesMillis the deadlines of requests that specify none
     * @param services the services
     */
    public EntryView {
        customers = Set.copyOf(customers);
        defaultDeadlinesMillis = Map.copyOf(defaultDeadlinesMillis);
        services = Set.copyOf(services);
    }

    /** The reason for refusing requests before the first configuration. */
    enum NotReadyReason implements Failure {
        /** No configuration was received. */
        NOT_CONFIGURED;

        @Override
        public String code() {
            return "not-configured";
        }

        @Override
        public String message() {
            return "the entry host has no configuration yet";
        }
    }

    /**
     * Returns a copy with the given services.
     *
     * @param offered the services that backend servers offer
     * @return the copy
     */
    public EntryView withServices(Set<ServiceId> offered) {
        return new EntryView(isConfigured, customers, defaultDeadlinesMillis, offered);
    }

    /** Returns why requests of a customer to a service are refused, or empty. */
    Optional<Failure> refusal(CustomerId customer, ServiceId service) {
        if (!isConfigured) {
            return Optional.of(NotReadyReason.NOT_CONFIGURED);
        }
        if (!customers.contains(customer)) {
            return Optional.of(NotRunReason.UNKNOWN_CUSTOMER);
        }
        if (services.contains(service)) {
            return Optional.empty();
        }
        boolean configured =
                defaultDeadlinesMillis.getOrDefault(customer, Map.of()).containsKey(service);
        return Optional.of(configured ? NotRunReason.NO_BACKEND : NotRunReason.UNKNOWN_SERVICE);
    }

    /** Returns the deadline of requests that specify none, in milliseconds. */
    long defaultDeadlineMillis(CustomerId customer, ServiceId service) {
        return defaultDeadlinesMillis
                .getOrDefault(customer, Map.of())
                .getOrDefault(service, DEFAULT_DEADLINE_MILLIS);
    }
}
