package org.peridotcourse.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Chooses the backend server of a request: the nearest tier with room, and within it the least
 * expected wait. Confined to the router's thread.
 */
final class BackendSelector {
    private final RoutingSettings settings;
    private final RandomGenerator random;

    BackendSelector(RoutingSettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
    }

    /** Returns the server that takes the request now on an idle connection, or null. */
    BackendServer selectIdle(long now, ServicePool pool, RoutedRequest request) {
        if (!settings.policy().isLimited()) {
            BackendServer drawn = selectRandom(pool, request);
            return drawn != null && drawn.hasIdle(request.lastConnectionId) ? drawn : null;
        }
        return selectBest(now, pool, request, false);
    }

    /** Returns the server to which a connection is worth opening for the request, or null. */
    BackendServer selectForConnect(long now, ServicePool pool, RoutedRequest request) {
        return settings.policy().isLimited()
                ? selectBest(now, pool, request, true)
                : selectRandom(pool, request);
    }

    private BackendServer selectRandom(ServicePool pool, RoutedRequest request) {
        BackendServer drawn = request.selectedServer;
        if (drawn == null || !drawn.isAccepting()) {
            List<BackendServer> accepting = pool.acceptingServersFor(request.customer.info());
            drawn = accepting.isEmpty() ? null : accepting.get(random.nextInt(accepting.size()));
            request.selectedServer = drawn;
        }
        return drawn;
    }

    private BackendServer selectBest(
            long now, ServicePool pool, RoutedRequest request, boolean connect) {
        boolean slotted = request.occupiesSlot();
        BackendServer best = null;
        int tier = Integer.MAX_VALUE;
        double bestScore = 0;
        int ties = 0;
        for (BackendServer server : candidates(pool)) {
            if (server.tier() > tier || !isEligible(now, pool, server, request)) {
                continue;
            }
            boolean idle = server.hasIdle(request.lastConnectionId);
            int used = server.used(slotted) + (connect ? server.connectingCount() : 0);
            boolean usable =
                    connect ? server.mayConnect() && used < server.capacity(slotted) : idle;
            boolean opens =
                    server.mayConnect()
                            && server.used(slotted) + server.connectingCount()
                                    < server.capacity(slotted);
            if (!usable && !opens) {
                continue;
            }
            if (server.tier() < tier) {
                tier = server.tier();
                best = null;
            }
            if (!usable) {
                continue;
            }
            double score = score(now, server, used, slotted);
            ties = best != null && score == bestScore ? ties + 1 : 1;
            if (best == null
                    || score < bestScore
                    || (score == bestScore && random.nextInt(ties) == 0)) {
                best = server;
                bestScore = score;
            }
        }
        return best;
    }

    private List<BackendServer> candidates(ServicePool pool) {
        List<BackendServer> all = pool.servers();
        int choices = settings.candidateCount();
        if (choices == 0 || choices >= all.size()) {
            return all;
        }
        List<BackendServer> drawn = new ArrayList<>(choices);
        for (int i = 0; i < choices; i++) {
            drawn.add(all.get(random.nextInt(all.size())));
        }
        return drawn;
    }

    private static double score(long now, BackendServer server, int used, boolean slotted) {
        if (server.health.isProbing()) {
            return -1; // A server that may have recovered is probed as soon as possible.
        }
        double load = (used + 1.0) / Math.max(1, server.info().slots());
        return slotted ? load * server.expectedLatencyMillis(now) : load;
    }

    private static boolean isEligible(
            long now, ServicePool pool, BackendServer server, RoutedRequest request) {
        if (!server.isAccepting()
                || server.isPaused(now)
                || server.used(request.occupiesSlot()) >= server.capacity(request.occupiesSlot())
                || !request.customer.info().isAllowedIn(server.info().dataCentre())) {
            return false;
        }
        if (server == request.lastServer
                && pool.acceptingServersFor(request.customer.info()).size() > 1) {
            return false;
        }
        if (server.health.isHealthy()) {
            return true;
        }
        return server.health.isProbing()
                && server.inFlight() + server.watches() == 0
                && (request.isRepeatable() || pool.healthyCount() == 0);
    }
}
