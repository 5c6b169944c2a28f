package org.peridotcourse.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Watches serving tasks and the filling tasks beside them: learns which images get on, slows
 * filling tasks down that disturb, and moves those that can resume elsewhere. Confined to one
 * thread.
 */
final class FillPacing {
    static final int FULL = 100;

    /** Share of the bound below which a serving task counts as undisturbed. */
    private static final double CALM = 0.75;

    /** A serving task over its bound for this long has all filling tasks beside it stopped. */
    private static final long ALL_STOPPED_MILLIS = 1_600;

    /** Figures cover half a second, so that closer reports repeat themselves. */
    private static final long SAMPLE_MILLIS = 600;

    /** Time in which a change of the pace shows in the reports. */
    private static final long SETTLE_MILLIS = 900;

    private static final int RECOVERY_STEP = 50;

    /** Pace of a disturbing task that would lose too much work elsewhere. */
    private static final int SLOW_PACE = 20;

    /** A task that cannot resume is moved if it has not got farther than this. */
    private static final int MOVED_BELOW_PERCENT = 50;

    /** Processor use below which a filling task says nothing about its effect. */
    private static final double AT_WORK_MILLI_CORES = 600;

    private final OwnerState state;
    private final RunBook runs;

    FillPacing(OwnerState state, RunBook runs) {
        this.state = state;
        this.runs = runs;
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
        if (fills.isEmpty()) {
            return;
        }
        Set<String> atWork = imagesAtWork(fills);
        Set<Run> disturbing = new HashSet<>();
        boolean calm = true;
        for (Run run : serving) {
            double share = run.figure / run.spec().targetMillis();
            calm &= share < CALM;
            sample(run, share, atWork, now);
            if (share >= 1) {
                disturbing.addAll(culprits(run, fills, now));
            }
        }
        for (Run fill : fills) {
            if (disturbing.contains(fill)) {
                slowDown(fill, now);
            } else if (fill.pace != FULL && calm && now - fill.pacedAt >= SETTLE_MILLIS) {
                pace(fill, Math.min(FULL, Math.max(0, fill.pace) + RECOVERY_STEP), now);
            }
        }
    }

    private static Set<String> imagesAtWork(List<Run> fills) {
        Set<String> images = new HashSet<>();
        for (Run fill : fills) {
            if (fill.figure >= AT_WORK_MILLI_CORES) {
                images.add(image(fill));
            }
        }
        return images;
    }

    static String image(Run run) {
        return run.spec().image().orElse("");
    }

    private void sample(Run run, double share, Set<String> atWork, long now) {
        if (share < 1) {
            run.overSince = 0;
        } else if (run.overSince == 0) {
            run.overSince = now;
        }
        boolean clear = share >= 1 || share < CALM;
        if (clear && now - run.sampledAt >= SAMPLE_MILLIS) {
            run.sampledAt = now;
            state.effects.observe(image(run), share >= 1, atWork, now);
        }
    }

    /** The filling tasks that probably disturb, or all of them if it lasts. */
    private List<Run> culprits(Run serving, List<Run> fills, long now) {
        if (now - serving.overSince >= ALL_STOPPED_MILLIS) {
            return fills;
        }
        List<Run> culprits = new ArrayList<>();
        for (Run fill : fills) {
            double harm = state.effects.harm(image(serving), image(fill), now);
            if (harm >= NeighbourEffects.ALLOWED) {
                culprits.add(fill);
            }
        }
        return culprits;
    }

    private void slowDown(Run fill, long now) {
        boolean movable = fill.spec().isCheckpointing() || fill.percent < MOVED_BELOW_PERCENT;
        if (movable && isHarmful(fill, now)) {
            runs.stop(fill, StopReason.DISTURBS, now);
        } else {
            pace(fill, fill.pace > SLOW_PACE ? SLOW_PACE : 0, now);
        }
    }

    private boolean isHarmful(Run fill, long now) {
        for (Run run : fill.worker.runs.values()) {
            if (run.spec().targetMillis() > 0
                    && state.effects.harm(image(run), image(fill), now)
                            >= NeighbourEffects.ALLOWED) {
                return true;
            }
        }
        return false;
    }

    private void pace(Run fill, int percent, long now) {
        if (fill.pace == percent) {
            return;
        }
        fill.pace = percent;
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
