package org.peridotcourse.placement;

import java.util.Optional;
import org.peridotcourse.DataCentreId;

/**
 * A change of rows that is written as a whole: of one task, of one job, or of both.
 *
 * <p>Collected by {@link WriteBuffer} and applied to the state when the write is committed.
 * Confined to one thread.
 */
final class RowChange {
    /** The task of this data centre that changes, null for none. */
    final Task task;

    /** The job whose row changes, null for none. */
    final Job job;

    /** State of the task after the write, null if its row is removed. */
    TaskState nextState;

    int attempt;
    Worker worker;
    String checkpoint;

    /** Data centre to which the task is handed over as queued, null for none. */
    DataCentreId handoverTarget;

    /** Whether the worker may drop the ended attempt from its reports after the write. */
    boolean releaseAttempt;

    int finishedTasks;
    int cancelledTasks;
    JobState jobState;
    String reason;

    /**
     * Data centre that creates the remaining task rows from now on; an empty value releases the
     * claim, null leaves it unchanged.
     */
    Optional<DataCentreId> creationClaim;

    /** First index of the task rows to create; {@link #createTo} is the end, exclusive. */
    int createFrom;

    int createTo;

    /** Row of another data centre's task that is taken over, null for none. */
    TaskRow foreignRow;

    /**
     * Data centre whose lease row must still have the commit {@link #peerLeaseCommit}, null for
     * none.
     */
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

    /** Returns a creation of task rows for a job or a replica group. */
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

    /** Returns a handover of a stopped or queued task to another data centre. */
    static RowChange handover(Task task, DataCentreId target) {
        RowChange change = new RowChange(task, null);
        change.worker = null;
        change.handoverTarget = target;
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

    /** Returns the number of task rows that it changes. */
    int rowCount() {
        int ownRows = task == null ? 0 : 1;
        return ownRows
                + (handoverTarget == null ? 0 : 1)
                + (foreignRow == null ? 0 : 2)
                + (createTo - createFrom);
    }
}
