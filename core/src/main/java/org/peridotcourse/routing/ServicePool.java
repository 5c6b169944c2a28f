package org.peridotcourse.routing;

import java.util.ArrayList;
import java.util.List;
import org.peridotcourse.CustomerId;
import org.peridotcourse.ServiceId;

/**
 * Backend servers of one service and the requests that wait for them. Confined to the router's
 * thread.
 */
final class ServicePool {
    /** Mean service time that is assumed before the first reply, in milliseconds. */
    private static final double ASSUMED_MILLIS = 10;

    final ServiceId service;
    final Lane slots = new Lane(true);
    final Lane watches = new Lane(false);
    final UnloadedLatency unloaded = new UnloadedLatency();
    private final List<BackendServer> servers = new ArrayList<>();

    ServicePool(ServiceId service) {
        this.service = service;
    }

    /** Requests of one kind of use, slots or bare connections. */
    final class Lane {
        final boolean slotted;
        final FairQueue<CustomerId, RoutedRequest> queue = new FairQueue<>();
        final LatencyWindow latency = new LatencyWindow();

        private Lane(boolean slotted) {
            this.slotted = slotted;
        }

        double meanMillis() {
            return latency.isEmpty() ? ASSUMED_MILLIS : latency.mean();
        }

        /** Returns how many requests of this lane run at once. */
        int capacity() {
            int sum = 0;
            for (BackendServer server : servers) {
                boolean counted = server.isAccepting() && server.health.isHealthy();
                sum += counted ? server.room(slotted) : 0;
            }
            return Math.max(1, sum);
        }

        int used() {
            return servers.stream().mapToInt(server -> server.used(slotted)).sum();
        }

        /** Tells whether any server may take one more request of this lane. */
        boolean hasRoom(long now) {
            for (BackendServer server : servers) {
                if (server.isAccepting()
                        && !server.isPaused(now)
                        && server.used(slotted) < server.room(slotted)) {
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
            double share = customer.weight() / queue.weightWith(customer.id(), customer.weight());
            return (queue.sizeOf(customer.id()) + 1) * meanMillis() / (capacity * share);
        }

        /** Tells whether a customer's part of the bounded queue has room. */
        boolean hasQueueRoom(CustomerInfo customer, int maxQueued) {
            double share = customer.weight() / queue.weightWith(customer.id(), customer.weight());
            return queue.size() < maxQueued
                    && queue.sizeOf(customer.id()) < Math.max(1, maxQueued * share);
        }
    }

    Lane laneOf(RoutedRequest request) {
        return request.isSlotted() ? slots : watches;
    }

    List<BackendServer> servers() {
        return servers;
    }

    List<BackendServer> acceptingFor(CustomerInfo customer) {
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

    /** Tells whether one more server may be ejected without exceeding half of them. */
    boolean mayEject() {
        int accepting = 0;
        int ejected = 0;
        for (BackendServer server : servers) {
            accepting += server.isAccepting() ? 1 : 0;
            ejected += server.isAccepting() && !server.health.isHealthy() ? 1 : 0;
        }
        return (ejected + 1) * 2 <= accepting;
    }

    /** Tells whether no server that the customer may use has a connection or a chance of one. */
    boolean isUnreachableFor(CustomerInfo customer) {
        return acceptingFor(customer).stream()
                .allMatch(
                        server ->
                                server.health.hasFailed()
                                        && server.connections().stream()
                                                .noneMatch(connection -> connection.open));
    }

    int connecting() {
        return servers.stream().mapToInt(BackendServer::connecting).sum();
    }

    /** Returns all requests that wait. */
    List<RoutedRequest> queued() {
        List<RoutedRequest> queued = slots.queue.items();
        queued.addAll(watches.queue.items());
        return queued;
    }
}
