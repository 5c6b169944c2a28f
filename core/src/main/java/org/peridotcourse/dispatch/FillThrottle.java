package org.peridotcourse.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Throttles filling tasks so that the tail latencies of the serving tasks on the same worker stay
 * below their targets, and moves filling tasks that could run faster on another worker. The pace of
 * a filling task is the percentage of its full speed at which the worker lets it run. Confined to
 * one thread.
 */
final class FillThrottle {
    /** The pace of a task that is not throttled, in percent. */
    static final int FULL_PACE_PERCENT = 100;

    /**
     * Fraction of its latency target from which a serving task counts as over the target. It is
     * below 1 because reported latencies are rounded.
     */
    private static final double OVER_TARGET_SHARE = 0.95;

    /**
     * Time for which a serving task may be over its target before the harmful filling tasks on the
     * worker are paused.
     */
    private static final long PAUSE_HARMFUL_AFTER_MILLIS = 500;

    /**
     * Time for which a serving task may be over its target before all filling tasks on the worker
     * are paused.
     */
    private static final long PAUSE_ALL_AFTER_MILLIS = 1_200;

    /** Latencies are measured over half a second, so that more frequent samples would overlap. */
    private static final long SAMPLE_INTERVAL_MILLIS = 500;

    /** Time after which reports show the effect of a change of the pace. */
    private static final long SETTLE_MILLIS = 700;

    /** Fraction of the requested processor from which a filling task runs at full pace. */
    private static final double FULL_USE_SHARE = 0.95;

    /**
     * Use of the processor above the pace, in percentage points of the request, that shows another
     * pace than the ordered one. Reported uses are rough.
     */
    private static final int EXCESS_PERCENT = 25;

    /**
     * Smoothed fraction of a worker's processor below which the use by an image is no longer
     * tracked.
     */
    private static final double NEGLIGIBLE_USE = 0.001;

    /**
     * Smallest change of the pace that is ordered, in percentage points, except to 0 or full pace.
     */
    private static final int MIN_PACE_CHANGE = 15;

    /** Ordered paces are rounded down to multiples of this. */
    private static final int PACE_STEP = 10;

    /** Pace below which a filling task is moved to another worker if possible. */
    private static final int MOVE_BELOW_PACE = 50;

    /** Time at a low pace after which a filling task is moved even if its work is lost. */
    private static final long MOVE_SLOW_AFTER_MILLIS = 1_000;

    /** Progress below which a task without checkpoints is moved at once. */
    private static final int MOVE_BELOW_PROGRESS = 35;

    /** Approximate delay with which tail latencies follow the use of the processor. */
    private static final double USE_DELAY_MILLIS = 400;

    /** Time after its start in which the latencies of a serving task are not used for learning. */
    private static final long WARM_UP_MILLIS = 2_000;

    /**
     * Time for which a pace must be safe: until the next report has arrived and a new pace has
     * taken effect.
     */
    private static final long PACE_HORIZON_MILLIS = 700;

    /** Time after which a stop without a confirmation counts as failed. */
    private static final long STOP_GRACE_MILLIS = 500;

    /** Shortest time between an order for a pace and its repetition without a new report. */
    private static final long MIN_REPEAT_MILLIS = 300;

    private final OwnerState state;
    private final RunLifecycle runs;
    private final WorkerSelector selector;

    FillThrottle(OwnerState state, RunLifecycle runs, WorkerSelector selector) {
        this.state = state;
        this.runs = runs;
        this.selector = selector;
    }

    /**
     * Updates the latency model from a report of a worker and sets the paces of its filling tasks.
     */
    void onReport(Worker worker, long now) {
        List<Run> fills = new ArrayList<>();
        List<Run> serving = new ArrayList<>();
        for (Run run : worker.runs.values()) {
            if (run.spec().isFilling() && run.confirmed && run.stopConfirmedAt == 0) {
                fills.add(run);
            } else if (run.isServing() && run.percent > 0) {
                serving.add(run);
            }
        }
        updateSmoothedUse(worker, fills, now);
        for (Run fill : fills) {
            recognizeFullPace(fill, now);
            recognizeExceededPace(fill, now);
        }
        worker.hasServingOverTarget = false;
        if (serving.isEmpty()) {
            for (Run fill : fills) {
                if (!fill.isStopping()) {
                    orderPace(fill, FULL_PACE_PERCENT, now);
                }
            }
            return;
        }
        for (Run run : serving) {
            updateOverTarget(run, fills, now);
            worker.hasServingOverTarget |= run.overTargetSince > 0;
            addSample(run, now);
        }
        for (Run fill : fills) {
            int pace = FULL_PACE_PERCENT;
            for (Run run : serving) {
                pace = Math.min(pace, maxPace(run, fill, fills, now));
            }
            if (!fill.isStopping()) {
                moveOrPace(fill, pace, now);
            } else if (now - fill.stopRequestedAt >= STOP_GRACE_MILLIS) {
                pauseUnlessFull(fill, pace, now);
            }
        }
    }

    /** Pauses a run that may not run at full pace and whose stop has not been confirmed. */
    private void pauseUnlessFull(Run fill, int target, long now) {
        boolean isPaused = fill.paceKnown && fill.pacePercent == 0;
        if (target < FULL_PACE_PERCENT && !isPaused) {
            orderPace(fill, 0, now);
        }
    }

    /**
     * Recognizes adopted runs at full pace by their use of the processor, so that a successor need
     * not order the pace of each run that it adopts.
     */
    private static void recognizeFullPace(Run fill, long now) {
        boolean usesAll = fill.measurement >= FULL_USE_SHARE * fill.spec().resources().milliCores();
        if (isPaceOfEarlierOwner(fill) && usesAll && isUseUpToDate(fill, now)) {
            fill.pacePercent = FULL_PACE_PERCENT;
            fill.paceKnown = true;
        }
    }

    /**
     * Recognizes runs that use more of the processor than their pace allows: an order without a
     * reply may be carried out after a newer one.
     */
    private static void recognizeExceededPace(Run fill, long now) {
        double allowedShare = (fill.pacePercent + EXCESS_PERCENT) / (double) FULL_PACE_PERCENT;
        boolean exceeds = fill.measurement > allowedShare * fill.spec().resources().milliCores();
        if (exceeds && now - fill.paceChangedAt >= SETTLE_MILLIS) {
            fill.paceKnown = false;
        }
    }

    private static boolean isPaceOfEarlierOwner(Run fill) {
        return !fill.paceKnown && fill.paceChangedAt == 0;
    }

    /** Returns whether the reported use was measured after the adoption of the run. */
    private static boolean isUseUpToDate(Run fill, long now) {
        return now - fill.orderedAt >= SAMPLE_INTERVAL_MILLIS;
    }

    /**
     * Updates the moving average of the processor use of each filling image. The average lags
     * behind the use as its effect on tail latencies does.
     */
    private static void updateSmoothedUse(Worker worker, List<Run> fills, long now) {
        Map<String, Double> currentFillShares = new HashMap<>();
        for (Run fill : fills) {
            currentFillShares.merge(
                    fill.image(), worker.processorShare(fill.measurement), Double::sum);
        }
        double weight = 1 - Math.exp((worker.fillSharesUpdatedAt - now) / USE_DELAY_MILLIS);
        worker.fillSharesUpdatedAt = now;
        currentFillShares
                .keySet()
                .forEach(image -> worker.smoothedFillShares.putIfAbsent(image, 0.0));
        worker.smoothedFillShares.replaceAll(
                (image, use) -> use + weight * (currentFillShares.getOrDefault(image, 0.0) - use));
        worker.smoothedFillShares.values().removeIf(use -> use < NEGLIGIBLE_USE);
    }

    private void updateOverTarget(Run run, List<Run> fills, long now) {
        if (run.measurement < OVER_TARGET_SHARE * run.spec().latencyTargetMillis()) {
            run.overTargetSince = 0;
        } else if (run.overTargetSince == 0) {
            run.overTargetSince = now;
            StringBuilder fillDetail = new StringBuilder();
            for (Run fill : fills) {
                double coefficient =
                        state.tailModel.interferenceCoefficient(run.image(), fill.image());
                fillDetail.append(fillDetail.length() == 0 ? "" : ",").append(fill.image());
                fillDetail.append(':').append(fill.spec().resources().milliCores());
                fillDetail
                        .append(':')
                        .append(fill.pacePercent)
                        .append(':')
                        .append(Math.round(FULL_PACE_PERCENT * coefficient));
                fillDetail.append(':').append(now - fill.orderedAt);
            }
            state.log(
                    Decision.Kind.SERVING_SLOW,
                    run,
                    "image="
                            + run.image()
                            + " tail="
                            + Math.round(run.measurement)
                            + " bound="
                            + run.spec().latencyTargetMillis()
                            + " slack="
                            + Math.round(FULL_PACE_PERCENT * selector.spareHeadroom(run, now, 0))
                            + " beside="
                            + fillDetail);
        }
    }

    private void addSample(Run run, long now) {
        if (now - run.lastSampledAt < SAMPLE_INTERVAL_MILLIS
                || now - run.confirmedAt < WARM_UP_MILLIS) {
            return;
        }
        run.lastSampledAt = now;
        state.tailModel.onTailLatency(
                run.loadKey(),
                run.image(),
                run.spec().latencyTargetMillis(),
                run.measurement,
                run.worker.smoothedFillShares,
                now);
    }

    /**
     * Returns the highest pace of a filling task at which a serving task stays below its target.
     */
    private int maxPace(Run run, Run fill, List<Run> fills, long now) {
        boolean harmful = isHarmful(run, fill);
        if (run.overTargetSince > 0 && now - run.overTargetSince >= PAUSE_ALL_AFTER_MILLIS) {
            return 0;
        }
        if (run.overTargetSince > 0 && now - run.overTargetSince >= PAUSE_HARMFUL_AFTER_MILLIS) {
            return harmful ? 0 : FULL_PACE_PERCENT;
        }
        if (!harmful) {
            return FULL_PACE_PERCENT;
        }
        double headroom = selector.spareHeadroom(run, now, PACE_HORIZON_MILLIS);
        double harmfulLoss = 0;
        for (Run other : fills) {
            if (isHarmful(run, other)) {
                harmfulLoss += fullPaceLoss(run, other);
            } else {
                headroom -= fullPaceLoss(run, other);
            }
        }
        return harmfulLoss <= headroom
                ? FULL_PACE_PERCENT
                : (int) Math.round(FULL_PACE_PERCENT * Math.max(0, headroom) / harmfulLoss);
    }

    private boolean isHarmful(Run run, Run fill) {
        return state.tailModel.interferenceCoefficient(run.image(), fill.image())
                >= TailLatencyModel.HARMFUL_COEFFICIENT;
    }

    /** Returns the headroom that a serving task loses to a filling task at full pace. */
    private double fullPaceLoss(Run run, Run fill) {
        double use = run.worker.processorShare(fill.spec().resources().milliCores());
        return state.tailModel.expectedLoss(run.image(), fill.image(), use);
    }

    private void moveOrPace(Run fill, int target, long now) {
        boolean settled = now - fill.paceChangedAt >= SETTLE_MILLIS;
        if (target < MOVE_BELOW_PACE
                && fill.pacePercent < MOVE_BELOW_PACE
                && fill.paceKnown
                && settled
                && isMovable(fill, now)
                && state.limits.allowsMove(fill)
                && selector.chooseWorker(fill.task, now).isPresent()) {
            runs.stop(fill, StopReason.DISTURBS, now);
            return;
        }
        int pace = target / PACE_STEP * PACE_STEP;
        if (!fill.paceKnown) {
            orderPace(fill, pace, now);
            return;
        }
        boolean lower = pace < fill.pacePercent;
        boolean largeChange = Math.abs(pace - fill.pacePercent) >= MIN_PACE_CHANGE;
        boolean atBound = pace == 0 || pace == FULL_PACE_PERCENT;
        if (pace != fill.pacePercent && (largeChange || atBound) && (lower || settled)) {
            orderPace(fill, pace, now);
        }
    }

    private static boolean isMovable(Run fill, long now) {
        boolean slowForLong =
                fill.lowPaceSince > 0 && now - fill.lowPaceSince >= MOVE_SLOW_AFTER_MILLIS;
        return fill.spec().isCheckpointing() || fill.percent < MOVE_BELOW_PROGRESS || slowForLong;
    }

    private void orderPace(Run fill, int percent, long now) {
        boolean mayBeAtFullPace = isPaceOfEarlierOwner(fill) && !isUseUpToDate(fill, now);
        if (fill.paceKnown && fill.pacePercent == percent
                || percent == FULL_PACE_PERCENT && mayBeAtFullPace) {
            return;
        }
        fill.pacePercent = percent;
        fill.paceKnown = true;
        if (percent >= MOVE_BELOW_PACE) {
            fill.lowPaceSince = 0;
        } else if (fill.lowPaceSince == 0) {
            fill.lowPaceSince = now;
        }
        fill.wasThrottled |= percent < FULL_PACE_PERCENT;
        fill.paceChangedAt = now;
        state.log(Decision.Kind.FILL_PACED, fill, "pace=" + percent);
        state.addOrder(
                new Order.Pace(
                        fill.worker.info,
                        fill.task.ref,
                        fill.attempt,
                        state.term.epoch(),
                        percent));
    }

    /**
     * Handles the reply to an order. A lower pace that the worker did not accept is ordered again
     * at once, a full pace after the next report.
     */
    void onOrderReply(Order order, OrderReply reply, long now) {
        Worker worker = state.workers.get(order.worker().id());
        if (!(order instanceof Order.Pace pace) || worker == null) {
            return;
        }
        Run run = worker.runs.get(new Run.Key(order.task(), order.attempt()));
        if (run == null) {
            return;
        }
        boolean isLatest = pace.percent() == run.pacePercent;
        if (reply == OrderReply.ACCEPTED) {
            run.paceChangedAt = isLatest ? now : run.paceChangedAt;
            return;
        }
        run.paceKnown = false;
        boolean repeats =
                isLatest
                        && pace.percent() < FULL_PACE_PERCENT
                        && worker.reachable
                        && now - run.paceChangedAt >= MIN_REPEAT_MILLIS;
        if (repeats && mayCarryOutRepeat(reply)) {
            orderPace(run, pace.percent(), now);
        }
    }

    private static boolean mayCarryOutRepeat(OrderReply reply) {
        return reply == OrderReply.UNANSWERED
                || reply == OrderReply.EXPIRED
                || reply == OrderReply.UNHEALTHY;
    }
}
