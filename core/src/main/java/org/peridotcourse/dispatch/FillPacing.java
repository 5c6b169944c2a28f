package org.peridotcourse.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps the response times of serving tasks under their bounds by the pace of the filling tasks
 * beside them, and moves filling tasks that could work faster elsewhere. Confined to one thread.
 */
final class FillPacing {
    static final int FULL = 100;

    /** Differs from all paces. */
    private static final int NOT_SET = -1;

    /** Share of the bound from which a task counts as over it, since figures are rounded. */
    private static final double OVER = 0.95;

    /** A serving task over its bound for this long has suspect filling tasks stopped. */
    private static final long SUSPECTS_STOPPED_MILLIS = 500;

    /** A serving task over its bound for this long has all filling tasks beside it stopped. */
    private static final long ALL_STOPPED_MILLIS = 1_200;

    /** Figures cover half a second, so that closer reports repeat themselves. */
    private static final long SAMPLE_MILLIS = 500;

    /** Time in which a change of the pace shows in the reports. */
    private static final long SETTLE_MILLIS = 700;

    /** Share of a worker's processor that has no effect. */
    private static final double NO_USE = 0.001;

    /** Smaller changes of the pace are not worth an order. */
    private static final int LEAST_CHANGE = 15;

    private static final int PACE_STEP = 10;

    /** A filling task below this pace is moved if it can be. */
    private static final int MOVED_BELOW_PACE = 50;

    /** A filling task that is slow for this long is moved although its work is lost. */
    private static final long SLOW_BORNE_MILLIS = 1_000;

    /** A task that cannot resume is moved at once if it has not got farther than this. */
    private static final int MOVED_BELOW_PERCENT = 35;

    /** Tails follow the use of the processor with about this delay. */
    private static final double USE_DELAY_MILLIS = 400;

    /** A serving task that has just started has not settled. */
    private static final long START_MILLIS = 2_000;

    /** Time for which the pace of a filling task has to hold: the next report, and its effect. */
    private static final long PACE_HOLDS_MILLIS = 700;

    private final OwnerState state;
    private final RunBook runs;
    private final WorkerChoice choice;

    FillPacing(OwnerState state, RunBook runs, WorkerChoice choice) {
        this.state = state;
        this.runs = runs;
        this.choice = choice;
    }

    /** Reacts to a report of a worker. */
    void onReport(Worker worker, long now) {
        List<Run> fills = new ArrayList<>();
        List<Run> serving = new ArrayList<>();
        for (Run run : worker.runs.values()) {
            if (run.spec().isFilling() && run.confirmed && !run.isStopping()) {
                fills.add(run);
            } else if (run.isServing() && run.percent > 0) {
                serving.add(run);
            }
        }
        followUse(worker, fills, now);
        if (serving.isEmpty()) {
            fills.forEach(fill -> pace(fill, FULL, now));
            return;
        }
        for (Run run : serving) {
            noteBound(run, fills, now);
            learn(run, now);
        }
        for (Run fill : fills) {
            int pace = FULL;
            for (Run run : serving) {
                pace = Math.min(pace, allowed(run, fill, fills, now));
            }
            apply(fill, pace, now);
        }
    }

    /** Follows the use of the processor by image, delayed as its effect on tails is. */
    private static void followUse(Worker worker, List<Run> fills, long now) {
        Map<String, Double> present = new HashMap<>();
        for (Run fill : fills) {
            present.merge(fill.image(), worker.share(fill.figure), Double::sum);
        }
        double weight = 1 - Math.exp((worker.fillUsesAt - now) / USE_DELAY_MILLIS);
        worker.fillUsesAt = now;
        present.keySet().forEach(image -> worker.fillUses.putIfAbsent(image, 0.0));
        worker.fillUses.replaceAll(
                (image, use) -> use + weight * (present.getOrDefault(image, 0.0) - use));
        worker.fillUses.values().removeIf(use -> use < NO_USE);
    }

    private void noteBound(Run run, List<Run> fills, long now) {
        if (run.figure < OVER * run.spec().targetMillis()) {
            run.overSince = 0;
        } else if (run.overSince == 0) {
            run.overSince = now;
            StringBuilder beside = new StringBuilder();
            for (Run fill : fills) {
                double strength = state.tails.strength(run.image(), fill.image());
                beside.append(beside.length() == 0 ? "" : ",").append(fill.image());
                beside.append(':').append(fill.spec().need().milliCores());
                beside.append(':')
                        .append(fill.pace)
                        .append(':')
                        .append(Math.round(FULL * strength));
                beside.append(':').append(now - fill.orderedAt);
            }
            state.log(
                    Decision.Kind.SERVING_SLOW,
                    run,
                    "image="
                            + run.image()
                            + " tail="
                            + Math.round(run.figure)
                            + " bound="
                            + run.spec().targetMillis()
                            + " slack="
                            + Math.round(FULL * choice.slack(run, now, 0))
                            + " beside="
                            + beside);
        }
    }

    private void learn(Run run, long now) {
        if (now - run.sampledAt < SAMPLE_MILLIS || now - run.confirmedAt < START_MILLIS) {
            return;
        }
        run.sampledAt = now;
        state.tails.observe(
                run.load(),
                run.image(),
                run.spec().targetMillis(),
                run.figure,
                run.worker.fillUses,
                now);
    }

    /** The pace at which a filling task leaves a serving one under its bound. */
    private int allowed(Run run, Run fill, List<Run> fills, long now) {
        boolean harmful = isHarmful(run, fill);
        if (run.overSince > 0 && now - run.overSince >= ALL_STOPPED_MILLIS) {
            return 0;
        }
        if (run.overSince > 0 && now - run.overSince >= SUSPECTS_STOPPED_MILLIS) {
            return harmful ? 0 : FULL;
        }
        if (!harmful) {
            return FULL;
        }
        double room = choice.slack(run, now, PACE_HOLDS_MILLIS);
        double taken = 0;
        for (Run other : fills) {
            if (isHarmful(run, other)) {
                taken += full(run, other);
            } else {
                room -= full(run, other);
            }
        }
        return taken <= room ? FULL : (int) Math.round(FULL * Math.max(0, room) / taken);
    }

    private boolean isHarmful(Run run, Run fill) {
        return state.tails.strength(run.image(), fill.image()) >= TailModel.HARMFUL;
    }

    /** The headroom that a filling task takes from a serving one at full pace. */
    private double full(Run run, Run fill) {
        double use = run.worker.share(fill.spec().need().milliCores());
        return state.tails.added(run.image(), fill.image(), use);
    }

    private void apply(Run fill, int wanted, long now) {
        boolean settled = now - fill.pacedAt >= SETTLE_MILLIS;
        if (wanted < MOVED_BELOW_PACE
                && fill.pace < MOVED_BELOW_PACE
                && settled
                && isMovable(fill, now)
                && state.limits.mayMove(fill)
                && choice.choose(fill.task, now).isPresent()) {
            runs.stop(fill, StopReason.DISTURBS, now);
            return;
        }
        int pace = wanted / PACE_STEP * PACE_STEP;
        boolean lower = pace < fill.pace;
        boolean enough = Math.abs(pace - fill.pace) >= LEAST_CHANGE;
        boolean end = pace == 0 || pace == FULL;
        if (pace != fill.pace && (enough || end) && (lower || settled)) {
            pace(fill, pace, now);
        }
    }

    private static boolean isMovable(Run fill, long now) {
        boolean waited = fill.slowSince > 0 && now - fill.slowSince >= SLOW_BORNE_MILLIS;
        return fill.spec().isCheckpointing() || fill.percent < MOVED_BELOW_PERCENT || waited;
    }

    private void pace(Run fill, int percent, long now) {
        if (fill.pace == percent) {
            return;
        }
        fill.pace = percent;
        if (percent >= MOVED_BELOW_PACE) {
            fill.slowSince = 0;
        } else if (fill.slowSince == 0) {
            fill.slowSince = now;
        }
        fill.wasPaced |= percent < FULL;
        fill.pacedAt = now;
        state.log(Decision.Kind.FILL_PACED, fill, "pace=" + percent);
        state.order(
                new Order.Pace(
                        fill.worker.info,
                        fill.task.ref,
                        fill.attempt,
                        state.term.epoch(),
                        percent));
    }

    /** Takes the answer to an order. A pace that was not set is sent again. */
    void onReply(Order order, OrderReply reply) {
        Worker worker = state.workers.get(order.worker().id());
        if (!(order instanceof Order.Pace) || reply == OrderReply.ACCEPTED || worker == null) {
            return;
        }
        Run run = worker.runs.get(new Run.Key(order.task(), order.attempt()));
        if (run != null) {
            run.pace = NOT_SET;
        }
    }
}
