package org.peridotcourse.placement;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.peridotcourse.WorkloadId;
import org.peridotcourse.base.Codes;

/**
 * Throttles and evicts batch tasks that slow down services, and evicts tasks when estimates exceed
 * a worker's capacity.
 *
 * <p>Confined to one thread.
 */
final class InterferenceGuards {
    /**
     * Time after a change of a worker's batch tasks during which its reports are not used, in
     * addition to the age of the usage figures. Shorter times attribute the latency to the wrong
     * workload.
     */
    private static final long SETTLE_MILLIS = 2_000;

    private static final int THROTTLED_PERCENT = 50;

    /**
     * Minimum estimate of a pair after an eviction. Half of the reports of a busy worker fall
     * within {@link #SETTLE_MILLIS} after a change, so the average alone stayed below the threshold
     * after a whole wave of interfering tasks.
     */
    private static final double CONFIRMED_RATIO = 1.2;

    private static final long INITIAL_PROBE_INTERVAL_MILLIS = 10_000;
    private static final long MAX_PROBE_INTERVAL_MILLIS = 600_000;

    private final OwnerState state;
    private final CommandBuffer commands;
    private final InterferenceTrials trials;
    private final EvictionBudget evictionBudget = new EvictionBudget();
    private final Map<WorkloadId, Probe> probes = new HashMap<>();

    private static final class Probe {
        long nextAllowedMillis;
        long intervalMillis = INITIAL_PROBE_INTERVAL_MILLIS;
    }

    InterferenceGuards(OwnerState state, CommandBuffer commands) {
        this.state = state;
        this.commands = commands;
        this.trials = new InterferenceTrials(state.interference);
    }

    /**
     * Adjusts the estimate charged for a running task, and marks its worker as overcommitted if the
     * capacity does not cover it.
     */
    void updateEstimate(Task task) {
        if (!isEnabled()) {
            return;
        }
        UsageEstimate estimate = state.estimator(task.job.workload()).estimate(task.job.size());
        if (estimate.equals(task.estimate)) {
            return;
        }
        task.estimate = task.worker.allocation.adjust(task.estimate, estimate);
        if (task.estimate.milliCores() < estimate.milliCores()
                || task.estimate.memoryMib() < estimate.memoryMib()) {
            task.worker.overcommitted = true;
        }
    }

    /**
     * Evicts a task of an overcommitted worker, updates the interference model from a report and
     * applies the resulting step of the guard.
     */
    void handleReport(long nowMillis, Worker worker, WorkerReport report) {
        if (!isEnabled()) {
            return;
        }
        if (worker.overcommitted) {
            worker.overcommitted = false;
            evict(nowMillis, worker, null, "estimates exceed the capacity");
        }
        if (report.services().isEmpty()
                || nowMillis - report.usageAgeMillis() - worker.batchTasksChangedMillis
                        < SETTLE_MILLIS
                || hasEndedTask(report)) {
            return;
        }
        Set<WorkloadId> neighbours = new LinkedHashSet<>();
        for (Task task : worker.tasks) {
            if (!task.job.replicaGroup) {
                neighbours.add(task.job.workload());
            }
        }
        double worstRatio = 1;
        WorkloadId interferingWorkload = null;
        WorkloadId affectedService = null;
        for (WorkerReport.ServiceReport service : report.services()) {
            double ratio =
                    state.interference.observe(
                            nowMillis, service.workload(), service.p99Millis(), neighbours);
            if (ratio > worstRatio) {
                worstRatio = ratio;
                affectedService = service.workload();
                interferingWorkload =
                        interferingWorkload(nowMillis, service.workload(), neighbours);
            }
        }
        if (worker.guard.observe(neighbours.isEmpty() ? 1 : worstRatio)) {
            applyStep(nowMillis, worker, affectedService, interferingWorkload);
        }
    }

    /**
     * Returns whether a report lists an ended attempt that is still charged to the worker. Its
     * workload no longer affects the latency, so the report would lower the estimate without
     * evidence: after one wave of interfering tasks the estimate of the pair fell from 1.30 to
     * 1.07, and a later wave was admitted again.
     */
    private static boolean hasEndedTask(WorkerReport report) {
        for (WorkerReport.TaskReport each : report.tasks()) {
            if (each.state() != WorkerReport.AttemptState.RUNNING) {
                return true;
            }
        }
        return false;
    }

    private boolean isEnabled() {
        return state.policy.isGuarded() && state.settings.guardsEnabled();
    }

    private WorkloadId interferingWorkload(
            long nowMillis, WorkloadId service, Set<WorkloadId> neighbours) {
        WorkloadId result = null;
        double highest = 0;
        for (WorkloadId neighbour : neighbours) {
            double ratio = state.interference.ratio(nowMillis, service, neighbour);
            if (ratio > highest) {
                highest = ratio;
                result = neighbour;
            }
        }
        return result;
    }

    private void applyStep(
            long nowMillis,
            Worker worker,
            WorkloadId affectedService,
            WorkloadId interferingWorkload) {
        WorkerGuard.Step step = worker.guard.step();
        worker.guard.setInterferingWorkload(interferingWorkload);
        state.recordDecision(
                worker.id.value(),
                "guard-" + Codes.of(step),
                worker,
                interferingWorkload == null
                        ? "latency is normal"
                        : "interfering workload " + interferingWorkload);
        for (Task task : worker.tasks) {
            boolean throttled =
                    step.ordinal() >= WorkerGuard.Step.THROTTLE.ordinal()
                            && task.job.workload().equals(interferingWorkload);
            boolean lifted = step.ordinal() < WorkerGuard.Step.THROTTLE.ordinal();
            if (throttled && task.throttlePercent == 100) {
                commands.throttle(task, THROTTLED_PERCENT);
            } else if (lifted && task.throttlePercent < 100) {
                commands.throttle(task, 100);
            }
        }
        if (step == WorkerGuard.Step.EVICT) {
            if (affectedService != null && interferingWorkload != null) {
                state.interference.raiseEstimate(
                        nowMillis, affectedService, interferingWorkload, CONFIRMED_RATIO);
            }
            evict(nowMillis, worker, interferingWorkload, "interference");
        }
    }

    private void evict(
            long nowMillis, Worker worker, WorkloadId interferingWorkload, String reason) {
        Task leastUnsaved = null;
        for (Task task : worker.tasks) {
            boolean candidate =
                    !task.job.replicaGroup
                            && !task.rowChangePending
                            && task.state == TaskState.RUNNING
                            && task.controlRequest == 0
                            && (interferingWorkload == null
                                    || task.job.workload().equals(interferingWorkload));
            if (candidate
                    && (leastUnsaved == null
                            || task.unsavedProgress() < leastUnsaved.unsavedProgress())) {
                leastUnsaved = task;
            }
        }
        if (leastUnsaved == null) {
            return;
        }
        int limit =
                state.rule(leastUnsaved.job.workload())
                        .map(PlacementConfig.WorkloadRule::maxEvictionsPerMinute)
                        .orElse(0);
        if (!evictionBudget.tryAcquire(nowMillis, leastUnsaved.job.workload(), limit)) {
            return;
        }
        state.evictions++;
        leastUnsaved.state = TaskChart.next(leastUnsaved.state, TaskEvent.CHECKPOINT_REQUESTED);
        commands.checkpoint(leastUnsaved);
        state.recordDecision(leastUnsaved.id().value(), "evicted", worker, reason);
    }

    /**
     * Returns the expected relative slow-down of the services on a worker by a batch workload,
     * summed over the services; 0 for none.
     */
    double expectedSlowdown(long nowMillis, Worker worker, WorkloadId batch) {
        double sum = 0;
        for (WorkloadId service : worker.services) {
            sum += state.interference.ratio(nowMillis, service, batch) - 1;
        }
        return sum;
    }

    /**
     * Returns whether a workload that is expected to interfere may be probed on a worker. The
     * worker must run no batch task: the slow-down is divided among several workloads, and only a
     * report about one of them alone can lower its estimate.
     */
    boolean mayProbe(long nowMillis, Worker worker, WorkloadId workload) {
        if (worker.guard.step() != WorkerGuard.Step.NONE
                || worker.tasks.size() > worker.services.size()) {
            return false;
        }
        Probe probe = probes.get(workload);
        return probe == null || nowMillis >= probe.nextAllowedMillis;
    }

    /**
     * Returns whether a workload may start beside the services of a worker. Urgent jobs do not wait
     * for a trial.
     */
    boolean mayCoLocate(long nowMillis, Worker worker, Job job) {
        return worker.services.isEmpty()
                || !isEnabled()
                || job.row.spec().urgent()
                || trials.allows(nowMillis, worker, job.workload());
    }

    /**
     * Records a placement. Each probe doubles the time until the next probe of its workload. A
     * placement beside services that is not a probe resets that time.
     */
    void recordPlacement(long nowMillis, Worker worker, WorkloadId workload, boolean probed) {
        if (isEnabled()) {
            trials.recordStart(nowMillis, worker, workload);
        }
        if (probed) {
            Probe probe = probes.computeIfAbsent(workload, key -> new Probe());
            probe.nextAllowedMillis = nowMillis + probe.intervalMillis;
            probe.intervalMillis = Math.min(2 * probe.intervalMillis, MAX_PROBE_INTERVAL_MILLIS);
            state.recordDecision(
                    workload.value(),
                    "interference-probed",
                    worker,
                    "checks the interference estimate");
        } else if (!worker.services.isEmpty()) {
            probes.remove(workload);
        }
    }

    /** Returns whether a worker may receive more tasks of a batch workload. */
    boolean allowsGrowth(Worker worker, WorkloadId workload) {
        return !isEnabled() || (!worker.overcommitted && worker.guard.allowsGrowth(workload));
    }
}
