package org.peridotcourse.routing;

import java.util.Comparator;
import java.util.Optional;
import java.util.TreeSet;

/** Active requests ordered by deadline. Confined to the router's thread. */
final class DeadlineQueue {
    private final TreeSet<RoutedRequest> requests =
            new TreeSet<>(
                    Comparator.<RoutedRequest>comparingLong(r -> r.info.deadlineMillis())
                            .thenComparing(r -> r.info.id()));

    void add(RoutedRequest request) {
        requests.add(request);
    }

    void remove(RoutedRequest request) {
        requests.remove(request);
    }

    /** Returns the request with the earliest deadline if that deadline has passed. */
    Optional<RoutedRequest> firstDue(long now) {
        return requests.isEmpty() || requests.first().info.deadlineMillis() > now
                ? Optional.empty()
                : Optional.of(requests.first());
    }

    /** Returns the earlier of the earliest deadline and the given time. */
    long earliestMillis(long limitMillis) {
        return requests.isEmpty()
                ? limitMillis
                : Math.min(limitMillis, requests.first().info.deadlineMillis());
    }
}
