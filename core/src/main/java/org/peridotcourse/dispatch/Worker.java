package org.peridotcourse.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.peridotcourse.Resources;

/** The owner's state of one worker. Confined to one thread. */
final class Worker {
    /** Share of their reserved processor that lasting tasks use at peak load. */
    private static final double LASTING_USE_SHARE = 0.6;

    /** Time within which a job must be read from the store after a worker has reported on it. */
    static final long JOB_READ_MILLIS = 3_000;

    final String id;
    final WorkerHealth health = new WorkerHealth();
    final Map<Run.Key, Run> runs = new LinkedHashMap<>();

    /** Reported runs of no known task, with the time at which their stop is next due. */
    final Map<Run.Key, Long> strays = new HashMap<>();

    WorkerInfo info;

    /** False once the worker is no longer in the worker list. */
    boolean listed = true;

    long unlistedAt;

    /** True once the worker has reported to this owner. */
    boolean counted;

    /** True while lease calls and orders reach the worker. */
    boolean reachable;

    long lastReportAt;

    /**
     * Identifies the process of the worker by its wall-clock start in milliseconds, 0 if unknown.
     */
    long life;

    /** Number of the last end of a run that was applied. */
    long seenEnd;

    /** Number of the last end of a run that is stored, which may be acknowledged. */
    long storedEnd;

    /** True if stops of runs may have to be sent. */
    boolean hasStops;

    /** Since when the end of a run has waited for its job to be read, 0 if none waits. */
    long awaitingJobSince;

    /** Time before which nothing is started on this worker. */
    long avoidUntil;

    /** Sum of the processor needs of filling tasks. */
    long fillMilliCores;

    /**
     * By filling image, the share of the processor in use. It is smoothed, since response times
     * follow the use with a delay.
     */
    final Map<String, Double> fillUses = new HashMap<>();

    long fillUsesAt;

    /** Cached result of the last search for the least headroom that a filling step would leave. */
    Optional<WorkerChoice.Tightest> tightest = Optional.empty();

    /** Sum of the processor needs of lasting tasks. */
    long lastingMilliCores;

    /** Monotonic time after which no run is active here unless the lease is renewed. */
    long leaseOverAt;

    /** One run for each load of serving tasks, by the key of the load. */
    private final Map<String, Run> runByServingLoad = new HashMap<>();

    private final CustomerUsage usage;

    /** Number of runs added and removed so far. */
    private long changes;

    private boolean hasClock;

    /** Last reading of the worker's clock. */
    private long clockReading;

    /** Monotonic time of this process at which the reading arrived. */
    private long clockReadAt;

    private Resources reserved = Resources.ZERO;

    Worker(WorkerInfo info, long leaseOverAt, CustomerUsage usage) {
        this.id = info.id();
        this.info = info;
        this.life = info.bornMillis();
        this.leaseOverAt = leaseOverAt;
        this.usage = usage;
    }

    /** Returns the resources that its runs reserve. */
    Resources used() {
        return reserved;
    }

    boolean hasClock() {
        return hasClock;
    }

    /** Converts an amount of processor to a share of this worker's capacity. */
    double share(double milliCores) {
        return milliCores / Math.max(1, info.capacity().milliCores());
    }

    boolean fits(StepSpec step) {
        return reserved.plus(step.reserved()).isWithin(info.capacity());
    }

    /** Estimates the processor, in milli-cores, that other tasks leave to filling ones. */
    long spareMilliCores() {
        double lastingUse = LASTING_USE_SHARE * lastingMilliCores;
        long otherMilliCores = reserved.milliCores() - lastingMilliCores;
        return Math.max(0, info.capacity().milliCores() - otherMilliCores - Math.round(lastingUse));
    }

    void add(Run run) {
        changes++;
        runs.put(run.key(), run);
        run.task.step.onRunAdded(this);
        reserved = reserved.plus(run.spec().reserved());
        usage.add(run);
        addMilliCores(run, 1);
        if (run.isServing()) {
            runByServingLoad.putIfAbsent(run.load(), run);
        }
    }

    void remove(Run run) {
        if (runs.remove(run.key()) == null) {
            return;
        }
        run.task.step.onRunRemoved(this);
        changes++;
        reserved = reserved.minus(run.spec().reserved());
        usage.remove(run);
        addMilliCores(run, -1);
        if (runByServingLoad.remove(run.load(), run)) {
            replaceServingRun(run.load());
        }
    }

    private void replaceServingRun(String load) {
        for (Run other : runs.values()) {
            if (other.isServing() && other.load().equals(load)) {
                runByServingLoad.put(load, other);
                return;
            }
        }
    }

    /** Returns how many runs were added and removed so far; caches use it to detect changes. */
    long changes() {
        return changes;
    }

    /** Returns one run of each load of serving tasks. */
    Collection<Run> servingLoads() {
        return runByServingLoad.values();
    }

    private void addMilliCores(Run run, int sign) {
        long milliCores = sign * run.spec().need().milliCores();
        if (run.spec().isFilling()) {
            fillMilliCores += milliCores;
        } else if (run.spec().isLasting()) {
            lastingMilliCores += milliCores;
        }
    }

    /** Starts or continues to wait until a job is read; false once the wait has timed out. */
    boolean awaitsJob(long now) {
        awaitingJobSince = awaitingJobSince == 0 ? now : awaitingJobSince;
        return now - awaitingJobSince < JOB_READ_MILLIS;
    }

    /** Tells whether the worker has listed ends that cannot be acknowledged yet. */
    boolean hasUnstoredEnds() {
        return seenEnd > storedEnd || awaitingJobSince > 0;
    }

    /** Tells whether a report is needed to find out if a start without a reply was carried out. */
    boolean hasUnansweredStart() {
        for (Run run : runs.values()) {
            if (run.unanswered && (!run.isStopping() || run.stopConfirmedAt != 0)) {
                return true;
            }
        }
        return false;
    }

    /** Records a reading of the worker's clock, which was taken no later than its receipt. */
    void readClock(long reading, long receivedAt) {
        hasClock = true;
        clockReading = reading;
        clockReadAt = receivedAt;
    }

    long lastClock() {
        return clockReading;
    }

    void forgetClock() {
        hasClock = false;
    }

    /**
     * Grants a lease, and extends the time at which the lease of this worker certainly has expired.
     *
     * @return the end of the lease on the worker's clock
     */
    long grant(long now, LeaseTimes times, long orderUntil) {
        long length = now - clockReadAt + times.lengthMillis(now, orderUntil);
        leaseOverAt = Math.max(leaseOverAt, clockReadAt + times.longestMillis(length));
        return clockReading + length;
    }

    /** Returns the number of runs that have a target for their response times. */
    int sensitiveRuns() {
        int count = 0;
        for (Run run : runs.values()) {
            if (run.isServing()) {
                count++;
            }
        }
        return count;
    }
}
