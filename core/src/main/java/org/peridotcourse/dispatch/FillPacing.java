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

    /** Pressure that is left free below the bound, for swings of the own load. */
    static final double MARGIN = 0.08;

    /** Share of the bound from which a task counts as over it, since figures are rounded. */
    private static final double OVER = 0.95;

    /** A serving task over its bound for this long has suspect filling tasks stopped. */
    private static final long SUSPECTS_STOPPED_MILLIS = 500;

    /** A serving task over its bound for this long has all filling tasks beside it stopped. */
    private static final long ALL_STOPPED_MILLIS = 1_200;

    /** Probability of harm below which a filling task is not slowed down. */
    private static final double SUSPECT = 0.15;

    /** Figures cover half a second, so that closer reports repeat themselves. */
    private static final long SAMPLE_MILLIS = 500;

    /** Time in which a change of the pace shows in the reports. */
    private static final long SETTLE_MILLIS = 700;

    /** Smaller changes of the pace are not worth an order. */
    private static final int LEAST_CHANGE = 15;

    private static final int PACE_STEP = 10;

    /** A filling task below this pace is moved if it can be. */
    private static final int MOVED_BELOW_PACE = 50;

    /** A task that cannot resume is moved if it has not got farther than this. */
    private static final int MOVED_BELOW_PERCENT = 35;

    /** Weight of a new reading of the own load of a serving task. */
    private static final double LOAD_WEIGHT = 0.4;

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
            } else if (run.spec().targetMillis() > 0 && run.percent > 0) {
                serving.add(run);
            }
        }
        if (serving.isEmpty()) {
            fills.forEach(fill -> pace(fill, FULL, now));
            return;
        }
        Map<String, Double> uses = uses(worker, fills);
        for (Run run : serving) {
            noteBound(run, fills, now);
            learn(run, uses, now);
        }
        for (Run fill : fills) {
            int pace = FULL;
            for (Run run : serving) {
                pace = Math.min(pace, allowed(run, fill, fills, now));
            }
            apply(fill, pace, now);
        }
    }

    private static Map<String, Double> uses(Worker worker, List<Run> fills) {
        double capacity = Math.max(1, worker.info.capacity().milliCores());
        Map<String, Double> uses = new HashMap<>();
        for (Run fill : fills) {
            uses.merge(image(fill), fill.figure / capacity, Double::sum);
        }
        return uses;
    }

    static String image(Run run) {
        return run.spec().image().orElse("");
    }

    private void noteBound(Run run, List<Run> fills, long now) {
        if (run.figure < OVER * run.spec().targetMillis()) {
            run.overSince = 0;
        } else if (run.overSince == 0) {
            run.overSince = now;
            StringBuilder beside = new StringBuilder();
            for (Run fill : fills) {
                long harmful = Math.round(FULL * state.tails.harmful(image(run), image(fill), now));
                beside.append(beside.length() == 0 ? "" : ",").append(image(fill));
                beside.append(':').append(fill.spec().need().milliCores());
                beside.append(':').append(fill.pace).append(':').append(harmful);
                beside.append(':').append(now - fill.orderedAt);
            }
            state.log(
                    Decision.Kind.SERVING_SLOW,
                    run,
                    "image="
                            + image(run)
                            + " tail="
                            + Math.round(run.figure)
                            + " bound="
                            + run.spec().targetMillis()
                            + " room="
                            + Math.round(FULL * choice.room(run))
                            + " beside="
                            + beside);
        }
    }

    private void learn(Run run, Map<String, Double> uses, long now) {
        if (now - run.sampledAt < SAMPLE_MILLIS) {
            return;
        }
        run.sampledAt = now;
        String image = image(run);
        state.tails.observe(image, run.figure, uses, now);
        double added = 0;
        for (Map.Entry<String, Double> use : uses.entrySet()) {
            added += state.tails.added(image, use.getKey(), use.getValue(), now);
        }
        double own = Math.max(0, state.tails.pressure(image, run.figure) - added);
        run.load = run.load < 0 ? own : run.load + LOAD_WEIGHT * (own - run.load);
    }

    /** The pace at which a filling task leaves a serving one under its bound. */
    private int allowed(Run run, Run fill, List<Run> fills, long now) {
        double harmful = state.tails.harmful(image(run), image(fill), now);
        if (run.overSince > 0 && now - run.overSince >= ALL_STOPPED_MILLIS) {
            return 0;
        }
        if (run.overSince > 0 && now - run.overSince >= SUSPECTS_STOPPED_MILLIS) {
            return harmful >= SUSPECT ? 0 : FULL;
        }
        if (harmful < SUSPECT) {
            return FULL;
        }
        double sum = 0;
        for (Run other : fills) {
            sum += full(run, other, now);
        }
        double room = choice.room(run);
        return sum <= room ? FULL : (int) Math.round(FULL * Math.max(0, room) / sum);
    }

    /** The pressure of a filling task on a serving one at full pace. */
    private double full(Run run, Run fill, long now) {
        double capacity = Math.max(1, run.worker.info.capacity().milliCores());
        double use = fill.spec().need().milliCores() / capacity;
        return state.tails.planned(image(run), image(fill), use, now);
    }

    private void apply(Run fill, int wanted, long now) {
        boolean settled = now - fill.pacedAt >= SETTLE_MILLIS;
        if (wanted < MOVED_BELOW_PACE
                && fill.pace < MOVED_BELOW_PACE
                && settled
                && isMovable(fill)
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

    private static boolean isMovable(Run fill) {
        return fill.spec().isCheckpointing() || fill.percent < MOVED_BELOW_PERCENT;
    }

    private void pace(Run fill, int percent, long now) {
        if (fill.pace == percent) {
            return;
        }
        fill.pace = percent;
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

    /** Notes that a pace was not set, so that it is sent again. */
    static void onFailed(Run run) {
        run.pace = -1;
    }
}
