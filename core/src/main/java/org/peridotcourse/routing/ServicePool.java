package org.peridotcourse.routing;

import java.util.ArrayList;
import java.util.List;
import org.peridotcourse.CustomerId;
import org.peridotcourse.ServiceId;

/**
 * Backend servers of one service and the requests queued for them. Confined to the router's thread.
 */
final class ServicePool {
    /** Mean latency in milliseconds that is assumed before the first response. */
    private static final double INITIAL_MEAN_MILLIS = 10;

    final ServiceId service;
    final RequestClass slotRequests = new RequestClass(true);
    final RequestClass watchRequests = new RequestClass(false);
    final UnloadedLatency unloadedLatency = new UnloadedLatency();
    private final List<BackendServer> servers = new ArrayList<>();

    ServicePool(ServiceId service) {
        this.service = service;
    }

    /** Queue and latency of either the requests that occupy slots or the watches. */
    final class RequestClass {
        final boolean occupiesSlot;
        final FairQueue<CustomerId, RoutedRequest> queue = new FairQueue<>();
        final LatencyWindow latency = new LatencyWindow();

        private RequestClass(boolean occupiesSlot) {
            this.occupiesSlot = occupiesSlot;
        }

        double meanMillis() {
            return latency.isEmpty() ? INITIAL_MEAN_MILLIS : latency.meanMillis();
        }

        /** Returns how many requests of this class may run at once. */
        int capacity() {
            int sum = 0;
            for (BackendServer server : servers) {
                boolean available = server.isAccepting() && server.health.isHealthy();
                sum += available ? server.capacity(occupiesSlot) : 0;
            }
            return Math.max(1, sum);
        }

        int used() {
            return servers.stream().mapToInt(server -> server.used(occupiesSlot)).sum();
        }

        /** Returns whether any server may take one more request of this class. */
        boolean hasCapacity(long now) {
            for (BackendServer server : servers) {
                if (server.isAccepting()
                        && !server.isPaused(now)
                        && server.used(occupiesSlot) < server.capacity(occupiesSlot)) {
                    return true;
                }
            }
            return false;
        }

        /** Estimates how long a new request of a customer waits before it is forwarded. */
        double expectedWaitMillis(CustomerInfo customer) {
            int capacity = capacity();
            if (queue.isEmpty() && used() < capacity) {
                return 0;
            }
            double share =
                    customer.weight() / queue.totalWeightWith(customer.id(), customer.weight());
            return (queue.sizeOf(customer.id()) + 1) * meanMillis() / (capacity * share);
        }

        /**
         * Returns whether both the queue and the customer's share of it have capacity for one more
         * request.
         */
        boolean hasQueueCapacity(CustomerInfo customer, int maxQueued) {
            double share =
                    customer.weight() / queue.totalWeightWith(customer.id(), customer.weight());
            return queue.size() < maxQueued
                    && queue.sizeOf(customer.id()) < Math.max(1, maxQueued * share);
        }
    }

    RequestClass requestClassOf(RoutedRequest request) {
        return request.occupiesSlot() ? slotRequests : watchRequests;
    }

    List<BackendServer> servers() {
        return servers;
    }

    List<BackendServer> acceptingServersFor(CustomerInfo customer) {
        return servers.stream()
                .filter(BackendServer::isAccepting)
                .filter(server -> customer.isAllowedIn(server.info().dataCentre()))
                .toList();
    }

    int healthyCount() {
        return (int)
                servers.stream()
                        .filter(server -> server.isAccepting() && server.health.isHealthy())
                        .count();
    }

    /** Returns whether one more server may be ejected without exceeding half of them. */
    boolean mayEject() {
        int accepting = 0;
        int ejected = 0;
        for (BackendServer server : servers) {
            accepting += server.isAccepting() ? 1 : 0;
            ejected += server.isAccepting() && !server.health.isHealthy() ? 1 : 0;
        }
        return (ejected + 1) * 2 <= accepting;
    }

    /**
     * Returns whether all servers that the customer may use have failed and have no open
     * connection.
     */
    boolean isUnreachableFor(CustomerInfo customer) {
        return acceptingServersFor(customer).stream()
                .allMatch(
                        server ->
                                server.health.hasRecentFailure()
                                        && server.connections().stream()
                                                .noneMatch(connection -> connection.open));
    }

    int connectingCount() {
        return servers.stream().mapToInt(BackendServer::connectingCount).sum();
    }

    /** Returns all queued requests. */
    List<RoutedRequest> queuedRequests() {
        List<RoutedRequest> queued = slotRequests.queue.items();
        queued.addAll(watchRequests.queue.items());
        return queued;
    }
}
