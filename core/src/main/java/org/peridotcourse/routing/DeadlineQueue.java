package org.peridotcourse.routing;

import java.util.Comparator;
import java.util.Optional;
import java.util.TreeSet;

/** Held requests in the order of their deadlines. Confined to the router's thread. */
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

    /** Returns a request whose deadline has come. */
    Optional<RoutedRequest> firstDue(long now) {
        return requests.isEmpty() || requests.first().info.deadlineMillis() > now
                ? Optional.empty()
                : Optional.of(requests.first());
    }

    /** Returns the earliest deadline, or the given time if that is earlier. */
    long earliestMillis(long other) {
        return requests.isEmpty() ? other : Math.min(other, requests.first().info.deadlineMillis());
    }
}
