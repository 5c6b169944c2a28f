package org.peridotcourse.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.peridotcourse.Resources;

/** What the owner knows of one worker. Confined to one thread. */
final class Worker {
    /** Share of their reservation that lasting tasks use at a busy time. */
    private static final double LASTING_USE = 0.6;

    /** Time in which a job that a worker reports on is read from the store. */
    static final long JOB_READ_MILLIS = 3_000;

    final String id;
    final WorkerHealth health = new WorkerHealth();
    final Map<Run.Key, Run> runs = new LinkedHashMap<>();

    /** Runs that belong to no known task, with the time of their next stop. */
    final Map<Run.Key, Long> strays = new HashMap<>();

    WorkerInfo info;

    /** False once the worker has left the list of workers. */
    boolean listed = true;

    long unlistedAt;

    /** True once it has reported to this owner. */
    boolean counted;

    boolean reachable;
    long lastReportAt;
    long life;

    /** Number of the last end that was applied, and of the last one that is stored. */
    long seenEnd;

    long storedEnd;

    /** True if a run may be waiting for its stop to be sent. */
    boolean hasStops;

    /** Since when an end waits for its job to be read, 0 if none does. */
    long awaitingJobSince;

    /** No start before this time. */
    long avoidUntil;

    /** Processor that filling tasks would like to use. */
    long fillMilliCores;

    /** By filling image, the share of the processor in use, delayed as its effects are. */
    final Map<String, Double> fillUses = new HashMap<>();

    long fillUsesAt;

    /** What was last found out about a filling step. */
    Optional<WorkerChoice.Tightest> tightest = Optional.empty();

    /** Processor that is reserved for lasting tasks. */
    long lastingMilliCores;

    /** Monotonic time after which no run of this worker is alive without a renewal. */
    long leaseOverAt;

    /** One run for each load of serving tasks. */
    private final Map<String, Run> servingLoads = new HashMap<>();

    private final CustomerUsage usage;

    /** Counts changes of the runs. */
    private long changes;

    private boolean hasClock;
    private long clock;
    private long clockAt;
    private Resources used = Resources.ZERO;

    Worker(WorkerInfo info, long leaseOverAt, CustomerUsage usage) {
        this.id = info.id();
        this.info = info;
        this.life = info.bornMillis();
        this.leaseOverAt = leaseOverAt;
        this.usage = usage;
    }

    Resources used() {
        return used;
    }

    boolean hasClock() {
        return hasClock;
    }

    /** The share of the processor that an amount of it is. */
    double share(double milliCores) {
        return milliCores / Math.max(1, info.capacity().milliCores());
    }

    boolean fits(StepSpec step) {
        return used.plus(step.reserved()).isWithin(info.capacity());
    }

    /** Processor that the other tasks probably leave to filling ones. */
    long spareMilliCores() {
        double usual = LASTING_USE * lastingMilliCores;
        long others = used.milliCores() - lastingMilliCores;
        return Math.max(0, info.capacity().milliCores() - others - Math.round(usual));
    }

    void add(Run run) {
        changes++;
        runs.put(run.key(), run);
        run.task.step.onRunAdded(this);
        used = used.plus(run.spec().reserved());
        usage.add(run);
        count(run, 1);
        if (run.isServing()) {
            servingLoads.putIfAbsent(run.load(), run);
        }
    }

    void remove(Run run) {
        if (runs.remove(run.key()) == null) {
            return;
        }
        run.task.step.onRunRemoved(this);
        changes++;
        used = used.minus(run.spec().reserved());
        usage.remove(run);
        count(run, -1);
        if (servingLoads.remove(run.load(), run)) {
            findServing(run.load());
        }
    }

    private void findServing(String load) {
        for (Run other : runs.values()) {
            if (other.isServing() && other.load().equals(load)) {
                servingLoads.put(load, other);
                return;
            }
        }
    }

    /** Returns a number that grows with each run that begins or ends here. */
    long changes() {
        return changes;
    }

    /** Returns one run for each load of serving tasks. */
    Collection<Run> servingLoads() {
        return servingLoads.values();
    }

    private void count(Run run, int sign) {
        long milliCores = sign * run.spec().need().milliCores();
        if (run.spec().isFilling()) {
            fillMilliCores += milliCores;
        } else if (run.spec().isLasting()) {
            lastingMilliCores += milliCores;
        }
    }

    /** Tells whether an end of a job that is not read waits for it, and no longer than it may. */
    boolean awaitsJob(long now) {
        awaitingJobSince = awaitingJobSince == 0 ? now : awaitingJobSince;
        return now - awaitingJobSince < JOB_READ_MILLIS;
    }

    /** Tells whether ends are listed that cannot be acknowledged yet. */
    boolean hasUnstoredEnds() {
        return seenEnd > storedEnd || awaitingJobSince > 0;
    }

    /** Tells whether a report must show what became of a start without an answer. */
    boolean hasUnansweredStart() {
        for (Run run : runs.values()) {
            if (run.unanswered && (!run.isStopping() || run.stopConfirmedAt != 0)) {
                return true;
            }
        }
        return false;
    }

    /** Takes a reading of the worker's clock; it was taken no later than its receipt. */
    void readClock(long reading, long receivedAt) {
        hasClock = true;
        clock = reading;
        clockAt = receivedAt;
    }

    long lastClock() {
        return clock;
    }

    void forgetClock() {
        hasClock = false;
    }

    /** Returns the end of a new lease on the worker's clock, and notes when it is over here. */
    long grant(long now, LeaseTimes times, long orderUntil) {
        long length = now - clockAt + times.lengthMillis(now, orderUntil);
        leaseOverAt = Math.max(leaseOverAt, clockAt + times.longestMillis(length));
        return clock + length;
    }

    /** Serving tasks with a bound of their response time. */
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
