package org.peridotcourse.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Finds runs that stand still, are much slower than they could be elsewhere, or are on a worker
 * that leaves, and moves them. Confined to one thread.
 */
final class RunWatch {
    /** A run at this age without progress stands still; reports come twice in this time. */
    static final long STALL_MILLIS = 1_700;

    /** A lasting task that is not at work this long after its start stands still. */
    static final long LASTING_STALL_MILLIS = 3_500;

    private static final int FULL_PERCENT = 100;

    /** A lasting task that has been at work for this long shows that its worker is sound. */
    private static final long PROBE_MILLIS = 2_000;

    /** A worker with this many runs standing still is blamed. */
    private static final int STALLED_RUNS = 2;

    /** A move must save this factor over staying. */
    private static final double WORTH_MOVING = 1.6;

    /** Time that a stop, a start and a resumption take. */
    private static final long MOVE_MILLIS = 700;

    /** A speculative task gets a copy at this multiple of its usual duration. */
    private static final double COPY_AFTER = 1.7;

    private static final long COPY_AFTER_MILLIS = 300;

    /** A draining worker is left this long before its time is up. */
    private static final long LEAVE_MARGIN_MILLIS = 400;

    private final OwnerState state;
    private final RunBook runs;
    private final WorkerChoice choice;
    private final Planner planner;

    RunWatch(OwnerState state, RunBook runs, WorkerChoice choice, Planner planner) {
        this.state = state;
        this.runs = runs;
        this.choice = choice;
        this.planner = planner;
    }

    void look(long now) {
        for (Worker worker : state.workers.values()) {
            if (!worker.reachable) {
                copySpeculative(worker, now);
                continue;
            }
            if (worker.info.draining()) {
                leave(worker, now);
            }
            noteLastingProbe(worker, now);
            moveStalled(worker, now);
            moveSlow(worker, now);
        }
    }

    private void copySpeculative(Worker worker, long now) {
        for (Run run : new ArrayList<>(worker.runs.values())) {
            planner.startCopy(run, now, "copy-of-lost");
        }
    }

    private void leave(Worker worker, long now) {
        if (worker.info.drainMillis().isEmpty()) {
            return;
        }
        long left = worker.info.drainMillis().getAsLong() - LEAVE_MARGIN_MILLIS;
        for (Run run : new ArrayList<>(worker.runs.values())) {
            boolean ends = !run.spec().isLasting() && run.remainingMillis(now) <= left;
            if (run.confirmed && !run.isStopping() && !ends) {
                runs.stop(run, StopReason.WORKER_LEAVES, now);
            }
        }
    }

    /** A lasting task does not end, so a probe by one has succeeded once it is at work. */
    private static void noteLastingProbe(Worker worker, long now) {
        if (!worker.health.isOnProbation()) {
            return;
        }
        for (Run run : worker.runs.values()) {
            boolean atWork = run.spec().isLasting() && run.percent >= FULL_PERCENT;
            boolean longEnough = run.confirmed && now - run.confirmedAt >= PROBE_MILLIS;
            if (atWork && longEnough && worker.health.isProbe(run.orderedAt)) {
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
        if (stalled.size() >= STALLED_RUNS || stalled.size() == worker.runs.size()) {
            if (!worker.health.isQuarantined(now)) {
                worker.health.onStall(now);
                runs.quarantined(worker, "stalled-runs=" + stalled.size());
            }
            stalled.forEach(run -> runs.stop(run, StopReason.STALLED, now));
        }
    }

    private static boolean isStalled(Run run) {
        if (!run.confirmed || run.isStopping() || run.worker.lastReportAt <= run.percentAt) {
            return false;
        }
        long still = run.worker.lastReportAt - run.percentAt;
        if (run.spec().isLasting()) {
            return run.percent < FULL_PERCENT && still >= LASTING_STALL_MILLIS;
        }
        return !run.spec().isFilling() && !run.spec().isGang() && still >= STALL_MILLIS;
    }

    private void moveSlow(Worker worker, long now) {
        boolean slow = choice.isSlow(worker);
        for (Run run : new ArrayList<>(worker.runs.values())) {
            if (run.isStopping() || run.spec().isLasting() || run.spec().isGang()) {
                continue;
            }
            OptionalLong usual = state.durations.of(run.task.step);
            if (usual.isEmpty()) {
                continue;
            }
            long age = now - run.orderedAt;
            if (age > COPY_AFTER * usual.getAsLong() + COPY_AFTER_MILLIS) {
                planner.startCopy(run, now, "copy-of-slow");
            }
            if (slow && isWorthMoving(run, usual.getAsLong(), now) && hasPlace(run, now)) {
                runs.stop(run, StopReason.SLOW, now);
            }
        }
    }

    /** Tells whether another worker can take the task; otherwise it would start here again. */
    private boolean hasPlace(Run run, long now) {
        return state.limits.mayMove(run) && choice.choose(run.task, now).isPresent();
    }

    private static boolean isWorthMoving(Run run, long usual, long now) {
        double left = run.spec().isCheckpointing() ? (100 - run.percent) / 100.0 : 1;
        double elsewhere = left * usual + MOVE_MILLIS;
        return run.remainingMillis(now) > WORTH_MOVING * elsewhere;
    }
}
