package org.peridotcourse.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Selects the backend server of a request: the server with the lowest expected wait in the nearest
 * tier that has capacity. Confined to the router's thread.
 */
final class BackendSelector {
    private final RoutingSettings settings;
    private final RandomGenerator random;

    BackendSelector(RoutingSettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
    }

    /** Returns the server that can take the request now on an idle connection, or null. */
    BackendServer selectIdle(long now, ServicePool pool, RoutedRequest request) {
        if (!settings.policy().isLimited()) {
            BackendServer selected = selectRandom(pool, request);
            return selected != null && selected.hasIdle(request.lastConnectionId) ? selected : null;
        }
        return selectBest(now, pool, request, false);
    }

    /** Returns the server to which a connection should be opened for the request, or null. */
    BackendServer selectForConnect(long now, ServicePool pool, RoutedRequest request) {
        return settings.policy().isLimited()
                ? selectBest(now, pool, request, true)
                : selectRandom(pool, request);
    }

    private BackendServer selectRandom(ServicePool pool, RoutedRequest request) {
        BackendServer selected = request.selectedServer;
        if (selected == null || !selected.isAccepting()) {
            List<BackendServer> accepting = pool.acceptingServersFor(request.customer.info());
            selected = accepting.isEmpty() ? null : accepting.get(random.nextInt(accepting.size()));
            request.selectedServer = selected;
        }
        return selected;
    }

    private BackendServer selectBest(
            long now, ServicePool pool, RoutedRequest request, boolean forConnect) {
        boolean occupiesSlot = request.occupiesSlot();
        BackendServer best = null;
        int tier = Integer.MAX_VALUE;
        double bestScore = 0;
        int ties = 0;
        for (BackendServer server : candidates(pool)) {
            if (server.tier() > tier || !isEligible(now, pool, server, request)) {
                continue;
            }
            boolean hasIdle = server.hasIdle(request.lastConnectionId);
            int used = server.used(occupiesSlot) + (forConnect ? server.connectingCount() : 0);
            boolean usable =
                    forConnect
                            ? server.mayConnect() && used < server.capacity(occupiesSlot)
                            : hasIdle;
            boolean canOpenConnection =
                    server.mayConnect()
                            && server.used(occupiesSlot) + server.connectingCount()
                                    < server.capacity(occupiesSlot);
            if (!usable && !canOpenConnection) {
                continue;
            }
            // A new connection in a nearer tier is preferred to an idle one in a farther tier.
            if (server.tier() < tier) {
                tier = server.tier();
                best = null;
            }
            if (!usable) {
                continue;
            }
            double score = score(now, server, used, occupiesSlot);
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
        int candidateCount = settings.candidateCount();
        if (candidateCount == 0 || candidateCount >= all.size()) {
            return all;
        }
        List<BackendServer> selected = new ArrayList<>(candidateCount);
        for (int i = 0; i < candidateCount; i++) {
            selected.add(all.get(random.nextInt(all.size())));
        }
        return selected;
    }

    private static double score(long now, BackendServer server, int used, boolean occupiesSlot) {
        if (server.health.isProbing()) {
            return -1; // A server that may have recovered is probed first.
        }
        double load = (used + 1.0) / Math.max(1, server.info().slots());
        return occupiesSlot ? load * server.expectedLatencyMillis(now) : load;
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
