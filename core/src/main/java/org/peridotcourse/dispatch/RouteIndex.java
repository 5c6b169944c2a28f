package org.peridotcourse.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Finds the route of a call without looking at every route: by host name, then by prefix, the
 * longest one first.
 *
 * <p>Instances are immutable and thread-safe.
 */
final class RouteIndex {
    private final Map<String, Prefixes> byHost = new HashMap<>();

    RouteIndex(Collection<ClusterConfig.Route> routes) {
        for (ClusterConfig.Route route : routes) {
            byHost.computeIfAbsent(lowerCase(route.host()), host -> new Prefixes()).add(route);
        }
    }

    /** The routes of one host name. */
    private static final class Prefixes {
        private final Map<Integer, Map<String, ClusterConfig.Route>> byLength =
                new TreeMap<>((one, other) -> Integer.compare(other, one));

        /** Of two routes with the same prefix the first one is in force. */
        void add(ClusterConfig.Route route) {
            byLength.computeIfAbsent(route.prefix().length(), length -> new HashMap<>())
                    .putIfAbsent(route.prefix(), route);
        }

        Optional<ClusterConfig.Route> longest(String path) {
            for (Map.Entry<Integer, Map<String, ClusterConfig.Route>> one : byLength.entrySet()) {
                if (one.getKey() <= path.length()) {
                    ClusterConfig.Route route = one.getValue().get(path.substring(0, one.getKey()));
                    if (route != null) {
                        return Optional.of(route);
                    }
                }
            }
            return Optional.empty();
        }
    }

    /** Finds a route: same host without regard to case, longest prefix of the path. */
    Optional<ClusterConfig.Route> find(String host, String path) {
        Prefixes prefixes = byHost.get(lowerCase(host));
        return prefixes == null ? Optional.empty() : prefixes.longest(path);
    }

    private static String lowerCase(String host) {
        return host.toLowerCase(Locale.ROOT);
    }
}
