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
    private boolean probing;

    /** Tells whether a task may start, which uses up the probe only with {@link #started}. */
    boolean mayStart(long nowMillis) {
        return pauseMillis == 0 || (!probing && nowMillis >= untilMillis);
    }

    boolean isQuarantined() {
        return pauseMillis > 0;
    }

    /** Records a start. */
    void started() {
        probing = pauseMillis > 0;
    }

    /** Records that a start came to nothing, without a verdict on the worker. */
    void withdrawn() {
        probing = false;
    }

    /** Records a good end. */
    void succeeded() {
        failedJobs.clear();
        pauseMillis = 0;
        probing = false;
    }

    /**
     * Records a bad end.
     *
     * @return the jobs whose failures are the worker's, if it is quarantined now; otherwise none
     */
    List<String> failed(String job, long nowMillis) {
        failedJobs.add(job);
        if (pauseMillis > 0) {
            probing = false;
            pauseMillis = Math.min(2 * pauseMillis, LONGEST_MILLIS);
            untilMillis = nowMillis + pauseMillis;
            return List.of(job);
        }
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
