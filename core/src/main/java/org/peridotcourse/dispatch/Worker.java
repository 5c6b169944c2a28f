package org.peridotcourse.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.peridotcourse.Resources;

/** The owner's state of one worker. Confined to one thread. */
final class Worker {
    /** Share of their reserved processor that lasting tasks use at peak load. */
    private static final double LASTING_USE_SHARE = 0.6;

    /** Time within which a job must be read from the store after a worker has reported on it. */
    static final long JOB_READ_TIMEOUT_MILLIS = 3_000;

    final String id;
    final WorkerHealth health = new WorkerHealth();
    final Map<Run.Key, Run> runs = new LinkedHashMap<>();

    /** Reported runs that this owner does not track, with the time at which their stop is due. */
    final Map<Run.Key, Long> unknownRuns = new HashMap<>();

    WorkerInfo info;

    /** False once the worker is no longer in the worker list. */
    boolean listed = true;

    long unlistedAt;

    /** True once the worker has reported to this owner. */
    boolean hasReported;

    /**
     * True if its last report may lack ends of runs, which it lists once those before them are
     * acknowledged.
     */
    boolean mayHaveMoreEnds;

    /** True while lease calls and orders reach the worker. */
    boolean reachable;

    long lastReportAt;

    /** When the lease call was sent that returned the last report. */
    long lastReportSentAt;

    /**
     * A time at which the worker was alive. A reply shows that it was when the call was sent; the
     * reply itself may be handled late.
     */
    long lastAliveAt;

    /** When the last lease call was sent. */
    long calledAt;

    /** How long the worker may wait before it answers the last lease call. */
    long calledWaitMillis;

    /** Address to which the last lease call went. */
    String calledAddress = "";

    /** Address from which the worker has reported, empty if it has not. */
    String reportedAddress = "";

    /** True if the young runs were recorded as lost since the worker became unreachable. */
    boolean lossRecorded;

    /** The task for which the worker is kept free of other starts; see {@link CrashTrials}. */
    Optional<Task> trialTask = Optional.empty();

    /**
     * Identifies the process of the worker by its wall-clock start in milliseconds, 0 if unknown.
     */
    long incarnation;

    /** When the present incarnation first reported to this owner. */
    long incarnationSeenAt;

    /** Sequence number of the last end of a run that was applied. */
    long lastAppliedEnd;

    /** Sequence number of the last end of a run that is stored and may be acknowledged. */
    long lastStoredEnd;

    /** True if orders to stop runs may have to be sent or repeated. */
    boolean hasPendingStops;

    /** Time since which the end of a run has waited for its job to be read, 0 if none waits. */
    long awaitingJobSince;

    /** Time before which nothing is started on this worker. */
    long noStartBefore;

    /** Sum of the processor that the filling tasks request. */
    long fillDemandMilliCores;

    /**
     * By filling image, the share of the processor in use. It is smoothed, since response times
     * follow the use with a delay.
     */
    final Map<String, Double> smoothedFillShares = new HashMap<>();

    long fillSharesUpdatedAt;

    /** True if the last report showed a serving task over its target. */
    boolean hasServingOverTarget;

    /** Cached result of the last search for the least headroom that a filling step would leave. */
    Optional<WorkerSelector.MinHeadroom> minHeadroom = Optional.empty();

    /** Sum of the processor that the lasting tasks request. */
    long lastingReservedMilliCores;

    /** Monotonic time after which no run is active here unless the lease is renewed. */
    long leaseExpiresAt;

    /** One run for each load of serving tasks, by the key of the load. */
    private final Map<String, Run> servingRunByLoad = new HashMap<>();

    private final CustomerUsage usage;

    /** Number of runs added and removed so far. */
    private long runChangeCount;

    private boolean clockReadingValid;

    /** Last reading of the worker's clock. */
    private long clockReading;

    /** Monotonic time of this process at which the reading arrived. */
    private long clockReadAt;

    private Resources reserved = Resources.ZERO;

    Worker(WorkerInfo info, long leaseExpiresAt, CustomerUsage usage) {
        this.id = info.id();
        this.info = info;
        this.incarnation = info.startedAtMillis();
        this.leaseExpiresAt = leaseExpiresAt;
        this.usage = usage;
    }

    /** Returns the resources that its runs reserve. */
    Resources reserved() {
        return reserved;
    }

    boolean hasClockReading() {
        return clockReadingValid;
    }

    /** Converts an amount of processor to a share of this worker's capacity. */
    double processorShare(double milliCores) {
        return milliCores / Math.max(1, info.capacity().milliCores());
    }

    /** Returns whether it has reported all of its runs and their ends to this owner. */
    boolean hasReportedAll() {
        return hasReported && !mayHaveMoreEnds;
    }

    boolean fits(StepSpec step) {
        return reserved.plus(step.reservedResources()).isWithin(info.capacity());
    }

    /** Estimates the processor, in milli-cores, that other tasks leave to filling ones. */
    long spareMilliCores() {
        double lastingUse = LASTING_USE_SHARE * lastingReservedMilliCores;
        long otherMilliCores = reserved.milliCores() - lastingReservedMilliCores;
        return Math.max(0, info.capacity().milliCores() - otherMilliCores - Math.round(lastingUse));
    }

    void add(Run run) {
        runChangeCount++;
        runs.put(run.key(), run);
        run.task.step.onRunAdded(this);
        reserved = reserved.plus(run.spec().reservedResources());
        usage.add(run);
        addMilliCores(run, 1);
        if (run.isServing()) {
            servingRunByLoad.putIfAbsent(run.loadKey(), run);
        }
    }

    void remove(Run run) {
        if (runs.remove(run.key()) == null) {
            return;
        }
        run.task.step.onRunRemoved(this);
        runChangeCount++;
        reserved = reserved.minus(run.spec().reservedResources());
        usage.remove(run);
        addMilliCores(run, -1);
        if (servingRunByLoad.remove(run.loadKey(), run)) {
            replaceServingRun(run.loadKey());
        }
    }

    private void replaceServingRun(String load) {
        for (Run other : runs.values()) {
            if (other.isServing() && other.loadKey().equals(load)) {
                servingRunByLoad.put(load, other);
                return;
            }
        }
    }

    void wasAliveAt(long time) {
        lastAliveAt = Math.max(lastAliveAt, time);
    }

    /** Returns the runs that have not shown yet that they do not crash the worker. */
    List<Run> youngRuns() {
        List<Run> young = new ArrayList<>();
        for (Run run : runs.values()) {
            if (run.isYoung()) {
                young.add(run);
            }
        }
        return young;
    }

    /** Returns how many runs were added and removed so far; caches use it to detect changes. */
    long runChangeCount() {
        return runChangeCount;
    }

    /** Returns one run of each load of serving tasks. */
    Collection<Run> servingRunPerLoad() {
        return servingRunByLoad.values();
    }

    private void addMilliCores(Run run, int sign) {
        long milliCores = sign * run.spec().resources().milliCores();
        if (run.spec().isFilling()) {
            fillDemandMilliCores += milliCores;
        } else if (run.spec().isLasting()) {
            lastingReservedMilliCores += milliCores;
        }
    }

    /**
     * Starts or continues to wait until a job is read; returns false once the wait has timed out.
     */
    boolean mayWaitForJob(long now) {
        awaitingJobSince = awaitingJobSince == 0 ? now : awaitingJobSince;
        return now - awaitingJobSince < JOB_READ_TIMEOUT_MILLIS;
    }

    /** Returns whether the worker has listed ends that cannot be acknowledged yet. */
    boolean hasUnstoredEnds() {
        return lastAppliedEnd > lastStoredEnd || awaitingJobSince > 0;
    }

    /**
     * Returns whether a report is needed to find out if a start without a reply was carried out.
     */
    boolean hasUnansweredStart() {
        for (Run run : runs.values()) {
            if (run.startUnanswered && (!run.isStopping() || run.stopConfirmedAt != 0)) {
                return true;
            }
        }
        return false;
    }

    /** Records a reading of the worker's clock, which was taken no later than its receipt. */
    void onClockReading(long reading, long receivedAt) {
        clockReadingValid = true;
        clockReading = reading;
        clockReadAt = receivedAt;
    }

    long lastClockReading() {
        return clockReading;
    }

    void discardClockReading() {
        clockReadingValid = false;
    }

    /**
     * Grants a lease, and extends the time after which the lease of this worker has certainly
     * expired.
     *
     * @return the end of the lease on the worker's clock
     */
    long grantLease(long now, LeaseTimes times, long mayOrderUntil) {
        long millisAfterReading = now - clockReadAt + times.newLeaseMillis(now, mayOrderUntil);
        leaseExpiresAt =
                Math.max(leaseExpiresAt, clockReadAt + times.maxLocalMillis(millisAfterReading));
        return clockReading + millisAfterReading;
    }

    /** Returns the number of runs that have a target for their response times. */
    int servingRunCount() {
        int count = 0;
        for (Run run : runs.values()) {
            if (run.isServing()) {
                count++;
            }
        }
        return count;
    }
}
