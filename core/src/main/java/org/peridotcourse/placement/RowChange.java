package org.peridotcourse.placement;

import java.util.Optional;
import org.peridotcourse.DataCentreId;

/**
 * A change of rows that becomes effective as a whole: of one task, of one job, or of both.
 *
 * <p>Collected by {@link WriteBuffer}, applied when the write is committed. Confined to one thread.
 */
final class RowChange {
    /** The own task that changes, null for none. */
    final Task task;

    /** The job whose row changes, null for none. */
    final Job job;

    /** Intended state of the task, null if its row is removed. */
    TaskState nextState;

    int attempt;
    Worker worker;
    String checkpoint;

    /** The row is put into this data centre as queued and removed here. */
    DataCentreId moveTo;

    /** The worker's record of the ended attempt can be dropped after the write. */
    boolean releaseAttempt;

    int finishedTasks;
    int cancelledTasks;
    JobState jobState;
    String reason;

    /** New owner of the creation of task rows; empty to leave it to others. */
    Optional<DataCentreId> creationClaim;

    /** Task rows with these indexes are created. */
    int createFrom;

    int createTo;

    /** A row of another data centre that is taken over. */
    TaskRow foreignRow;

    /** The lease row that protects it must still have this commit. */
    DataCentreId peer;

    long peerLeaseCommit;

    private RowChange(Task task, Job job) {
        this.task = task;
        this.job = job;
        if (task != null) {
            attempt = task.attempt;
            worker = task.worker;
            checkpoint = task.checkpoint;
        }
    }

    /** Returns a change of a task that stays in this data centre. */
    static RowChange of(Task task, TaskState next) {
        RowChange change = new RowChange(task, null);
        change.nextState = next;
        if (!next.isPlaced()) {
            change.worker = null;
        }
        return change;
    }

    /** Returns a change of a task together with its job's state. */
    static RowChange of(Task task, TaskState next, JobState jobState, String reason) {
        RowChange change = new RowChange(task, task.job);
        change.nextState = next;
        change.worker = null;
        change.jobState = jobState;
        change.reason = reason;
        return change;
    }

    /** Returns a creation of tasks of a job or of a replica group. */
    static RowChange creation(Job job, int from, int to) {
        RowChange change = new RowChange(null, job);
        change.createFrom = from;
        change.createTo = to;
        return change;
    }

    /** Returns a change that removes a task. */
    static RowChange removal(Task task, int finished, int cancelled) {
        RowChange change = new RowChange(task, task.job.replicaGroup ? null : task.job);
        change.worker = null;
        change.finishedTasks = finished;
        change.cancelledTasks = cancelled;
        return change;
    }

    /** Returns a change that moves a stopped or queued task to another data centre. */
    static RowChange move(Task task, DataCentreId target) {
        RowChange change = new RowChange(task, null);
        change.worker = null;
        change.moveTo = target;
        return change;
    }

    /** Returns a change of a job's row alone. */
    static RowChange of(Job job) {
        return new RowChange(null, job);
    }

    /** Returns a takeover of another data centre's task. */
    static RowChange takeover(TaskRow row, DataCentreId peer, long peerCommit) {
        RowChange change = new RowChange(null, null);
        change.foreignRow = row;
        change.peer = peer;
        change.peerLeaseCommit = peerCommit;
        return change;
    }

    RowChange withCheckpoint(String reference) {
        checkpoint = reference;
        return this;
    }

    RowChange withRelease() {
        releaseAttempt = true;
        return this;
    }

    /** Returns the number of rows that it changes, without the job's. */
    int rowCount() {
        int own = task == null ? 0 : 1;
        return own
                + (moveTo == null ? 0 : 1)
                + (foreignRow == null ? 0 : 2)
                + (createTo - createFrom);
    }
}
