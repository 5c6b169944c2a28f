package org.peridotcourse.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.peridotcourse.WorkloadId;

/**
 * Learns how much each batch workload slows each service down when both share a worker.
 *
 * <p>Per pair it keeps an exponentially weighted ratio of the service's p99 with and without that
 * neighbour. Several neighbours share the difference between the observed and the expected ratio,
 * so a harmless workload is cleared by the reports in which it is alone; one that was part of many
 * clean reports takes less of the blame. An estimate fades slowly with time. Confined to one
 * thread.
 */
final class InterferenceModel {
    private static final double RATIO_WEIGHT = 0.3;
    private static final double ALONE_WEIGHT = 0.1;

    /** A report below this clears the neighbours in it. */
    private static final double CLEAN_RATIO = 1.03;

    /** Clean reports that clear a pair of a service and a workload that it has not met before. */
    private static final int CLEARING_REPORTS = 2;

    /** Bound of the clean reports that count, so that a workload that changes is found out. */
    private static final int MAX_CLEAN_REPORTS = 30;

    /** Rise per report of the lowest p99 seen, used until the service was seen alone. */
    private static final double LOWEST_P99_GROWTH = 1.001;

    /**
     * Probes clear a pair that has changed. With a half-life of 10 minutes instead, an estimate
     * fell below the threshold after 4 minutes and let a whole wave of noisy tasks in again.
     */
    private static final double HALF_LIFE_MILLIS = 6 * 3_600_000.0;

    private final Map<WorkloadId, Service> services = new HashMap<>();

    private static final class Service {
        double p99Alone;
        double lowestP99 = Double.MAX_VALUE;
        final Map<WorkloadId, Pair> pairs = new HashMap<>();

        double baseline() {
            return p99Alone > 0 ? p99Alone : lowestP99;
        }
    }

    private static final class Pair {
        double ratio = 1;
        long updatedMillis;
        int cleanReports;

        /** Weight of this neighbour in the sharing of a difference. */
        double blameWeight(double error) {
            return error > 0 ? 1.0 / (1 + cleanReports) : 1;
        }
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
        known.lowestP99 = Math.min(known.lowestP99 * LOWEST_P99_GROWTH, p99);
        if (neighbours.isEmpty()) {
            known.p99Alone =
                    known.p99Alone == 0
                            ? p99
                            : known.p99Alone + ALONE_WEIGHT * (p99 - known.p99Alone);
            return 1;
        }
        double ratio = p99 / known.baseline();
        double predicted = 1;
        for (WorkloadId neighbour : neighbours) {
            predicted += ratio(nowMillis, service, neighbour) - 1;
        }
        double error = ratio - predicted;
        boolean clean = ratio < CLEAN_RATIO;
        double suspicion = 0;
        for (WorkloadId neighbour : neighbours) {
            Pair pair = known.pairs.computeIfAbsent(neighbour, key -> new Pair());
            pair.cleanReports =
                    clean ? Math.min(pair.cleanReports + 1, MAX_CLEAN_REPORTS) : pair.cleanReports;
            suspicion += pair.blameWeight(error);
        }
        for (WorkloadId neighbour : neighbours) {
            Pair pair = known.pairs.get(neighbour);
            double step = RATIO_WEIGHT * error * pair.blameWeight(error) / suspicion;
            pair.ratio = Math.max(1, decayedRatio(pair, nowMillis) + step);
            pair.updatedMillis = nowMillis;
        }
        return ratio;
    }

    /** Raises an estimate to at least a ratio, after an eviction for interference. */
    void raiseEstimate(long nowMillis, WorkloadId service, WorkloadId batch, double ratio) {
        Pair pair =
                services.computeIfAbsent(service, key -> new Service())
                        .pairs
                        .computeIfAbsent(batch, key -> new Pair());
        pair.ratio = Math.max(decayedRatio(pair, nowMillis), ratio);
        pair.updatedMillis = nowMillis;
    }

    /** Returns the expected ratio of a pair, 1 if nothing is known. */
    double ratio(long nowMillis, WorkloadId service, WorkloadId batch) {
        Service known = services.get(service);
        Pair pair = known == null ? null : known.pairs.get(batch);
        return pair == null ? 1 : Math.max(1, decayedRatio(pair, nowMillis));
    }

    /**
     * Tells whether reports have neither cleared a pair nor shown interference; a service that has
     * reported no latency cannot be judged.
     */
    boolean isUndecided(WorkloadId service, WorkloadId batch) {
        Service known = services.get(service);
        if (known == null || known.lowestP99 == Double.MAX_VALUE) {
            return false;
        }
        Pair pair = known.pairs.get(batch);
        return pair == null
                || (pair.cleanReports < CLEARING_REPORTS && pair.ratio <= WorkerGuard.HIGH_RATIO);
    }

    private static double decayedRatio(Pair pair, long nowMillis) {
        double age = Math.max(0, nowMillis - pair.updatedMillis);
        return 1 + (pair.ratio - 1) * Math.pow(0.5, age / HALF_LIFE_MILLIS);
    }
}
