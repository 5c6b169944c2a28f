package org.peridotcourse.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Judges a {@link DispatchSimulation} by what callers and workers see, from before the first
 * traffic on. Violations are collected under the names that the users give to their rules.
 *
 * <p>A time bound begins anew with the end of an impairment: a silent or restarted worker, orders
 * that are unanswered or carried out late, the death of an owner, and the takeover after it.
 */
final class CallerRulesJudge {
    /** Time after a cancellation from which no task of the job may start. */
    private static final long CANCEL_MILLIS = 3_000;

    /** Time after a cancellation from which no task of the job may run. */
    private static final long STOP_MILLIS = 3_200;

    /** Time for which a serving task may exceed its target because of filling tasks. */
    private static final long HARM_MILLIS = 4_000;

    private static final long WAIT_CHECK_INTERVAL_MILLIS = 200;

    private final DispatchSimulation simulation;
    private final WaitCheck waits;
    private final Map<String, Long> cancelledAt = new HashMap<>();

    /** By run, since when its time counts if the worker carried out its start late. */
    private final Map<Run.Key, Long> lateStarts = new HashMap<>();

    private final Map<TaskRef, Long> harmedSince = new HashMap<>();
    private final Set<Object> judged = new HashSet<>();
    private final List<String> violations = new ArrayList<>();
    private long waitsCheckedAt;
    private boolean waitsCount = true;
    private long impairedUntil = Long.MIN_VALUE / 2;

    CallerRulesJudge(DispatchSimulation simulation) {
        this.simulation = simulation;
        this.waits = new WaitCheck(simulation);
        simulation.startListener = this::onStart;
    }

    List<String> violations() {
        return violations;
    }

    /** Stops judging how long work waits for its start. */
    void ignoreWaits() {
        waitsCount = false;
    }

    /** Records that a cancellation was acknowledged to the caller now. */
    void onCancel(String job) {
        cancelledAt.putIfAbsent(job, simulation.now);
    }

    /** Records that an impairment is present now. */
    void onImpairment() {
        impairedUntil = simulation.now;
        waits.onFault();
    }

    /** Checks the rules with a time bound. */
    void check() {
        if (!simulation.unreachableWorkers.isEmpty()
                || simulation.lateOrderShare > 0
                || simulation.unansweredOrderShare > 0
                || !simulation.isAlive(simulation.owner, simulation.now)) {
            onImpairment();
        }
        checkCancelledRuns();
        if (waitsCount && simulation.now >= waitsCheckedAt + WAIT_CHECK_INTERVAL_MILLIS) {
            waitsCheckedAt = simulation.now;
            waits.check().ifPresent(violation -> add("LOST", "LOST", violation));
        }
    }

    /**
     * Records the response times of a serving task.
     *
     * @param over true if they exceed the target because of the filling tasks beside it
     */
    void onServing(TaskRef task, boolean over) {
        if (!over) {
            harmedSince.remove(task);
            return;
        }
        long since = harmedSince.computeIfAbsent(task, key -> simulation.now);
        if (simulation.now - Math.max(since, impairedUntil) >= HARM_MILLIS) {
            add("HARM", task, task + " over its target since " + since);
        }
    }

    /** Records a rule that the simulation itself has found broken. */
    void onInvariantBroken(AssertionError error) {
        add("TWICE", error, error.getMessage());
    }

    private void onStart(FakeWorker worker, Order.Start order, boolean late) {
        if (late) {
            long countsFrom = simulation.now + CANCEL_MILLIS;
            lateStarts.put(new Run.Key(order.task(), order.attempt()), countsFrom);
            return;
        }
        Long cancelled = cancelledAt.get(order.task().job());
        if (cancelled != null && simulation.now - cancelled > CANCEL_MILLIS) {
            add(
                    "UNASKED",
                    order,
                    order.task() + " started on " + worker.id + ", cancelled at " + cancelled);
        }
    }

    private void checkCancelledRuns() {
        if (cancelledAt.isEmpty()) {
            return;
        }
        for (FakeWorker worker : simulation.workers.values()) {
            for (Run.Key key : worker.active.keySet()) {
                Long cancelled = cancelledAt.get(key.task().job());
                if (cancelled == null) {
                    continue;
                }
                long countsFrom =
                        Math.max(
                                Math.max(cancelled, impairedUntil),
                                lateStarts.getOrDefault(key, Long.MIN_VALUE));
                if (simulation.now - countsFrom > STOP_MILLIS) {
                    add(
                            "UNASKED",
                            key,
                            key.task()
                                    + "#"
                                    + key.attempt()
                                    + " runs on "
                                    + worker.id
                                    + ", cancelled at "
                                    + cancelled);
                }
            }
        }
    }

    private void add(String rule, Object subject, String violation) {
        if (judged.add(subject)) {
            violations.add(rule + " at " + simulation.now + ": " + violation);
        }
    }
}
