package org.peridotcourse.placement;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Quarantine of a worker on which tasks keep failing.
 *
 * <p>After three different jobs have failed without a success in between, the worker receives no
 * task for 30 s and then a single one as a probe; each failed probe doubles the time, up to 10
 * minutes. Confined to one thread.
 */
final class WorkerQuarantine {
    private static final int QUARANTINE_AFTER_JOBS = 3;
    private static final long INITIAL_QUARANTINE_MILLIS = 30_000;
    private static final long MAX_QUARANTINE_MILLIS = 600_000;

    private final Set<String> failedJobs = new LinkedHashSet<>();
    private long quarantineMillis;
    private long quarantinedUntilMillis;
    private Task probe;

    /**
     * Returns whether a task may start. The probe counts as used only after {@link #taskStarted}.
     */
    boolean mayStart(long nowMillis) {
        return quarantineMillis == 0 || (probe == null && nowMillis >= quarantinedUntilMillis);
    }

    boolean isQuarantined() {
        return quarantineMillis > 0;
    }

    /** Records the start of a task. */
    void taskStarted(Task task) {
        if (quarantineMillis > 0) {
            probe = task;
        }
    }

    /** Records that a task has left the worker, whatever its outcome. */
    void taskLeft(Task task) {
        if (probe == task) {
            probe = null;
        }
    }

    /** Records a successful end, which ends the quarantine. */
    void taskFinished() {
        failedJobs.clear();
        quarantineMillis = 0;
        probe = null;
    }

    /**
     * Records a failure.
     *
     * @return the jobs whose failures are attributed to the worker, if it is quarantined now;
     *     otherwise none
     */
    List<String> taskFailed(Task task, long nowMillis) {
        String job = task.job.key;
        if (quarantineMillis > 0) {
            // Tasks that were placed before the quarantine give no new evidence when they fail.
            if (probe == task) {
                quarantineMillis = Math.min(2 * quarantineMillis, MAX_QUARANTINE_MILLIS);
                quarantinedUntilMillis = nowMillis + quarantineMillis;
            }
            return List.of(job);
        }
        failedJobs.add(job);
        if (failedJobs.size() < QUARANTINE_AFTER_JOBS) {
            return List.of();
        }
        quarantineMillis = INITIAL_QUARANTINE_MILLIS;
        quarantinedUntilMillis = nowMillis + quarantineMillis;
        List<String> attributedJobs = List.copyOf(failedJobs);
        failedJobs.clear();
        return attributedJobs;
    }
}
