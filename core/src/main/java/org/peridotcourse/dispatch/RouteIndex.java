package org.peridotcourse.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Index of routes by host name and path prefix. A lookup tries the prefix lengths of the host from
 * the longest to the shortest, so that it does not compare the path with every route.
 *
 * <p>Instances are immutable and thread-safe.
 */
final class RouteIndex {
    private final Map<String, HostRoutes> byHost = new HashMap<>();

    RouteIndex(Collection<ClusterConfig.Route> routes) {
        for (ClusterConfig.Route route : routes) {
            byHost.computeIfAbsent(lowerCase(route.host()), host -> new HostRoutes()).add(route);
        }
    }

    /** The routes of one host name. */
    private static final class HostRoutes {
        private final Map<Integer, Map<String, ClusterConfig.Route>> byLength =
                new TreeMap<>((first, second) -> Integer.compare(second, first));

        /** Adds a route. If several routes have the same prefix, the first one added is used. */
        void add(ClusterConfig.Route route) {
            byLength.computeIfAbsent(route.prefix().length(), length -> new HashMap<>())
                    .putIfAbsent(route.prefix(), route);
        }

        Optional<ClusterConfig.Route> longest(String path) {
            for (Map.Entry<Integer, Map<String, ClusterConfig.Route>> entry : byLength.entrySet()) {
                if (entry.getKey() <= path.length()) {
                    ClusterConfig.Route route =
                            entry.getValue().get(path.substring(0, entry.getKey()));
                    if (route != null) {
                        return Optional.of(route);
                    }
                }
            }
            return Optional.empty();
        }
    }

    /** Returns the route of a host, ignoring case, that has the longest matching path prefix. */
    Optional<ClusterConfig.Route> find(String host, String path) {
        HostRoutes routes = byHost.get(lowerCase(host));
        return routes == null ? Optional.empty() : routes.longest(path);
    }

    private static String lowerCase(String host) {
        return host.toLowerCase(Locale.ROOT);
    }
}
