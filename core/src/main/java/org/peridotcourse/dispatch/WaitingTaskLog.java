package org.peridotcourse.dispatch;

import java.util.EnumMap;
import java.util.Map;
import java.util.StringJoiner;

/**
 * Logs why a task that has waited long is not placed: for each reason, the number of workers that
 * are not eligible because of it. The rate of log records is limited, so that the log does not grow
 * with the number of waiting tasks. Confined to one thread.
 */
final class WaitingTaskLog {
    /** Wait after which a task is logged. */
    static final long MIN_WAIT_MILLIS = 2_000;

    /** Minimum time between two log records. */
    static final long LOG_INTERVAL_MILLIS = 500;

    /** Minimum time between two log records about the same step. */
    static final long STEP_LOG_INTERVAL_MILLIS = 5_000;

    private final OwnerState state;
    private final WorkerSelector selector;
    private long nextAt;

    WaitingTaskLog(OwnerState state, WorkerSelector selector) {
        this.state = state;
        this.selector = selector;
    }

    /** Logs a task of a step for which no worker was found, if a log record is due. */
    void logIfDue(Step step, long now) {
        if (now < nextAt || now < step.nextWaitLogAt) {
            return;
        }
        for (Task task : step.tasks) {
            boolean startable = task.mayStart(now) && state.reconciliation.isSafeToStart(task);
            if (startable && task.waitedMillis(now) >= MIN_WAIT_MILLIS) {
                nextAt = now + LOG_INTERVAL_MILLIS;
                step.nextWaitLogAt = now + STEP_LOG_INTERVAL_MILLIS;
                logBlockers(task, now);
                return;
            }
        }
    }

    private void logBlockers(Task task, long now) {
        WorkerSelector.WorkerSearch search = selector.newSearch(task, now);
        Map<PlacementBlocker, Integer> counts = new EnumMap<>(PlacementBlocker.class);
        for (Worker worker : state.workers.values()) {
            PlacementBlocker blocker = selector.blocker(worker, search, now);
            boolean full = blocker == PlacementBlocker.NONE && !worker.fits(search.spec());
            counts.merge(full ? PlacementBlocker.NO_ROOM : blocker, 1, Integer::sum);
        }
        StringJoiner detail = new StringJoiner(" ");
        detail.add("waited=" + task.waitedMillis(now));
        detail.add("workers=" + state.workers.size());
        counts.forEach((blocker, count) -> detail.add(blocker.code() + "=" + count));
        state.log(Decision.Kind.TASK_WAITS, task.ref.toString(), null, detail.toString());
    }
}
