package org.peridotcourse.placement;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.peridotcourse.WorkloadId;
import org.peridotcourse.base.Codes;

/**
 * Reacts to interference and to estimates that exceed a worker's capacity.
 *
 * <p>Confined to one thread.
 */
final class InterferenceGuards {
    /**
     * Time after a change of the neighbours before a report counts, in addition to the age of its
     * figures; shorter windows attribute the latency to the wrong neighbour.
     */
    private static final long SETTLE_MILLIS = 2_000;

    private static final int THROTTLED_PERCENT = 50;

    /**
     * Least estimate after an eviction. Half of the reports of a busy worker fall into the time
     * after a change, so the average alone stayed below the threshold after a whole wave.
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

    InterferenceGuards(OwnerState book, CommandBuffer outbox) {
        this.state = book;
        this.commands = outbox;
        this.trials = new InterferenceTrials(book.interference);
    }

    /** Follows a changed estimate of a running task; evicts if the worker cannot hold it. */
    void updateEstimate(Task task) {
        if (!isEnabled()) {
            return;
        }
        UsageEstimate wanted = state.estimator(task.job.workload()).estimate(task.job.size());
        if (wanted.equals(task.estimate)) {
            return;
        }
        task.estimate = task.worker.allocation.adjust(task.estimate, wanted);
        if (task.estimate.milliCores() < wanted.milliCores()
                || task.estimate.memoryMib() < wanted.memoryMib()) {
            task.worker.overcommitted = true;
        }
    }

    /** Learns from a report and carries out the step that it leads to. */
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
        double worst = 1;
        WorkloadId culprit = null;
        WorkloadId harmed = null;
        for (WorkerReport.ServiceReport service : report.services()) {
            double ratio =
                    state.interference.observe(
                            nowMillis, service.workload(), service.p99Millis(), neighbours);
            if (ratio > worst) {
                worst = ratio;
                harmed = service.workload();
                culprit = interferingWorkload(nowMillis, service.workload(), neighbours);
            }
        }
        if (worker.guard.observe(neighbours.isEmpty() ? 1 : worst)) {
            applyStep(nowMillis, worker, harmed, culprit);
        }
    }

    /**
     * Tells whether an attempt has ended and is still in the ledger. Its workload would be cleared
     * by a latency that it no longer affects: after one wave of noisy tasks the estimate of the
     * pair fell from 1.30 to 1.07, and a later wave was let in again.
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
        WorkloadId found = null;
        double highest = 0;
        for (WorkloadId neighbour : neighbours) {
            double ratio = state.interference.ratio(nowMillis, service, neighbour);
            if (ratio > highest) {
                highest = ratio;
                found = neighbour;
            }
        }
        return found;
    }

    private void applyStep(long nowMillis, Worker worker, WorkloadId harmed, WorkloadId culprit) {
        WorkerGuard.Step step = worker.guard.step();
        worker.guard.setInterferingWorkload(culprit);
        state.recordDecision(
                worker.id.value(),
                "guard-" + Codes.of(step),
                worker,
                culprit == null ? "latency is normal" : "culprit " + culprit);
        for (Task task : worker.tasks) {
            boolean throttled =
                    step.ordinal() >= WorkerGuard.Step.THROTTLE.ordinal()
                            && task.job.workload().equals(culprit);
            boolean lifted = step.ordinal() < WorkerGuard.Step.THROTTLE.ordinal();
            if (throttled && task.throttlePercent == 100) {
                commands.throttle(task, THROTTLED_PERCENT);
            } else if (lifted && task.throttlePercent < 100) {
                commands.throttle(task, 100);
            }
        }
        if (step == WorkerGuard.Step.EVICT) {
            if (harmed != null && culprit != null) {
                state.interference.raiseEstimate(nowMillis, harmed, culprit, CONFIRMED_RATIO);
            }
            evict(nowMillis, worker, culprit, "interference");
        }
    }

    private void evict(long nowMillis, Worker worker, WorkloadId culprit, String reason) {
        Task least = null;
        for (Task task : worker.tasks) {
            boolean candidate =
                    !task.job.replicaGroup
                            && !task.rowChangePending
                            && task.state == TaskState.RUNNING
                            && task.controlRequest == 0
                            && (culprit == null || task.job.workload().equals(culprit));
            if (candidate && (least == null || task.unsavedProgress() < least.unsavedProgress())) {
                least = task;
            }
        }
        if (least == null) {
            return;
        }
        int limit =
                state.rule(least.job.workload())
                        .map(PlacementConfig.WorkloadRule::maxEvictionsPerMinute)
                        .orElse(0);
        if (!evictionBudget.tryAcquire(nowMillis, least.job.workload(), limit)) {
            return;
        }
        state.evictions++;
        least.state = TaskChart.next(least.state, TaskEvent.CHECKPOINT_REQUESTED);
        commands.checkpoint(least);
        state.recordDecision(least.id().value(), "evicted", worker, reason);
    }

    /** Returns the expected slow-down of the services on a worker by a batch workload. */
    double expectedSlowdown(long nowMillis, Worker worker, WorkloadId batch) {
        double sum = 0;
        for (WorkloadId service : worker.services) {
            sum += state.interference.ratio(nowMillis, service, batch) - 1;
        }
        return sum;
    }

    /**
     * Tells whether a workload that is expected to interfere may be tried on a worker. Several
     * workloads on one worker share the blame, and only a report about one of them alone can clear
     * it.
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
     * Tells whether a workload may start beside the services of a worker. Urgent work does not wait
     * for a trial.
     */
    boolean mayCoLocate(long nowMillis, Worker worker, Job job) {
        return worker.services.isEmpty()
                || !isEnabled()
                || job.row.spec().urgent()
                || trials.allows(nowMillis, worker, job.workload());
    }

    /** Records a placement; a probe makes the next one of its workload wait twice as long. */
    void recordPlacement(long nowMillis, Worker worker, WorkloadId workload, boolean probed) {
        if (isEnabled()) {
            trials.recordStart(nowMillis, worker, workload);
        }
        if (probed) {
            Probe probe = probes.computeIfAbsent(workload, key -> new Probe());
            probe.nextAllowedMillis = nowMillis + probe.intervalMillis;
            probe.intervalMillis = Math.min(2 * probe.intervalMillis, MAX_PROBE_INTERVAL_MILLIS);
            state.recordDecision(
                    workload.value(), "interference-probed", worker, "to clear or confirm");
        } else if (!worker.services.isEmpty()) {
            probes.remove(workload);
        }
    }

    /** Tells whether a worker takes more tasks of a batch workload. */
    boolean allowsGrowth(Worker worker, WorkloadId workload) {
        return !isEnabled() || (!worker.overcommitted && worker.guard.allowsGrowth(workload));
    }
}
