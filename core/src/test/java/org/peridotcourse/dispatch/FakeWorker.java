package org.peridotcourse.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.peridotcourse.Resources;

/**
 * Simulates a worker that follows the rules of the platform: leases on its own clock, fencing by
 * epoch, rejected starts, and ends that are reported until they are acknowledged.
 */
final class FakeWorker {
    private static final long MAX_LEASE_MILLIS = 6_000;

    /** Largest number of ends in one report. */
    private static final int MAX_LISTED_ENDS = 500;

    /** Work done after which one of {@link #failingTasks} fails. */
    private static final long FAILING_TASK_MILLIS = 100;

    final String id;
    final String address;

    /** May shrink and grow again while the worker runs. */
    Resources capacity;

    final Map<Run.Key, Active> active = new LinkedHashMap<>();
    final List<String> startLog = new ArrayList<>();

    /** False for a worker that accepts starts beyond its capacity. */
    boolean guardsCapacity = true;

    /** Factor by which runs are slower than usual. */
    double slowdown = 1;

    /** Work done after which every run fails, 0 for never. */
    long failAfterMillis;

    /** True while runs make no progress. */
    boolean runsStall;

    /** Selects the tasks that always fail. */
    Predicate<TaskRef> failingTasks = task -> false;

    List<String> labels = List.of("a", "r1");
    boolean up = true;
    boolean draining;
    double clockRate = 1;

    /** By task, the attempt number up to which starts are rejected. */
    private final Map<TaskRef, Integer> rejectedUpTo = new HashMap<>();

    private List<WorkerReport.EndedRun> ended = new ArrayList<>();
    private long startedAtWallMillis;
    private long startedAt;
    private long highestEpoch;
    private long leaseEndClockMillis;
    private long lastEndNumber;

    /** An active run. */
    static final class Active {
        final Order.Start order;
        final StepSpec spec;
        final long runMillis;
        double doneMillis;
        int pacePercent = 100;
        double measurement;

        Active(Order.Start order, StepSpec spec, long runMillis) {
            this.order = order;
            this.spec = spec;
            this.runMillis = runMillis;
            this.doneMillis =
                    order.checkpoint().isEmpty() ? 0 : Double.parseDouble(order.checkpoint());
        }

        int percent() {
            return spec.isLasting()
                    ? 100
                    : (int) Math.min(100, 100 * doneMillis / Math.max(1, runMillis));
        }
    }

    FakeWorker(String id, Resources capacity, long now) {
        this(id, id + ":80", capacity, now);
    }

    FakeWorker(String id, String address, Resources capacity, long now) {
        this.id = id;
        this.address = address;
        this.capacity = capacity;
        this.startedAtWallMillis = 1_000_000 + now;
        this.startedAt = now;
    }

    long clock(long now) {
        return Math.round((now - startedAt) * clockRate);
    }

    WorkerInfo info() {
        return new WorkerInfo(
                id,
                "service",
                address,
                "xela",
                labels,
                capacity,
                draining,
                draining ? OptionalLong.of(2_000) : OptionalLong.empty(),
                startedAtWallMillis);
    }

    /** Restarts the worker as a new incarnation, which has no state of the previous one. */
    void restart(long now) {
        up = true;
        startedAtWallMillis = 1_000_000 + now;
        startedAt = now;
        highestEpoch = 0;
        leaseEndClockMillis = 0;
        lastEndNumber = 0;
        active.clear();
        ended = new ArrayList<>();
        rejectedUpTo.clear();
    }

    /** Stops the worker and all of its runs. */
    void crash() {
        up = false;
        active.clear();
    }

    OrderReply start(Order.Start order, StepSpec spec, long runMillis, long now) {
        if (order.epoch() < highestEpoch) {
            return OrderReply.STALE_EPOCH;
        }
        highestEpoch = order.epoch();
        if (order.leaseEndClockMillis() <= clock(now)) {
            return OrderReply.LEASE_PAST;
        }
        extendLease(order.leaseEndClockMillis(), now);
        Run.Key key = new Run.Key(order.task(), order.attempt());
        if (active.containsKey(key)) {
            return OrderReply.ACCEPTED;
        }
        if (order.attempt() <= rejectedUpTo.getOrDefault(order.task(), 0)) {
            return OrderReply.OLD_ATTEMPT;
        }
        boolean fits = reserved().plus(spec.reservedResources()).isWithin(capacity);
        if (guardsCapacity && !fits) {
            return OrderReply.NO_ROOM;
        }
        active.put(key, new Active(order, spec, runMillis));
        startLog.add(order.task() + "#" + order.attempt());
        return OrderReply.ACCEPTED;
    }

    OrderReply stop(Order.Stop order) {
        if (order.epoch() < highestEpoch) {
            return OrderReply.STALE_EPOCH;
        }
        highestEpoch = order.epoch();
        rejectedUpTo.merge(order.task(), order.attempt(), Math::max);
        end(new Run.Key(order.task(), order.attempt()), RunOutcome.STOPPED);
        return OrderReply.ACCEPTED;
    }

    OrderReply pace(Order.Pace order) {
        Active run = active.get(new Run.Key(order.task(), order.attempt()));
        if (run == null) {
            return OrderReply.MALFORMED;
        }
        run.pacePercent = order.percent();
        return OrderReply.ACCEPTED;
    }

    /** Applies the lease and the acknowledgement of a call; false if its epoch is stale. */
    boolean acceptLeaseCall(LeaseCall call, long now) {
        if (call.epoch() < highestEpoch) {
            return false;
        }
        highestEpoch = call.epoch();
        call.leaseEndClockMillis().ifPresent(end -> extendLease(end, now));
        // A connection that was open before the restart does not reach this incarnation.
        long acknowledged = call.incarnationAliveAt() > startedAt ? call.acknowledgedEnd() : 0;
        ended.removeIf(endedRun -> endedRun.number() <= acknowledged);
        return true;
    }

    Optional<WorkerReport> onLeaseCall(LeaseCall call, long now) {
        if (!acceptLeaseCall(call, now)) {
            return Optional.empty();
        }
        List<WorkerReport.ActiveRun> running = new ArrayList<>();
        active.forEach(
                (key, run) ->
                        running.add(
                                new WorkerReport.ActiveRun(
                                        key.task(),
                                        key.attempt(),
                                        run.spec.isCheckpointing() ? "" + run.doneMillis : "",
                                        run.percent(),
                                        run.measurement)));
        List<WorkerReport.EndedRun> listed =
                ended.subList(0, Math.min(ended.size(), MAX_LISTED_ENDS));
        boolean isFull = listed.size() == MAX_LISTED_ENDS;
        return Optional.of(
                new WorkerReport(clock(now), startedAtWallMillis, running, listed, true, isFull));
    }

    private void extendLease(long end, long now) {
        leaseEndClockMillis =
                Math.max(leaseEndClockMillis, Math.min(end, clock(now) + MAX_LEASE_MILLIS));
    }

    Resources reserved() {
        Resources used = Resources.ZERO;
        for (Active run : active.values()) {
            used = used.plus(run.spec.reservedResources());
        }
        return used;
    }

    /** Advances the runs, and ends those that complete, fail or whose lease has expired. */
    void tick(long now, long millis) {
        if (!up) {
            return;
        }
        if (clock(now) > leaseEndClockMillis) {
            new ArrayList<>(active.keySet()).forEach(key -> end(key, RunOutcome.LAPSED));
        }
        Map<Run.Key, RunOutcome> ending = new LinkedHashMap<>(0);
        for (Map.Entry<Run.Key, Active> entry : active.entrySet()) {
            Active run = entry.getValue();
            if (!runsStall) {
                run.doneMillis += millis / slowdown * run.pacePercent / 100;
            }
            boolean fails =
                    run.doneMillis >= FAILING_TASK_MILLIS
                            && failingTasks.test(entry.getKey().task());
            if (fails || failAfterMillis > 0 && run.doneMillis >= failAfterMillis) {
                ending.put(entry.getKey(), RunOutcome.FAILED);
            } else if (!run.spec.isLasting() && run.doneMillis >= run.runMillis) {
                ending.put(entry.getKey(), RunOutcome.DONE);
            }
        }
        ending.forEach(this::end);
    }

    /** Computes the tail response time of a serving task. */
    interface TailRule {
        /**
         * Returns the tail response time in milliseconds.
         *
         * @param fillShares by image of the filling tasks on the same worker, the share of the
         *     processor in use
         */
        double of(TaskRef task, StepSpec serving, Map<String, Double> fillShares, long now);
    }

    /** Updates the measurements that the next report contains. */
    void updateMeasurements(TailRule tail, long now) {
        if (!hasMeasuredRuns()) {
            return;
        }
        Map<String, Double> fillShares = new HashMap<>();
        for (Active run : active.values()) {
            if (run.spec.isFilling() && run.pacePercent > 0) {
                double use = run.spec.resources().milliCores() * run.pacePercent / 100.0;
                run.measurement = use;
                double share = use / capacity.milliCores();
                fillShares.merge(run.spec.image().orElse(""), share, Double::sum);
            } else {
                run.measurement = 0;
            }
        }
        active.forEach(
                (key, run) -> {
                    if (run.spec.latencyTargetMillis() > 0) {
                        run.measurement = tail.of(key.task(), run.spec, fillShares, now);
                    }
                });
    }

    private boolean hasMeasuredRuns() {
        for (Active run : active.values()) {
            if (run.spec.isFilling() || run.spec.latencyTargetMillis() > 0) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a run of a task is active. */
    boolean runs(TaskRef task) {
        for (Run.Key key : active.keySet()) {
            if (key.task().equals(task)) {
                return true;
            }
        }
        return false;
    }

    /** Ends all runs of the step of a task. */
    void endStep(TaskRef task, RunOutcome outcome) {
        for (Run.Key key : new ArrayList<>(active.keySet())) {
            if (key.task().job().equals(task.job()) && key.task().step() == task.step()) {
                end(key, outcome);
            }
        }
    }

    private void end(Run.Key key, RunOutcome outcome) {
        Active run = active.remove(key);
        if (run == null) {
            return;
        }
        rejectedUpTo.merge(key.task(), key.attempt(), Math::max);
        String checkpoint =
                run.spec.isCheckpointing() && outcome != RunOutcome.DONE ? "" + run.doneMillis : "";
        ended.add(
                new WorkerReport.EndedRun(
                        ++lastEndNumber, key.task(), key.attempt(), outcome, checkpoint));
    }

    List<TaskRef> doneTasks() {
        return ended.stream()
                .filter(endedRun -> endedRun.outcome() == RunOutcome.DONE)
                .map(WorkerReport.EndedRun::task)
                .toList();
    }

    boolean hasEnds() {
        return !ended.isEmpty();
    }
}
