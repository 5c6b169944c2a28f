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
final class WorkerQuarantine {
    private static final int MAX_FAILED_JOBS = 3;
    private static final long INITIAL_QUARANTINE_MILLIS = 30_000;
    private static final long MAX_QUARANTINE_MILLIS = 600_000;

    private final Set<String> failedJobs = new LinkedHashSet<>();
    private long quarantineMillis;
    private long quarantinedUntilMillis;
    private Task probe;

    /** Tells whether a task may start, which uses up the probe only with {@link #taskStarted}. */
    boolean mayStart(long nowMillis) {
        return quarantineMillis == 0 || (probe == null && nowMillis >= quarantinedUntilMillis);
    }

    boolean isQuarantined() {
        return quarantineMillis > 0;
    }

    /** Records a start. */
    void taskStarted(Task task) {
        if (quarantineMillis > 0) {
            probe = task;
        }
    }

    /** Records that a task has left the worker, with or without a verdict. */
    void taskLeft(Task task) {
        if (probe == task) {
            probe = null;
        }
    }

    /** Records a good end. */
    void taskFinished() {
        failedJobs.clear();
        quarantineMillis = 0;
        probe = null;
    }

    /**
     * Records a bad end.
     *
     * @return the jobs whose failures are the worker's, if it is quarantined now; otherwise none
     */
    List<String> taskFailed(Task task, long nowMillis) {
        String job = task.job.key;
        if (quarantineMillis > 0) {
            // Failures of tasks that were there before the quarantine say nothing new.
            if (probe == task) {
                quarantineMillis = Math.min(2 * quarantineMillis, MAX_QUARANTINE_MILLIS);
                quarantinedUntilMillis = nowMillis + quarantineMillis;
            }
            return List.of(job);
        }
        failedJobs.add(job);
        if (failedJobs.size() < MAX_FAILED_JOBS) {
            return List.of();
        }
        quarantineMillis = INITIAL_QUARANTINE_MILLIS;
        quarantinedUntilMillis = nowMillis + quarantineMillis;
        List<String> blamed = List.copyOf(failedJobs);
        failedJobs.clear();
        return blamed;
    }
}
