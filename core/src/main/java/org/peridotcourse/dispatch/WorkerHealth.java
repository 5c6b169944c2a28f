package org.peridotcourse.dispatch;

import java.util.HashSet;
import java.util.Set;

/**
 * Tracks the health of a worker: failures, stalled runs and the speed of its runs.
 *
 * <p>A worker is quarantined if several jobs fail on it without a success in between, or if runs
 * stall on it. After the quarantine it is on probation: it gets one run at a time as a probe until
 * one succeeds. Confined to one thread.
 */
final class WorkerHealth {
    /** Number of different jobs whose failure without a success in between causes a quarantine. */
    static final int FAILED_JOBS_TO_QUARANTINE = 2;

    /** Duration of the first quarantine; it doubles with each further one. */
    static final long FIRST_QUARANTINE_MILLIS = 3_000;

    static final long MAX_QUARANTINE_MILLIS = 24_000;

    /** Weight of a new sample in the moving average of the slowdown. */
    private static final double SAMPLE_WEIGHT = 0.3;

    /** Number of samples from which the slowdown is used. */
    private static final int MIN_SAMPLES = 3;

    private final Set<String> failedJobs = new HashSet<>();
    private long quarantinedUntil;
    private long nextQuarantineMillis = FIRST_QUARANTINE_MILLIS;
    private boolean onProbation;
    private double slowdown = 1;
    private int sampleCount;

    /** Records a failed run; returns true if it causes a quarantine. */
    boolean onFailure(String job, long now) {
        failedJobs.add(job);
        if (onProbation || failedJobs.size() >= FAILED_JOBS_TO_QUARANTINE) {
            quarantine(now);
            return true;
        }
        return false;
    }

    void onSuccess() {
        failedJobs.clear();
        onProbation = false;
        nextQuarantineMillis = FIRST_QUARANTINE_MILLIS;
    }

    /** Records that runs are stalled, which causes a quarantine. */
    void onStalledRuns(long now) {
        quarantine(now);
    }

    private void quarantine(long now) {
        if (now < quarantinedUntil) {
            return;
        }
        quarantinedUntil = now + nextQuarantineMillis;
        nextQuarantineMillis = Math.min(2 * nextQuarantineMillis, MAX_QUARANTINE_MILLIS);
        onProbation = true;
        failedJobs.clear();
    }

    boolean isQuarantined(long now) {
        return now < quarantinedUntil;
    }

    boolean isOnProbation() {
        return onProbation;
    }

    /** Returns whether a run that was ordered at a given time is a probe after the quarantine. */
    boolean isProbe(long orderedAt) {
        return onProbation && orderedAt >= quarantinedUntil;
    }

    boolean isSuspect() {
        return onProbation || !failedJobs.isEmpty();
    }

    /** Records a slowdown sample: the ratio of the projected to the predicted duration of a run. */
    void onSlowdownSample(double ratio) {
        slowdown = sampleCount == 0 ? ratio : slowdown + SAMPLE_WEIGHT * (ratio - slowdown);
        sampleCount++;
    }

    boolean hasSlowdown() {
        return sampleCount >= MIN_SAMPLES;
    }

    /** Returns the moving average of the slowdown samples; 1 is the predicted speed. */
    double slowdown() {
        return slowdown;
    }

    /** Resets the state after a restart of the worker. */
    void reset() {
        failedJobs.clear();
        onProbation = false;
        quarantinedUntil = 0;
        nextQuarantineMillis = FIRST_QUARANTINE_MILLIS;
        sampleCount = 0;
        slowdown = 1;
    }
}
