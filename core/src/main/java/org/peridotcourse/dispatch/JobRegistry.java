package org.peridotcourse.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** Adds and ends jobs, and tracks which records must be stored. Confined to one thread. */
final class JobRegistry {
    private final OwnerState state;

    /** By job, the monotonic time at which the first occurrence is due. */
    private final Map<String, Long> firstDueAt = new HashMap<>();

    /**
     * Jobs whose end is stored. They are kept so that a job row that is read late does not add the
     * job again.
     */
    private final Set<String> endedJobs = new HashSet<>();

    /**
     * Jobs whose cancellation was read before the job itself. Jobs and cancellations are read from
     * separate feeds.
     */
    private final Set<String> cancelledBeforeRead = new HashSet<>();

    JobRegistry(OwnerState state) {
        this.state = state;
    }

    /**
     * Adds a job, unless it was added already or has ended.
     *
     * @param inherited true if an earlier owner may have started tasks of the job
     */
    void add(StoredJob storedJob, boolean inherited, long now, long wallNow) {
        if (state.jobs.containsKey(storedJob.id()) || endedJobs.contains(storedJob.id())) {
            return;
        }
        if (storedJob.record().state().isFinal()) {
            endedJobs.add(storedJob.id());
            return;
        }
        long age = Math.max(0, wallNow - storedJob.acceptedAtMillis());
        long acceptedAt = now - age;
        Job job = new Job(storedJob, acceptedAt, now, inherited, state.term.lastEarlierAttempt());
        Schedule schedule = storedJob.spec().schedule();
        long firstDue = schedule.isTimed() ? now + schedule.startAtMillis() - wallNow : acceptedAt;
        firstDueAt.put(job.id, firstDue);
        state.jobs.put(job.id, job);
        state.rates.onJobAccepted(job, storedJob.acceptedAtMillis());
        state.planDue = true;
        storedJob.record().tasks().forEach(record -> restore(job, record, firstDue, now));
        job.openDue(now, firstDue);
        state.log(
                Decision.Kind.JOB_KNOWN,
                job.id,
                null,
                "queue="
                        + storedJob.queueRules().name()
                        + " age="
                        + age
                        + " inherited="
                        + inherited
                        + " steps="
                        + storedJob.spec().toSummary());
        if (cancelledBeforeRead.remove(job.id)) {
            end(job, JobState.CANCELLED, now, " ahead=true");
        }
        completeIfDone(job, now);
    }

    private void restore(Job job, JobRecord.TaskRecord record, long firstDue, long now) {
        TaskRef ref = new TaskRef(job.id, record.occurrence(), record.step(), record.index());
        job.openOccurrenceOf(ref, now, firstDue)
                .ifPresent(
                        task -> {
                            task.failedAttempts.addAll(record.failedAttempts());
                            task.checkpoint = record.checkpoint();
                            state.crashes.restore(task, record.lostRuns(), now);
                            if (record.done()) {
                                task.step.markDone(task);
                            }
                        });
    }

    /** Opens the occurrences of timed jobs that are due. */
    void openDueOccurrences(long now) {
        for (Job job : state.jobs.values()) {
            if (job.isActive() && job.spec.schedule().isTimed()) {
                job.openDue(now, firstDueAt.get(job.id));
            }
        }
    }

    /** Opens the occurrence of a task that a worker reports. */
    void openOccurrenceOf(TaskRef ref, long now) {
        Job job = state.jobs.get(ref.job());
        if (job != null && ref.occurrence() < job.spec.schedule().occurrences()) {
            job.openOccurrenceOf(ref, now, firstDueAt.get(job.id));
        }
    }

    void cancel(String id, long now) {
        Job job = state.jobs.get(id);
        if (job != null && job.isActive()) {
            end(job, JobState.CANCELLED, now, "");
        } else if (job == null && !endedJobs.contains(id)) {
            cancelledBeforeRead.add(id);
        }
    }

    /** Ends an active job as completed if all of its tasks are done. */
    void completeIfDone(Job job, long now) {
        if (!job.isActive()) {
            return;
        }
        if (job.isComplete()) {
            end(job, JobState.COMPLETED, now, "");
        }
    }

    /**
     * Counts a failed run against its task, and fails the job after the maximum number of attempts.
     */
    void onRunFailed(Task task, int attempt, long now) {
        Job job = task.job();
        if (task.step.spec.isLasting() || task.hasCountedFailure(attempt)) {
            return;
        }
        task.failedAttempts.add(attempt);
        task.failedUnderThisOwner = true;
        job.hasUnstoredChanges = true;
        int failures = failureCount(task);
        if (job.isActive() && failures >= state.queueRules(job).maxAttempts()) {
            end(job, JobState.FAILED, now, " task=" + task.ref + " failures=" + failures);
        }
    }

    /** Fails the job of a task that crashes the workers that start it. */
    void failForCrashes(Task task, long now) {
        Job job = task.job();
        if (job.isActive()) {
            int crashes = state.crashes.lossCount(task);
            end(job, JobState.FAILED, now, " task=" + task.ref + " crashes=" + crashes);
        }
    }

    /**
     * Returns the number of failed attempts of a task. The members of a gang fail together, so an
     * attempt counts once for all of them.
     */
    static int failureCount(Task task) {
        if (!task.step.spec.isGang()) {
            return task.failedAttempts.size();
        }
        Set<Integer> attempts = new HashSet<>();
        for (Task member : task.step.tasks) {
            attempts.addAll(member.failedAttempts);
        }
        return attempts.size();
    }

    private void end(Job job, JobState finalState, long now, String detail) {
        job.end(finalState, now);
        state.log(
                Decision.Kind.JOB_ENDED,
                job.id,
                null,
                "state=" + finalState.code() + " age=" + (now - job.acceptedAt) + detail);
        for (Occurrence occurrence : job.occurrences) {
            for (Step step : occurrence.steps) {
                for (Task task : step.tasks) {
                    task.runs.forEach(run -> run.requestStop(StopReason.JOB_ENDED, now));
                }
            }
        }
    }

    /**
     * Returns the records that have changed since the last call. The ends that a worker reported
     * are acknowledged with the batch only if it contains all jobs that they changed.
     *
     * @param deferred true for jobs whose changes must wait for a later batch
     */
    RecordBatch takeChanges(int limit, Predicate<String> deferred, long now, long wallNow) {
        List<RecordBatch.Change> changes = new ArrayList<>();
        Set<String> workersOfDeferredEnds = new HashSet<>();
        for (Job job : state.jobs.values()) {
            if (!job.hasUnstoredChanges) {
                continue;
            }
            if (changes.size() < limit && !deferred.test(job.id)) {
                changes.add(toChange(job, now, wallNow));
            } else {
                workersOfDeferredEnds.addAll(job.workersOfUnstoredEnds);
            }
        }
        Map<String, RecordBatch.AckCursor> ackCursors = new HashMap<>();
        for (Worker worker : state.workers.values()) {
            if (worker.lastAppliedEnd > worker.lastStoredEnd
                    && !workersOfDeferredEnds.contains(worker.id)) {
                ackCursors.put(
                        worker.id,
                        new RecordBatch.AckCursor(worker.incarnation, worker.lastAppliedEnd));
            }
        }
        return new RecordBatch(changes, ackCursors);
    }

    private static RecordBatch.Change toChange(Job job, long now, long wallNow) {
        long endedAt = job.isActive() ? 0 : wallNow - (now - job.endedAt);
        List<JobRecord.TaskRecord> tasks = job.isActive() ? job.taskRecords() : List.of();
        RecordBatch.Change change =
                new RecordBatch.Change(
                        job.id,
                        ++job.recordsTaken,
                        new JobRecord(job.state, endedAt, tasks),
                        job.workersOfUnstoredEnds);
        job.hasUnstoredChanges = false;
        job.workersOfUnstoredEnds.clear();
        return change;
    }

    /** Records that a batch is stored, so that its ends may be acknowledged. */
    void onStored(RecordBatch batch) {
        batch.ackCursors()
                .forEach(
                        (id, cursor) -> {
                            Worker worker = state.workers.get(id);
                            if (worker != null && worker.incarnation == cursor.incarnation()) {
                                worker.lastStoredEnd =
                                        Math.max(worker.lastStoredEnd, cursor.lastEnd());
                            }
                        });
        for (RecordBatch.Change change : batch.changes()) {
            Job job = state.jobs.get(change.job());
            if (job != null) {
                job.recordsStored = Math.max(job.recordsStored, change.number());
            }
            if (change.record().state().isFinal() && job != null && !job.hasUnstoredChanges) {
                endedJobs.add(job.id);
                removeIfIdle(job);
            }
        }
    }

    /** Handles a batch that could not be stored; its changes become part of a later batch. */
    void onNotStored(RecordBatch batch) {
        for (RecordBatch.Change change : batch.changes()) {
            Job job = state.jobs.get(change.job());
            if (job != null) {
                job.hasUnstoredChanges = true;
                job.workersOfUnstoredEnds.addAll(change.workersOfEnds());
            }
        }
    }

    /** Removes jobs whose end is stored and that have no runs. */
    void removeStoredEndedJobs() {
        List<Job> endedAndStored = new ArrayList<>();
        for (Job job : state.jobs.values()) {
            if (!job.isActive() && endedJobs.contains(job.id)) {
                endedAndStored.add(job);
            }
        }
        endedAndStored.forEach(this::removeIfIdle);
    }

    private void removeIfIdle(Job job) {
        if (!job.hasRuns()) {
            state.jobs.remove(job.id);
            firstDueAt.remove(job.id);
            state.tailModel.removeJob(job.id);
        }
    }

    /** Removes what is still held about a job whose rows were deleted. */
    void onJobDeleted(String id) {
        cancelledBeforeRead.remove(id);
        endedJobs.remove(id);
    }

    /** Records that a job ended under an earlier owner. */
    void onJobEnded(String id) {
        endedJobs.add(id);
    }

    /** Returns whether a job has been read from the store, including jobs that have ended. */
    boolean wasRead(String id) {
        return state.jobs.containsKey(id) || endedJobs.contains(id);
    }
}
