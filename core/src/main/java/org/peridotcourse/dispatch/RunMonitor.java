package org.peridotcourse.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Detects runs that make no progress, are much slower than they would be elsewhere, or are on a
 * draining worker, and moves them to other workers. Starts copies of speculative tasks. Confined to
 * one thread.
 */
final class RunMonitor {
    /**
     * A run without progress for this long is stalled. At least two reports arrive in this time.
     */
    static final long STALL_MILLIS = 1_700;

    /**
     * A lasting task that has not reached 100 percent and makes no progress for this long is
     * stalled.
     */
    static final long LASTING_STALL_MILLIS = 3_500;

    private static final int FULL_PERCENT = 100;

    /** A lasting task that has been operational for this long counts as a successful probe. */
    private static final long LASTING_PROBE_MILLIS = 2_000;

    /** A worker with this many stalled runs is quarantined. */
    private static final int STALLED_RUNS_TO_QUARANTINE = 2;

    /** A run is moved if staying takes this many times as long as moving. */
    private static final double MIN_MOVE_GAIN = 1.6;

    /** Time that a move takes: the stop, the start and the resumption. */
    private static final long MOVE_COST_MILLIS = 700;

    /**
     * A copy of a speculative task starts when a run is older than this multiple of the predicted
     * duration, plus {@link #COPY_DELAY_MILLIS}.
     */
    private static final double COPY_AFTER_FACTOR = 1.7;

    /** Delay that is added to this multiple, for short tasks. */
    private static final long COPY_DELAY_MILLIS = 300;

    /** Runs on a draining worker are stopped this long before it leaves. */
    private static final long DRAIN_MARGIN_MILLIS = 400;

    private final OwnerState state;
    private final RunLifecycle runs;
    private final WorkerSelector selector;
    private final Planner planner;

    RunMonitor(OwnerState state, RunLifecycle runs, WorkerSelector selector, Planner planner) {
        this.state = state;
        this.runs = runs;
        this.selector = selector;
        this.planner = planner;
    }

    /** Checks the runs of all workers. */
    void check(long now) {
        for (Worker worker : state.workers.values()) {
            if (!worker.reachable) {
                copySpeculative(worker, now);
                continue;
            }
            if (worker.info.draining()) {
                stopBeforeWorkerLeaves(worker, now);
            }
            checkLastingProbe(worker, now);
            moveStalled(worker, now);
            moveSlow(worker, now);
        }
    }

    private void copySpeculative(Worker worker, long now) {
        for (Run run : new ArrayList<>(worker.runs.values())) {
            planner.startSpeculativeCopy(run, now, "copy-of-lost");
        }
    }

    private void stopBeforeWorkerLeaves(Worker worker, long now) {
        if (worker.info.drainRemainingMillis().isEmpty()) {
            return;
        }
        long remainingMillis = worker.info.drainRemainingMillis().getAsLong() - DRAIN_MARGIN_MILLIS;
        for (Run run : new ArrayList<>(worker.runs.values())) {
            boolean endsInTime =
                    !run.spec().isLasting() && run.remainingMillis(now) <= remainingMillis;
            if (run.confirmed && !run.isStopping() && !endsInTime) {
                runs.stop(run, StopReason.WORKER_LEAVES, now);
            }
        }
    }

    /**
     * A lasting task does not end, so a probe with one succeeds once it has been operational for
     * some time.
     */
    private static void checkLastingProbe(Worker worker, long now) {
        if (!worker.health.isOnProbation()) {
            return;
        }
        for (Run run : worker.runs.values()) {
            boolean operational = run.spec().isLasting() && run.percent >= FULL_PERCENT;
            boolean longEnough = run.confirmed && now - run.confirmedAt >= LASTING_PROBE_MILLIS;
            if (operational && longEnough && worker.health.isProbe(run.orderedAt)) {
                worker.health.onSuccess();
                return;
            }
        }
    }

    private void moveStalled(Worker worker, long now) {
        List<Run> stalled = new ArrayList<>();
        for (Run run : worker.runs.values()) {
            if (isStalled(run)) {
                stalled.add(run);
            }
        }
        if (stalled.isEmpty()) {
            return;
        }
        if (stalled.size() >= STALLED_RUNS_TO_QUARANTINE || stalled.size() == worker.runs.size()) {
            if (!worker.health.isQuarantined(now)) {
                worker.health.onStalledRuns(now);
                runs.logQuarantine(worker, "stalled-runs=" + stalled.size());
            }
            stalled.forEach(run -> runs.stop(run, StopReason.STALLED, now));
        }
    }

    private static boolean isStalled(Run run) {
        if (!run.confirmed || run.isStopping() || run.worker.lastReportAt <= run.progressedAt) {
            return false;
        }
        long millisWithoutProgress = run.worker.lastReportAt - run.progressedAt;
        if (run.spec().isLasting()) {
            return run.percent < FULL_PERCENT && millisWithoutProgress >= LASTING_STALL_MILLIS;
        }
        return !run.spec().isFilling()
                && !run.spec().isGang()
                && millisWithoutProgress >= STALL_MILLIS;
    }

    private void moveSlow(Worker worker, long now) {
        boolean slow = selector.isSlow(worker);
        for (Run run : new ArrayList<>(worker.runs.values())) {
            if (run.isStopping() || run.spec().isLasting() || run.spec().isGang()) {
                continue;
            }
            OptionalLong predictedMillis = state.durationPredictor.predictMillis(run.task.step);
            if (predictedMillis.isEmpty()) {
                continue;
            }
            long age = now - run.orderedAt;
            if (age > COPY_AFTER_FACTOR * predictedMillis.getAsLong() + COPY_DELAY_MILLIS) {
                planner.startSpeculativeCopy(run, now, "copy-of-slow");
            }
            if (slow
                    && isWorthMoving(run, predictedMillis.getAsLong(), now)
                    && hasOtherWorker(run, now)) {
                runs.stop(run, StopReason.SLOW, now);
            }
        }
    }

    /**
     * Returns whether another worker can run the task; if not, it would start on this one again.
     */
    private boolean hasOtherWorker(Run run, long now) {
        return state.limits.allowsMove(run) && selector.chooseWorker(run.task, now).isPresent();
    }

    private static boolean isWorthMoving(Run run, long predictedMillis, long now) {
        double remainingShare = run.spec().isCheckpointing() ? (100 - run.percent) / 100.0 : 1;
        double movedMillis = remainingShare * predictedMillis + MOVE_COST_MILLIS;
        return run.remainingMillis(now) > MIN_MOVE_GAIN * movedMillis;
    }
}
