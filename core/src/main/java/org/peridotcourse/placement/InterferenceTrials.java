package org.peridotcourse.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.peridotcourse.WorkloadId;

/**
 * Limits a batch workload to one task beside a service with which it has not run before.
 *
 * <p>The trial ends when reports have shown whether the pair interferes, or after {@link
 * #MAX_TRIAL_MILLIS}. Only one workload at a time is on trial on a worker, so that its reports can
 * be attributed. Confined to one thread.
 */
final class InterferenceTrials {
    /**
     * Maximum duration of a trial. A decision takes two reports, the first of them after the
     * settling time of {@link InterferenceGuards}; a service or workload without reports must not
     * delay batch work for longer.
     */
    private static final long MAX_TRIAL_MILLIS = 10_000;

    private final InterferenceModel model;

    /** Trials per service and batch workload, running or expired. */
    private final Map<WorkloadId, Map<WorkloadId, Trial>> trials = new HashMap<>();

    /** The workload whose trial started last on each worker. */
    private final Map<Worker, WorkloadId> latestByWorker = new HashMap<>();

    private record Trial(Worker worker, long startedMillis) {
        boolean isRunning(long nowMillis) {
            return nowMillis - startedMillis < MAX_TRIAL_MILLIS;
        }
    }

    InterferenceTrials(InterferenceModel model) {
        this.model = model;
    }

    /** Returns whether a batch workload may start on a worker now. */
    boolean allows(long nowMillis, Worker worker, WorkloadId batch) {
        List<WorkloadId> services = worker.services;
        for (int i = 0; i < services.size(); i++) {
            Trial trial = undecidedTrial(services.get(i), batch);
            if (trial != null && trial.isRunning(nowMillis)) {
                return false;
            }
        }
        WorkloadId other = latestByWorker.get(worker);
        if (other == null || other.equals(batch)) {
            return true;
        }
        if (isRunning(nowMillis, worker, other)) {
            return false;
        }
        latestByWorker.remove(worker);
        return true;
    }

    /** Records a start, which begins a trial with each service for which the pair is undecided. */
    void recordStart(long nowMillis, Worker worker, WorkloadId batch) {
        for (WorkloadId service : worker.services) {
            if (model.isUndecided(service, batch)
                    && trials.computeIfAbsent(service, key -> new HashMap<>())
                                    .putIfAbsent(batch, new Trial(worker, nowMillis))
                            == null) {
                latestByWorker.put(worker, batch);
            }
        }
    }

    private boolean isRunning(long nowMillis, Worker worker, WorkloadId batch) {
        for (WorkloadId service : worker.services) {
            Trial trial = undecidedTrial(service, batch);
            if (trial != null && trial.worker == worker && trial.isRunning(nowMillis)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the trial of an undecided pair, null if it has none. */
    private Trial undecidedTrial(WorkloadId service, WorkloadId batch) {
        Map<WorkloadId, Trial> ofService = trials.get(service);
        Trial trial = ofService == null ? null : ofService.get(batch);
        return trial != null && model.isUndecided(service, batch) ? trial : null;
    }
}
