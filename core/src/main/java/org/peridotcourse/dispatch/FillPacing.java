package org.peridotcourse.dispatch;

import java.util.ArrayList;

/**
 * Slows filling tasks down while a serving task beside them is close to the bound of its response
 * time, and lets them recover in steps. Confined to one thread.
 */
final class FillPacing {
    /** Share of the bound at which filling tasks are slowed down. */
    private static final double HIGH = 0.8;

    /** Share of the bound below which they recover. */
    private static final double LOW = 0.6;

    /** Time in which a change shows in the reports. */
    private static final long SETTLE_MILLIS = 900;

    private static final int RECOVERY_STEP = 25;
    private static final int FULL = 100;
    private static final int SLOWED = 30;

    private final OwnerState state;

    FillPacing(OwnerState state) {
        this.state = state;
    }

    /** Reacts to a report of a worker. */
    void onReport(Worker worker, long now) {
        double highest = 0;
        boolean sensitive = false;
        boolean filled = false;
        for (Run run : worker.runs.values()) {
            filled |= run.spec().isFilling();
            if (run.spec().targetMillis() > 0 && run.percent > 0) {
                sensitive = true;
                highest = Math.max(highest, run.figure / run.spec().targetMillis());
            }
        }
        if (!filled) {
            worker.fillPace = FULL;
            return;
        }
        int pace = next(worker, sensitive ? highest : 0, now);
        if (pace != worker.fillPace) {
            worker.fillPace = pace;
            worker.fillPaceAt = now;
            state.log(
                    Decision.Kind.FILL_PACED,
                    worker.id,
                    worker,
                    "pace=" + pace + " tail=" + Math.round(highest * FULL) + "%");
        }
        apply(worker);
    }

    private static int next(Worker worker, double highest, long now) {
        if (highest >= 1) {
            return 0;
        }
        boolean settled = now - worker.fillPaceAt >= SETTLE_MILLIS;
        if (highest >= HIGH) {
            return settled ? Math.min(worker.fillPace, SLOWED) : worker.fillPace;
        }
        if (highest < LOW && settled) {
            return Math.min(FULL, worker.fillPace + RECOVERY_STEP);
        }
        return worker.fillPace;
    }

    private void apply(Worker worker) {
        for (Run run : new ArrayList<>(worker.runs.values())) {
            boolean paced = run.spec().isFilling() && run.confirmed && !run.isStopping();
            if (paced && run.pace != worker.fillPace) {
                run.pace = worker.fillPace;
                state.order(
                        new Order.Pace(
                                worker.info,
                                run.task.ref,
                                run.attempt,
                                state.term.epoch(),
                                worker.fillPace));
            }
        }
    }

    /** Notes that a pace was not set, so that it is sent again. */
    static void onFailed(Run run) {
        run.pace = -1;
    }
}
