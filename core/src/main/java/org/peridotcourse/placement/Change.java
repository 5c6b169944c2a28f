package org.peridotcourse.placement;

import java.util.Optional;
import org.peridotcourse.DataCentreId;

/**
 * A change of rows that becomes effective as a whole: of one task, of one job, or of both.
 *
 * <p>Collected by {@link WriteBuffer}, applied when the write is committed. Confined to one thread.
 */
final class Change {
    /** The own task that changes, null for none. */
    final Task task;

    /** The job whose row changes, null for none. */
    final Job job;

    /** Intended state of the task, null if its row is removed. */
    TaskState next;

    int attempt;
    Worker worker;
    String checkpoint;

    /** The row is put into this data centre as queued and removed here. */
    DataCentreId moveTo;

    /** The worker's record of the ended attempt can be dropped after the write. */
    boolean release;

    int finished;
    int cancelled;
    JobState jobState;
    String reason;

    /** New owner of the creation of task rows; empty to leave it to others. */
    Optional<DataCentreId> claim;

    /** Task rows with these indexes are created. */
    int createFrom;

    int createTo;

    /** A row of another data centre that is taken over. */
    TaskRow foreign;

    /** The lease row that protects it must still have this commit. */
    DataCentreId peer;

    long peerCommit;

    private Change(Task task, Job job) {
        this.task = task;
        this.job = job;
        if (task != null) {
            attempt = task.attempt;
            worker = task.worker;
            checkpoint = task.checkpoint;
        }
    }

    /** Returns a change of a task that stays in this data centre. */
    static Change of(Task task, TaskState next) {
        Change change = new Change(task, null);
        change.next = next;
        if (!next.isPlaced()) {
            change.worker = null;
        }
        return change;
    }

    /** Returns a change of a task together with its job's state. */
    static Change of(Task task, TaskState next, JobState jobState, String reason) {
        Change change = new Change(task, task.job);
        change.next = next;
        change.worker = null;
        change.jobState = jobState;
        change.reason = reason;
        return change;
    }

    /** Returns a creation of tasks of a job or of a replica group. */
    static Change creation(Job job, int from, int to) {
        Change change = new Change(null, job);
        change.createFrom = from;
        change.createTo = to;
        return change;
    }

    /** Returns a change that removes a task. */
    static Change removal(Task task, int finished, int cancelled) {
        Change change = new Change(task, task.job.replicas ? null : task.job);
        change.worker = null;
        change.finished = finished;
        change.cancelled = cancelled;
        return change;
    }

    /** Returns a change that moves a stopped or queued task to another data centre. */
    static Change move(Task task, DataCentreId target) {
        Change change = new Change(task, null);
        change.worker = null;
        change.moveTo = target;
        return change;
    }

    /** Returns a change of a job's row alone. */
    static Change of(Job job) {
        return new Change(null, job);
    }

    /** Returns a takeover of another data centre's task. */
    static Change takeover(TaskRow row, DataCentreId peer, long peerCommit) {
        Change change = new Change(null, null);
        change.foreign = row;
        change.peer = peer;
        change.peerCommit = peerCommit;
        return change;
    }

    Change withCheckpoint(String reference) {
        checkpoint = reference;
        return this;
    }

    Change withRelease() {
        release = true;
        return this;
    }

    /** Returns the number of rows that it changes, without the job's. */
    int rows() {
        int own = task == null ? 0 : 1;
        return own + (moveTo == null ? 0 : 1) + (foreign == null ? 0 : 2) + (createTo - createFrom);
    }
}
