package org.peridotcourse.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.TaskId;

/**
 * Collects row changes, groups them into transactions and tracks each until its outcome is known.
 *
 * <p>Each transaction checks the commits of the own lease row and of every row that it changes.
 * After a conflict the rows are read back, because after a lost answer a repeated write that had
 * taken effect also looks like a conflict. Confined to one thread.
 */
final class WriteBuffer {
    /**
     * Maximum number of transactions in flight; each job row is in at most one of them at a time.
     */
    private static final int MAX_IN_FLIGHT = 4;

    private static final long RETRY_MILLIS = 1_000;

    private final OwnerState state;
    private final ArrayDeque<RowChange> collected = new ArrayDeque<>();
    private final Map<String, Transaction> inFlight = new LinkedHashMap<>();
    private final Map<Long, ReadBack> readBacks = new LinkedHashMap<>();
    private long sequence;

    WriteBuffer(OwnerState state) {
        this.state = state;
    }

    /** A transaction whose outcome is not known yet. */
    static final class Transaction {
        final PlacementAction.WriteRows write;
        final List<RowChange> changes;
        final Map<Job, JobRow> jobRows;
        long nextRetryMillis = Long.MAX_VALUE;

        Transaction(
                PlacementAction.WriteRows write,
                List<RowChange> changes,
                Map<Job, JobRow> jobRows) {
            this.write = write;
            this.changes = changes;
            this.jobRows = jobRows;
        }
    }

    /** A read after a conflict. */
    static final class ReadBack {
        final Transaction transaction;
        final PlacementAction.ReadRows read;
        long nextRetryMillis;

        ReadBack(Transaction transaction, PlacementAction.ReadRows read, long nextRetryMillis) {
            this.transaction = transaction;
            this.read = read;
            this.nextRetryMillis = nextRetryMillis;
        }
    }

    long writes() {
        return sequence;
    }

    /** Discards all changes and transactions; the rows are read again afterwards. */
    void clear() {
        collected.clear();
        inFlight.clear();
        readBacks.clear();
    }

    int collectedSize() {
        return collected.size();
    }

    void add(RowChange change) {
        if (change.task != null) {
            change.task.rowChangePending = true;
        } else if (change.job != null) {
            change.job.rowChangeCollected = true;
        }
        collected.addLast(change);
    }

    /** Starts transactions for the collected changes and repeats those without an answer. */
    void flush(long nowMillis) {
        if (!state.isReady(nowMillis)) {
            return;
        }
        for (Transaction transaction : inFlight.values()) {
            if (nowMillis >= transaction.nextRetryMillis) {
                transaction.nextRetryMillis = Long.MAX_VALUE;
                state.actions.add(transaction.write);
            }
        }
        for (ReadBack readBack : readBacks.values()) {
            if (nowMillis >= readBack.nextRetryMillis) {
                readBack.nextRetryMillis = nowMillis + 2 * RETRY_MILLIS;
                state.actions.add(readBack.read);
            }
        }
        while (inFlight.size() < MAX_IN_FLIGHT && emitTransaction()) {
            // Each iteration starts one transaction.
        }
    }

    private boolean emitTransaction() {
        List<RowChange> changes = new ArrayList<>();
        Set<Job> jobs = new LinkedHashSet<>();
        int rows = 0;
        Iterator<RowChange> iterator = collected.iterator();
        while (iterator.hasNext() && rows < OwnerSettings.MAX_WRITE_ROWS) {
            RowChange change = iterator.next();
            Job job = jobOfRow(change);
            if (job != null && job.rowWriteInFlight) {
                continue;
            }
            int rowsNeeded = change.rowCount() + (job == null || jobs.contains(job) ? 0 : 1);
            if (rows + rowsNeeded > OwnerSettings.MAX_WRITE_ROWS) {
                break;
            }
            rows += rowsNeeded;
            if (job != null) {
                jobs.add(job);
            }
            changes.add(change);
            iterator.remove();
        }
        if (changes.isEmpty()) {
            return false;
        }
        String id = state.settings.daemon() + "." + state.lease.epoch() + "." + ++sequence;
        Transaction transaction = build(id, changes, jobs);
        inFlight.put(id, transaction);
        state.actions.add(transaction.write);
        return true;
    }

    /** Returns the job whose row a change writes, null for none; replica groups have no row. */
    private static Job jobOfRow(RowChange change) {
        return change.job == null || change.job.replicaGroup ? null : change.job;
    }

    private Transaction build(String id, List<RowChange> changes, Set<Job> jobs) {
        List<PlacementAction.RowCheck> checks = new ArrayList<>();
        checks.add(leaseCheck(state.dataCentre(), state.lease.commit()));
        List<TaskRow> puts = new ArrayList<>();
        List<String> deletes = new ArrayList<>();
        Map<DataCentreId, Long> peers = new HashMap<>();
        for (RowChange change : changes) {
            if (change.task != null) {
                addTask(change, checks, puts, deletes);
            }
            if (change.foreignRow != null) {
                addForeign(change, checks, puts, deletes);
            }
            if (change.peer != null
                    && peers.putIfAbsent(change.peer, change.peerLeaseCommit) == null) {
                checks.add(leaseCheck(change.peer, change.peerLeaseCommit));
            }
            for (int index = change.createFrom; index < change.createTo; index++) {
                TaskRow row = createdRow(change.job, index);
                checks.add(new PlacementAction.RowCheck("tasks", row.key(), 0));
                puts.add(row);
            }
        }
        Map<Job, JobRow> jobRows = new LinkedHashMap<>();
        for (Job job : jobs) {
            job.rowWriteInFlight = true;
            checks.add(new PlacementAction.RowCheck("jobs", job.key, job.row.commit()));
            jobRows.put(job, job.row.withProgress(JobProgress.after(job, changes)));
        }
        return new Transaction(
                new PlacementAction.WriteRows(
                        id, checks, puts, List.copyOf(jobRows.values()), deletes),
                changes,
                jobRows);
    }

    private static PlacementAction.RowCheck leaseCheck(DataCentreId dataCentre, long commit) {
        return new PlacementAction.RowCheck("leases", "placement/" + dataCentre.value(), commit);
    }

    private void addTask(
            RowChange change,
            List<PlacementAction.RowCheck> checks,
            List<TaskRow> puts,
            List<String> deletes) {
        Task task = change.task;
        TaskId id = task.id();
        String key = TaskRow.key(state.dataCentre(), id);
        checks.add(new PlacementAction.RowCheck("tasks", key, task.commit));
        if (change.nextState != null) {
            puts.add(
                    new TaskRow(
                            state.dataCentre(),
                            id,
                            change.nextState,
                            change.attempt,
                            Optional.ofNullable(change.worker).map(worker -> worker.id),
                            Optional.ofNullable(change.checkpoint),
                            task.job.replicaGroup ? Optional.of(task.job.size()) : Optional.empty(),
                            state.lease.epoch(),
                            0));
            return;
        }
        deletes.add(key);
        if (change.handoverTarget != null) {
            TaskRow handedOver =
                    queuedRow(
                            change.handoverTarget,
                            id,
                            change.attempt,
                            Optional.ofNullable(change.checkpoint));
            checks.add(new PlacementAction.RowCheck("tasks", handedOver.key(), 0));
            puts.add(handedOver);
        }
    }

    private void addForeign(
            RowChange change,
            List<PlacementAction.RowCheck> checks,
            List<TaskRow> puts,
            List<String> deletes) {
        TaskRow old = change.foreignRow;
        TaskRow own = queuedRow(state.dataCentre(), old.task(), old.attempt(), old.checkpoint());
        checks.add(new PlacementAction.RowCheck("tasks", old.key(), old.commit()));
        checks.add(new PlacementAction.RowCheck("tasks", own.key(), 0));
        deletes.add(old.key());
        puts.add(own);
    }

    private TaskRow createdRow(Job job, int index) {
        TaskRow row =
                queuedRow(
                        state.dataCentre(), TaskId.of(job.key + "/" + index), 0, Optional.empty());
        return job.replicaGroup
                ? new TaskRow(
                        row.dataCentre(),
                        row.task(),
                        row.state(),
                        0,
                        Optional.empty(),
                        Optional.empty(),
                        Optional.of(job.size()),
                        row.epoch(),
                        0)
                : row;
    }

    private TaskRow queuedRow(
            DataCentreId dataCentre, TaskId id, int attempt, Optional<String> checkpoint) {
        return new TaskRow(
                dataCentre,
                id,
                TaskState.QUEUED,
                attempt,
                Optional.empty(),
                checkpoint,
                Optional.empty(),
                state.lease.epoch(),
                0);
    }

    /** Removes and returns the transaction that took effect. */
    Optional<Transaction> removeCommitted(String id) {
        return Optional.ofNullable(inFlight.remove(id));
    }

    /** Reads back the rows of a transaction that was refused. */
    void handleConflict(long nowMillis, String id) {
        Transaction transaction = inFlight.remove(id);
        if (transaction == null) {
            return;
        }
        Set<String> tasks = new LinkedHashSet<>(transaction.write.taskDeletes());
        transaction.write.taskPuts().forEach(row -> tasks.add(row.key()));
        List<String> jobs = new ArrayList<>();
        transaction.jobRows.keySet().forEach(job -> jobs.add(job.key));
        String ownPrefix = state.dataCentre().value() + "/";
        tasks.removeIf(key -> !key.startsWith(ownPrefix));
        PlacementAction.ReadRows read =
                new PlacementAction.ReadRows(++sequence, List.copyOf(tasks), jobs);
        readBacks.put(read.number(), new ReadBack(transaction, read, nowMillis + 2 * RETRY_MILLIS));
        state.actions.add(read);
    }

    void scheduleRetry(long nowMillis, String id) {
        Transaction transaction = inFlight.get(id);
        if (transaction != null) {
            transaction.nextRetryMillis = nowMillis + RETRY_MILLIS;
        }
    }

    /** Removes and returns the refused transaction whose rows were read back. */
    Optional<Transaction> removeReadBack(long number) {
        ReadBack readBack = readBacks.remove(number);
        return Optional.ofNullable(readBack).map(found -> found.transaction);
    }
}
