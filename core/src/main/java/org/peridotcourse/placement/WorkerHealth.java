package org.peridotcourse.placement;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Quarantine of a worker that fails what it starts.
 *
 * <p>After three different jobs have failed in a row the worker is left alone for 30 s and then
 * probed with one task; each failed probe doubles the time up to 10 minutes. Confined to one
 * thread.
 */
final class WorkerHealth {
    private static final int JOBS = 3;
    private static final long FIRST_MILLIS = 30_000;
    private static final long LONGEST_MILLIS = 600_000;

    private final Set<String> failedJobs = new LinkedHashSet<>();
    private long pauseMillis;
    private long untilMillis;
    private Task probe;

    /** Tells whether a task may start, which uses up the probe only with {@link #started}. */
    boolean mayStart(long nowMillis) {
        return pauseMillis == 0 || (probe == null && nowMillis >= untilMillis);
    }

    boolean isQuarantined() {
        return pauseMillis > 0;
    }

    /** Records a start. */
    void started(Task task) {
        if (pauseMillis > 0) {
            probe = task;
        }
    }

    /** Records that a task has left the worker, with or without a verdict. */
    void left(Task task) {
        if (probe == task) {
            probe = null;
        }
    }

    /** Records a good end. */
    void succeeded() {
        failedJobs.clear();
        pauseMillis = 0;
        probe = null;
    }

    /**
     * Records a bad end.
     *
     * @return the jobs whose failures are the worker's, if it is quarantined now; otherwise none
     */
    List<String> failed(Task task, long nowMillis) {
        String job = task.job.key;
        if (pauseMillis > 0) {
            // Failures of tasks that were there before the quarantine say nothing new.
            if (probe == task) {
                pauseMillis = Math.min(2 * pauseMillis, LONGEST_MILLIS);
                untilMillis = nowMillis + pauseMillis;
            }
            return List.of(job);
        }
        failedJobs.add(job);
        if (failedJobs.size() < JOBS) {
            return List.of();
        }
        pauseMillis = FIRST_MILLIS;
        untilMillis = nowMillis + pauseMillis;
        List<String> blamed = List.copyOf(failedJobs);
        failedJobs.clear();
        return blamed;
    }
}
