package org.peridotcourse.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.peridotcourse.WorkloadId;

/**
 * Estimates how much each batch workload slows down each service when both share a worker.
 *
 * <p>Per pair of service and batch workload it keeps an exponentially weighted ratio of the
 * service's p99 with and without that workload. The difference between the observed and the
 * expected ratio is divided among all batch workloads on the worker; if it is positive, those with
 * many clean reports receive a smaller part. Reports in which a harmless workload is the only one
 * lower its estimate. Estimates decay slowly with time. Confined to one thread.
 */
final class InterferenceModel {
    private static final double RATIO_WEIGHT = 0.3;
    private static final double ALONE_WEIGHT = 0.1;

    /** A report with a lower ratio is clean: it counts in favour of all workloads in it. */
    private static final double CLEAN_RATIO = 1.03;

    /**
     * Number of clean reports after which a new pair of service and workload counts as harmless.
     */
    private static final int CLEARING_REPORTS = 2;

    /**
     * Maximum number of clean reports that count, so that a workload that starts to interfere is
     * still detected.
     */
    private static final int MAX_CLEAN_REPORTS = 30;

    /**
     * Growth per report of the lowest observed p99, which is the baseline until the service was
     * observed without batch workloads.
     */
    private static final double LOWEST_P99_GROWTH = 1.001;

    /**
     * Long, because probes correct the estimate of a pair that has changed. With a half-life of 10
     * minutes instead, an estimate fell below the threshold after 4 minutes, and a whole wave of
     * interfering tasks was admitted again.
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

        /** Relative part of a difference that is attributed to this workload. */
        double attributionWeight(double difference) {
            return difference > 0 ? 1.0 / (1 + cleanReports) : 1;
        }
    }

    /**
     * Records a latency.
     *
     * @param neighbours the batch workloads on the worker
     * @return the ratio of the latency to that without neighbours; 1 without a latency or without
     *     neighbours
     */
    double observe(
            long nowMillis, WorkloadId service, double p99, Collection<WorkloadId> neighbours) {
        Service stats = services.computeIfAbsent(service, key -> new Service());
        if (p99 <= 0) {
            return 1;
        }
        stats.lowestP99 = Math.min(stats.lowestP99 * LOWEST_P99_GROWTH, p99);
        if (neighbours.isEmpty()) {
            stats.p99Alone =
                    stats.p99Alone == 0
                            ? p99
                            : stats.p99Alone + ALONE_WEIGHT * (p99 - stats.p99Alone);
            return 1;
        }
        double ratio = p99 / stats.baseline();
        double predicted = 1;
        for (WorkloadId neighbour : neighbours) {
            predicted += ratio(nowMillis, service, neighbour) - 1;
        }
        double difference = ratio - predicted;
        boolean clean = ratio < CLEAN_RATIO;
        double weightSum = 0;
        for (WorkloadId neighbour : neighbours) {
            Pair pair = stats.pairs.computeIfAbsent(neighbour, key -> new Pair());
            pair.cleanReports =
                    clean ? Math.min(pair.cleanReports + 1, MAX_CLEAN_REPORTS) : pair.cleanReports;
            weightSum += pair.attributionWeight(difference);
        }
        for (WorkloadId neighbour : neighbours) {
            Pair pair = stats.pairs.get(neighbour);
            double step =
                    RATIO_WEIGHT * difference * pair.attributionWeight(difference) / weightSum;
            pair.ratio = Math.max(1, decayedRatio(pair, nowMillis) + step);
            pair.updatedMillis = nowMillis;
        }
        return ratio;
    }

    /** Raises an estimate to at least a ratio, after an eviction for interference. */
    void raiseEstimate(long nowMillis, WorkloadId service, WorkloadId workload, double ratio) {
        Pair pair =
                services.computeIfAbsent(service, key -> new Service())
                        .pairs
                        .computeIfAbsent(workload, key -> new Pair());
        pair.ratio = Math.max(decayedRatio(pair, nowMillis), ratio);
        pair.updatedMillis = nowMillis;
    }

    /** Returns the expected ratio of a pair, 1 without reports. */
    double ratio(long nowMillis, WorkloadId service, WorkloadId workload) {
        Service stats = services.get(service);
        Pair pair = stats == null ? null : stats.pairs.get(workload);
        return pair == null ? 1 : Math.max(1, decayedRatio(pair, nowMillis));
    }

    /**
     * Returns whether there are too few reports to decide if a pair interferes. Always false for a
     * service that has reported no latency.
     */
    boolean isUndecided(WorkloadId service, WorkloadId workload) {
        Service stats = services.get(service);
        if (stats == null || stats.lowestP99 == Double.MAX_VALUE) {
            return false;
        }
        Pair pair = stats.pairs.get(workload);
        return pair == null
                || (pair.cleanReports < CLEARING_REPORTS && pair.ratio <= WorkerGuard.HIGH_RATIO);
    }

    private static double decayedRatio(Pair pair, long nowMillis) {
        double age = Math.max(0, nowMillis - pair.updatedMillis);
        return 1 + (pair.ratio - 1) * Math.pow(0.5, age / HALF_LIFE_MILLIS);
    }
}
