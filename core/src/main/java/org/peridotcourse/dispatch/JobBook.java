package org.peridotcourse.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** Takes jobs in, ends them and keeps track of what must be stored. Confined to one thread. */
final class JobBook {
    private final OwnerState state;
    private final Map<String, Long> firstDueAt = new HashMap<>();

    /** Jobs that ended in memory or in the store, so that a late row does not revive them. */
    private final Set<String> ended = new HashSet<>();

    /** Cancellations that overtook their jobs, since both come by feeds of their own. */
    private final Set<String> cancelledAhead = new HashSet<>();

    JobBook(OwnerState state) {
        this.state = state;
    }

    /**
     * Takes a job in.
     *
     * @param inherited true if an earlier owner may have started tasks
     */
    void add(JobEntry entry, boolean inherited, long now, long wallNow) {
        if (state.jobs.containsKey(entry.id()) || ended.contains(entry.id())) {
            return;
        }
        if (entry.record().state().isFinal()) {
            ended.add(entry.id());
            return;
        }
        long age = Math.max(0, wallNow - entry.acceptedAtMillis());
        long acceptedAt = now - age;
        Job job = new Job(entry, acceptedAt, inherited, state.term.attemptFloor());
        Schedule schedule = entry.spec().schedule();
        long first = schedule.isTimed() ? now + schedule.startAtMillis() - wallNow : acceptedAt;
        firstDueAt.put(job.id, first);
        state.jobs.put(job.id, job);
        state.rates.onJob(job, entry.acceptedAtMillis());
        state.planDue = true;
        entry.record().tasks().forEach(record -> restore(job, record, first, now));
        job.openDue(now, first);
        state.log(
                Decision.Kind.JOB_KNOWN,
                job.id,
                null,
                "queue="
                        + entry.queue().name()
                        + " age="
                        + age
                        + " inherited="
                        + inherited
                        + " steps="
                        + entry.spec().toSummary());
        if (cancelledAhead.remove(job.id)) {
            end(job, JobState.CANCELLED, now, " ahead=true");
        }
        settle(job, now);
    }

    private static void restore(Job job, JobRecord.TaskRecord record, long first, long now) {
        TaskRef ref = new TaskRef(job.id, record.occurrence(), record.step(), record.index());
        job.openTask(ref, now, first)
                .ifPresent(
                        task -> {
                            task.failedAttempts.addAll(record.failedAttempts());
                            task.checkpoint = record.checkpoint();
                            if (record.done()) {
                                task.step.markDone(task);
                            }
                        });
    }

    /** Opens occurrences whose time has come. */
    void openDue(long now) {
        for (Job job : state.jobs.values()) {
            if (job.isActive() && job.spec.schedule().isTimed()) {
                job.openDue(now, firstDueAt.get(job.id));
            }
        }
    }

    /** Opens the occurrence of a task that a worker lists. */
    void openFor(TaskRef ref, long now) {
        Job job = state.jobs.get(ref.job());
        if (job != null && ref.occurrence() < job.spec.schedule().occurrences()) {
            job.openTask(ref, now, firstDueAt.get(job.id));
        }
    }

    void cancel(String id, long now) {
        Job job = state.jobs.get(id);
        if (job != null && job.isActive()) {
            end(job, JobState.CANCELLED, now, "");
        } else if (job == null && !ended.contains(id)) {
            cancelledAhead.add(id);
        }
    }

    /** Ends a job whose tasks are all done, or of which one has failed too often. */
    void settle(Job job, long now) {
        if (!job.isActive()) {
            return;
        }
        if (job.isComplete()) {
            end(job, JobState.COMPLETED, now, "");
        }
    }

    /** Counts a failed run against its task. */
    void onFailure(Task task, int attempt, long now) {
        Job job = task.job();
        if (task.step.spec.isLasting() || task.isKnownFailure(attempt)) {
            return;
        }
        task.failedAttempts.add(attempt);
        task.failedHere = true;
        job.changed = true;
        int failures = failuresOf(task);
        if (job.isActive() && failures >= state.rules(job).maxAttempts()) {
            end(job, JobState.FAILED, now, " task=" + task.ref + " failures=" + failures);
        }
    }

    /** The members of a gang fail together, so a start counts once for all of them. */
    static int failuresOf(Task task) {
        if (!task.step.spec.isGang()) {
            return task.failedAttempts.size();
        }
        Set<Integer> attempts = new HashSet<>();
        for (Task member : task.step.tasks) {
            attempts.addAll(member.failedAttempts);
        }
        return attempts.size();
    }

    private void end(Job job, JobState last, long now, String detail) {
        job.end(last, now);
        state.log(
                Decision.Kind.JOB_ENDED,
                job.id,
                null,
                "state=" + last.code() + " age=" + (now - job.acceptedAt) + detail);
        for (Occurrence occurrence : job.occurrences) {
            for (Step step : occurrence.steps) {
                for (Task task : step.tasks) {
                    task.runs.forEach(run -> run.requestStop(StopReason.JOB_ENDED, now));
                }
            }
        }
    }

    /**
     * Returns what has changed since the last call. Ends of a worker are acknowledged with the
     * batch only if no job that they changed is left out.
     *
     * @param leftOut tells which jobs wait for a later batch
     */
    RecordBatch takeChanges(int limit, Predicate<String> leftOut, long now, long wallNow) {
        List<RecordBatch.Change> changes = new ArrayList<>();
        Set<String> waiting = new HashSet<>();
        for (Job job : state.jobs.values()) {
            if (!job.changed) {
                continue;
            }
            if (changes.size() < limit && !leftOut.test(job.id)) {
                changes.add(take(job, now, wallNow));
            } else {
                waiting.addAll(job.unstoredEnds);
            }
        }
        Map<String, RecordBatch.Cursor> cursors = new HashMap<>();
        for (Worker worker : state.workers.values()) {
            if (worker.seenEnd > worker.storedEnd && !waiting.contains(worker.id)) {
                cursors.put(worker.id, new RecordBatch.Cursor(worker.life, worker.seenEnd));
            }
        }
        return new RecordBatch(changes, cursors);
    }

    private static RecordBatch.Change take(Job job, long now, long wallNow) {
        long endedAt = job.isActive() ? 0 : wallNow - (now - job.endedAt);
        List<JobRecord.TaskRecord> tasks = job.isActive() ? job.taskRecords() : List.of();
        RecordBatch.Change change =
                new RecordBatch.Change(
                        job.id, new JobRecord(job.state, endedAt, tasks), job.unstoredEnds);
        job.changed = false;
        job.unstoredEnds.clear();
        return change;
    }

    /** Takes note that a batch is stored. */
    void onStored(RecordBatch batch) {
        batch.cursors()
                .forEach(
                        (id, cursor) -> {
                            Worker worker = state.workers.get(id);
                            if (worker != null && worker.life == cursor.life()) {
                                worker.storedEnd = Math.max(worker.storedEnd, cursor.end());
                            }
                        });
        for (RecordBatch.Change change : batch.changes()) {
            Job job = state.jobs.get(change.job());
            if (change.record().state().isFinal() && job != null && !job.changed) {
                ended.add(job.id);
                dropIfIdle(job);
            }
        }
    }

    /** Takes note that a batch is not stored, so that it is taken again. */
    void onNotStored(RecordBatch batch) {
        for (RecordBatch.Change change : batch.changes()) {
            Job job = state.jobs.get(change.job());
            if (job != null) {
                job.changed = true;
                job.unstoredEnds.addAll(change.workers());
            }
        }
    }

    /** Forgets ended jobs that are stored and of which nothing runs. */
    void forgetEnded() {
        List<Job> stored = new ArrayList<>();
        for (Job job : state.jobs.values()) {
            if (!job.isActive() && ended.contains(job.id)) {
                stored.add(job);
            }
        }
        stored.forEach(this::dropIfIdle);
    }

    private void dropIfIdle(Job job) {
        if (!job.hasRuns()) {
            state.jobs.remove(job.id);
            firstDueAt.remove(job.id);
            state.tails.forget(job.id);
        }
    }

    /** Forgets that a job existed, once its rows are removed. */
    void forget(String id) {
        cancelledAhead.remove(id);
        ended.remove(id);
    }

    void onEnded(String id) {
        ended.add(id);
    }

    /** Tells whether a job was read, now or before its end. */
    boolean isKnown(String id) {
        return state.jobs.containsKey(id) || ended.contains(id);
    }
}
