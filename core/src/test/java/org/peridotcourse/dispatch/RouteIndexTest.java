package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Guards against lookups whose result differs from that of a linear search over all routes. */
class RouteIndexTest {
    private static final List<String> HOSTS = List.of("a.example", "B.example", "c.example");
    private static final List<String> PREFIXES = List.of("/", "/p/", "/p/q/", "/pq/", "/p/q/r/");

    private static ClusterConfig.Route route(String host, String prefix, String queue) {
        QueueRules rules = new QueueRules(queue, "svc", 0, 1, 1, 0, Optional.empty());
        return new ClusterConfig.Route(host, prefix, rules, false);
    }

    /** Finds the matching route by a linear search, as the reference for the index. */
    private static Optional<ClusterConfig.Route> linearSearch(
            List<ClusterConfig.Route> routes, String host, String path) {
        ClusterConfig.Route best = null;
        for (ClusterConfig.Route route : routes) {
            boolean fits = route.host().equalsIgnoreCase(host) && path.startsWith(route.prefix());
            if (fits && (best == null || route.prefix().length() > best.prefix().length())) {
                best = route;
            }
        }
        return Optional.ofNullable(best);
    }

    @Property(tries = 300, seed = "11", shrinking = ShrinkingMode.OFF)
    void theIndexAgreesWithALinearSearch(
            @ForAll int seed, @ForAll @IntRange(min = 0, max = 20) int count) {
        Random random = new Random(seed);
        List<ClusterConfig.Route> routes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String host = HOSTS.get(random.nextInt(HOSTS.size()));
            String prefix = PREFIXES.get(random.nextInt(PREFIXES.size()));
            routes.add(route(host, prefix, "q" + i));
        }
        ClusterConfig config = ClusterConfig.of(1, routes);
        for (String host : List.of("a.example", "A.EXAMPLE", "b.example", "d.example", "")) {
            for (String path : List.of("", "/", "/p", "/p/", "/p/q/x", "/pq/x", "/p/q/r/s")) {
                Optional<ClusterConfig.Route> expected = linearSearch(routes, host, path);
                assertEquals(expected, config.findRoute(host, path), host + path);
                assertEquals(expected, config.findRoute(host + ":8080", path), host + path);
            }
        }
    }

    /** Guards against a large configuration of which the index finds only some routes. */
    @Test
    void eachOfFourteenHundredRoutesIsFound() {
        List<ClusterConfig.Route> routes = new ArrayList<>();
        for (int i = 0; i < 1_400; i++) {
            routes.add(route("h" + i % 70 + ".example", "/p" + i + "/", "q" + i));
        }
        ClusterConfig config = ClusterConfig.of(1, routes);
        for (int i = 0; i < 1_400; i++) {
            Optional<String> queue =
                    config.findRoute("h" + i % 70 + ".example", "/p" + i + "/id")
                            .map(route -> route.queue().name());
            assertEquals(Optional.of("q" + i), queue);
        }
        assertEquals(Optional.empty(), config.findRoute("h1.example", "/p2/id"));
    }
}
