package org.peridotcourse.dispatch;

import java.util.HashSet;
import java.util.Set;

/**
 * Judges a worker by how runs end on it and how fast they progress.
 *
 * <p>A worker on which several jobs failed without a success in between, or on which runs stand
 * still, is quarantined. After that it is probed with one run at a time until one succeeds.
 * Confined to one thread.
 */
final class WorkerHealth {
    /** Jobs that fail in a row before the worker is blamed. */
    static final int FAILED_JOBS = 2;

    /** First quarantine; it doubles with each further one. */
    static final long QUARANTINE_MILLIS = 3_000;

    static final long LONGEST_QUARANTINE_MILLIS = 24_000;

    /** Weight of a new sample of the rate. */
    private static final double RATE_WEIGHT = 0.3;

    /** Samples from which the rate of a worker is judged. */
    private static final int ENOUGH_SAMPLES = 3;

    private final Set<String> failedJobs = new HashSet<>();
    private long quarantinedUntil;
    private long quarantineMillis = QUARANTINE_MILLIS;
    private boolean onProbation;
    private double slowness = 1;
    private int samples;

    /** Notes a failed run; true if the worker is quarantined by it. */
    boolean onFailure(String job, long now) {
        failedJobs.add(job);
        if (onProbation || failedJobs.size() >= FAILED_JOBS) {
            quarantine(now);
            return true;
        }
        return false;
    }

    void onSuccess() {
        failedJobs.clear();
        onProbation = false;
        quarantineMillis = QUARANTINE_MILLIS;
    }

    /** Notes that runs stand still. */
    void onStall(long now) {
        quarantine(now);
    }

    private void quarantine(long now) {
        if (now < quarantinedUntil) {
            return;
        }
        quarantinedUntil = now + quarantineMillis;
        quarantineMillis = Math.min(2 * quarantineMillis, LONGEST_QUARANTINE_MILLIS);
        onProbation = true;
        failedJobs.clear();
    }

    boolean isQuarantined(long now) {
        return now < quarantinedUntil;
    }

    boolean isOnProbation() {
        return onProbation;
    }

    /** Returns whether a run that was ordered at some time is a probe after the quarantine. */
    boolean isProbe(long orderedAt) {
        return onProbation && orderedAt >= quarantinedUntil;
    }

    boolean isSuspect() {
        return onProbation || !failedJobs.isEmpty();
    }

    /** Takes the ratio of projected to estimated duration of a run. */
    void onRate(double ratio) {
        slowness = samples == 0 ? ratio : slowness + RATE_WEIGHT * (ratio - slowness);
        samples++;
    }

    boolean hasRate() {
        return samples >= ENOUGH_SAMPLES;
    }

    double slowness() {
        return slowness;
    }

    /** A new life of the worker starts with a clean record. */
    void reset() {
        failedJobs.clear();
        onProbation = false;
        quarantinedUntil = 0;
        quarantineMillis = QUARANTINE_MILLIS;
        samples = 0;
        slowness = 1;
    }
}
