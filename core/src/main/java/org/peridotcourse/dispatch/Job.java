package org.peridotcourse.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** A job with its progress, until its end is stored. Confined to one thread. */
final class Job {
    final String id;
    final JobSpec spec;

    /** The rules of its queue when it was accepted. */
    final QueueRules rulesAtAcceptance;

    /** Name of the customer, empty if the job belongs to none. */
    final Optional<String> customer;

    /** Monotonic time of the acceptance, by the clock of this process. */
    final long acceptedAt;

    /** Monotonic time at which this owner read it from the store. */
    final long readAt;

    /** True if an earlier owner may have started tasks of this job. */
    final boolean inherited;

    /** The occurrences that have been opened. */
    final List<Occurrence> occurrences = new ArrayList<>(1);

    JobState state;

    /** True if its customer exceeded its entitled rate when it submitted the job. */
    boolean overRate;

    /** True once a task has started. */
    boolean started;

    /** True while the stored record is older than the state in memory. */
    boolean hasUnstoredChanges;

    /**
     * Ids of workers whose reported ends changed this job since its record last went into a batch.
     */
    final Set<String> workersOfUnstoredEnds = new HashSet<>();

    /** Number of records that went into a batch to be stored. */
    int recordsTaken;

    /** Number of the latest of these records that is stored. */
    int recordsStored;

    /** Monotonic time at which the job ended. */
    long endedAt;

    private final int lastEarlierAttempt;

    /** By the number of the step, the duration of the critical path from there. */
    private final long[] criticalPathsMillis;

    /** Number of occurrences that have been opened. */
    private int openedCount;

    Job(
            StoredJob storedJob,
            long acceptedAt,
            long readAt,
            boolean inherited,
            int lastEarlierAttempt) {
        this.id = storedJob.id();
        this.spec = storedJob.spec();
        this.rulesAtAcceptance = storedJob.queueRules();
        this.customer = storedJob.customer();
        this.criticalPathsMillis = spec.criticalPathsMillis();
        this.acceptedAt = acceptedAt;
        this.readAt = readAt;
        this.inherited = inherited;
        this.lastEarlierAttempt = lastEarlierAttempt;
        this.state = storedJob.record().state();
        this.started = state != JobState.QUEUED;
    }

    /** Returns {@link JobSpec#criticalPathMillis}, which is computed once. */
    long criticalPathMillis(int from) {
        return criticalPathsMillis[from];
    }

    /** Requests that the record is stored, and returns the number that it will have. */
    int requestRecord() {
        hasUnstoredChanges = true;
        return recordsTaken + 1;
    }

    /** Opens the occurrences that are due. */
    void openDue(long now, long firstDueAt) {
        Schedule schedule = spec.schedule();
        while (openedCount < schedule.occurrences()) {
            long dueAt = firstDueAt + openedCount * schedule.intervalMillis();
            if (now < dueAt) {
                return;
            }
            occurrences.add(new Occurrence(this, openedCount, dueAt, lastEarlierAttempt, now));
            openedCount++;
        }
    }

    /** Opens all occurrences up to that of a task that has progress, and returns the task. */
    Optional<Task> openOccurrenceOf(TaskRef ref, long now, long firstDueAt) {
        long interval = spec.schedule().intervalMillis();
        while (openedCount <= ref.occurrence() && openedCount < spec.schedule().occurrences()) {
            long dueAt = firstDueAt + openedCount * interval;
            occurrences.add(new Occurrence(this, openedCount, dueAt, lastEarlierAttempt, now));
            openedCount++;
        }
        return task(ref);
    }

    Optional<Task> task(TaskRef ref) {
        for (Occurrence occurrence : occurrences) {
            if (occurrence.number == ref.occurrence()) {
                return taskIn(occurrence, ref);
            }
        }
        return Optional.empty();
    }

    private static Optional<Task> taskIn(Occurrence occurrence, TaskRef ref) {
        if (ref.step() >= occurrence.steps.length) {
            return Optional.empty();
        }
        Task[] tasks = occurrence.steps[ref.step()].tasks;
        return ref.index() < tasks.length ? Optional.of(tasks[ref.index()]) : Optional.empty();
    }

    boolean isComplete() {
        if (openedCount < spec.schedule().occurrences()) {
            return false;
        }
        for (Occurrence occurrence : occurrences) {
            if (!occurrence.isDone()) {
                return false;
            }
        }
        return true;
    }

    boolean isActive() {
        return !state.isFinal();
    }

    /** Returns whether any task has a run. */
    boolean hasRuns() {
        for (Occurrence occurrence : occurrences) {
            for (Step step : occurrence.steps) {
                for (Task task : step.tasks) {
                    if (task.hasRuns()) {
                        return true;
                    }
                }
            }
        }
        return false;
    }

    void end(JobState finalState, long now) {
        state = finalState;
        endedAt = now;
        hasUnstoredChanges = true;
    }

    List<JobRecord.TaskRecord> taskRecords() {
        List<JobRecord.TaskRecord> records = new ArrayList<>();
        for (Occurrence occurrence : occurrences) {
            for (Step step : occurrence.steps) {
                for (Task task : step.tasks) {
                    if (task.hasProgress()) {
                        records.add(task.toRecord());
                    }
                }
            }
        }
        return records;
    }
}
