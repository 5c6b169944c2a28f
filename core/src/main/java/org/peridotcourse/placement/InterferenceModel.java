package org.peridotcourse.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.peridotcourse.WorkloadId;

/**
 * Learns how much each batch workload slows each service down when both share a worker.
 *
 * <p>Per pair it keeps an exponentially weighted ratio of the service's p99 with and without that
 * neighbour. An estimate fades with time, so that a pair is tried again. Confined to one thread.
 */
final class InterferenceModel {
    private static final double WEIGHT = 0.3;
    private static final double ALONE_WEIGHT = 0.1;

    /** Rise per report of the lowest p99 seen, used until the service was seen alone. */
    private static final double LOWEST_RISE = 1.001;

    private static final double HALF_LIFE_MILLIS = 600_000;

    private final Map<WorkloadId, Service> services = new HashMap<>();

    private static final class Service {
        double alone;
        double lowest = Double.MAX_VALUE;
        final Map<WorkloadId, Pair> pairs = new HashMap<>();

        double baseline() {
            return alone > 0 ? alone : lowest;
        }
    }

    private static final class Pair {
        double ratio = 1;
        long updatedMillis;
    }

    /**
     * Records a latency.
     *
     * @return the latency relative to the service without neighbours, 1 if that is not known
     */
    double observe(
            long nowMillis, WorkloadId service, double p99, Collection<WorkloadId> neighbours) {
        Service known = services.computeIfAbsent(service, key -> new Service());
        if (p99 <= 0) {
            return 1;
        }
        known.lowest = Math.min(known.lowest * LOWEST_RISE, p99);
        if (neighbours.isEmpty()) {
            known.alone = known.alone == 0 ? p99 : known.alone + ALONE_WEIGHT * (p99 - known.alone);
            return 1;
        }
        double ratio = p99 / known.baseline();
        for (WorkloadId neighbour : neighbours) {
            Pair pair = known.pairs.computeIfAbsent(neighbour, key -> new Pair());
            double old = faded(pair, nowMillis);
            pair.ratio = old + WEIGHT / neighbours.size() * (ratio - old);
            pair.updatedMillis = nowMillis;
        }
        return ratio;
    }

    /** Returns the expected ratio of a pair, 1 if nothing is known. */
    double ratio(long nowMillis, WorkloadId service, WorkloadId batch) {
        Service known = services.get(service);
        Pair pair = known == null ? null : known.pairs.get(batch);
        return pair == null ? 1 : Math.max(1, faded(pair, nowMillis));
    }

    private static double faded(Pair pair, long nowMillis) {
        double age = Math.max(0, nowMillis - pair.updatedMillis);
        return 1 + (pair.ratio - 1) * Math.pow(0.5, age / HALF_LIFE_MILLIS);
    }
}
