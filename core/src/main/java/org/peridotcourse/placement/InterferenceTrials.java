package org.peridotcourse.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.peridotcourse.WorkloadId;

/**
 * Lets a batch workload that a service has not met run beside it as one task at first.
 *
 * <p>The trial ends when reports have cleared the pair or shown interference, or after {@link
 * #MAX_TRIAL_MILLIS}. Only one workload at a time is on trial on a worker, so that the reports are
 * about it. Confined to one thread.
 */
final class InterferenceTrials {
    /**
     * Longest trial. A verdict takes two reports, the first of them after the neighbours have
     * settled; a service or workload without reports must not hold batch work back for longer.
     */
    private static final long MAX_TRIAL_MILLIS = 10_000;

    private final InterferenceModel model;

    /** The trials per service and batch workload, open or ended by time. */
    private final Map<WorkloadId, Map<WorkloadId, Trial>> trials = new HashMap<>();

    /** The workload that began a trial last on each worker. */
    private final Map<Worker, WorkloadId> latestByWorker = new HashMap<>();

    private record Trial(Worker worker, long startedMillis) {
        boolean isOpen(long nowMillis) {
            return nowMillis - startedMillis < MAX_TRIAL_MILLIS;
        }
    }

    InterferenceTrials(InterferenceModel model) {
        this.model = model;
    }

    /** Tells whether a batch workload may start on a worker now. */
    boolean allows(long nowMillis, Worker worker, WorkloadId batch) {
        List<WorkloadId> services = worker.services;
        for (int i = 0; i < services.size(); i++) {
            Trial trial = undecidedTrial(services.get(i), batch);
            if (trial != null && trial.isOpen(nowMillis)) {
                return false;
            }
        }
        WorkloadId other = latestByWorker.get(worker);
        if (other == null || other.equals(batch)) {
            return true;
        }
        if (isOpen(nowMillis, worker, other)) {
            return false;
        }
        latestByWorker.remove(worker);
        return true;
    }

    /** Records a start, which begins a trial with each service that has not met the workload. */
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

    private boolean isOpen(long nowMillis, Worker worker, WorkloadId batch) {
        for (WorkloadId service : worker.services) {
            Trial trial = undecidedTrial(service, batch);
            if (trial != null && trial.worker == worker && trial.isOpen(nowMillis)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the trial of a pair without a verdict, null if it has none. */
    private Trial undecidedTrial(WorkloadId service, WorkloadId batch) {
        Map<WorkloadId, Trial> ofService = trials.get(service);
        Trial trial = ofService == null ? null : ofService.get(batch);
        return trial != null && model.isUndecided(service, batch) ? trial : null;
    }
}
