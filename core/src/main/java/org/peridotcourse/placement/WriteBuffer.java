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
 * Collects changes, groups them into transactions and follows these to a known outcome.
 *
 * <p>Each transaction checks the own lease row and the commit of every row that it changes. After a
 * conflict the rows are read back, because a lost answer can make a write that took effect look
 * like a conflict. Confined to one thread.
 */
final class WriteBuffer {
    /** Most transactions in flight; each job row is in one of them at a time. */
    private static final int IN_FLIGHT = 4;

    private static final long REPEAT_MILLIS = 1_000;

    private final Book book;
    private final ArrayDeque<Change> collected = new ArrayDeque<>();
    private final Map<String, Flight> flights = new LinkedHashMap<>();
    private final Map<Long, ReadBack> readBacks = new LinkedHashMap<>();
    private long sequence;

    WriteBuffer(Book book) {
        this.book = book;
    }

    /** A transaction without a known outcome. */
    static final class Flight {
        final PlacementAction.WriteRows write;
        final List<Change> changes;
        final Map<Job, JobRow> jobRows;
        long repeatMillis = Long.MAX_VALUE;

        Flight(PlacementAction.WriteRows write, List<Change> changes, Map<Job, JobRow> jobRows) {
            this.write = write;
            this.changes = changes;
            this.jobRows = jobRows;
        }
    }

    /** A read after a conflict. */
    static final class ReadBack {
        final Flight flight;
        final PlacementAction.ReadRows read;
        long repeatMillis;

        ReadBack(Flight flight, PlacementAction.ReadRows read, long repeatMillis) {
            this.flight = flight;
            this.read = read;
            this.repeatMillis = repeatMillis;
        }
    }

    long writes() {
        return sequence;
    }

    /** Forgets everything; the rows are read anew afterwards. */
    void clear() {
        collected.clear();
        flights.clear();
        readBacks.clear();
    }

    int collectedSize() {
        return collected.size();
    }

    void add(Change change) {
        if (change.task != null) {
            change.task.busy = true;
        } else if (change.job != null) {
            change.job.pending = true;
        }
        collected.addLast(change);
    }

    /** Emits transactions for what was collected and repeats those without an answer. */
    void flush(long nowMillis) {
        if (!book.isReady(nowMillis)) {
            return;
        }
        for (Flight flight : flights.values()) {
            if (nowMillis >= flight.repeatMillis) {
                flight.repeatMillis = Long.MAX_VALUE;
                book.actions.add(flight.write);
            }
        }
        for (ReadBack readBack : readBacks.values()) {
            if (nowMillis >= readBack.repeatMillis) {
                readBack.repeatMillis = nowMillis + 2 * REPEAT_MILLIS;
                book.actions.add(readBack.read);
            }
        }
        while (flights.size() < IN_FLIGHT && emit()) {
            // Each round emits one transaction.
        }
    }

    private boolean emit() {
        List<Change> changes = new ArrayList<>();
        Set<Job> jobs = new LinkedHashSet<>();
        int rows = 0;
        Iterator<Change> each = collected.iterator();
        while (each.hasNext() && rows < OwnerSettings.WRITE_ROWS) {
            Change change = each.next();
            Job job = rowJob(change);
            if (job != null && job.busy) {
                continue;
            }
            int cost = change.rows() + (job == null || jobs.contains(job) ? 0 : 1);
            if (rows + cost > OwnerSettings.WRITE_ROWS) {
                break;
            }
            rows += cost;
            if (job != null) {
                jobs.add(job);
            }
            changes.add(change);
            each.remove();
        }
        if (changes.isEmpty()) {
            return false;
        }
        String id = book.settings.daemon() + "." + book.lease.epoch() + "." + ++sequence;
        Flight flight = build(id, changes, jobs);
        flights.put(id, flight);
        book.actions.add(flight.write);
        return true;
    }

    /** Returns the job whose row a change writes; replica groups have none. */
    private static Job rowJob(Change change) {
        return change.job == null || change.job.replicas ? null : change.job;
    }

    private Flight build(String id, List<Change> changes, Set<Job> jobs) {
        List<PlacementAction.RowCheck> checks = new ArrayList<>();
        checks.add(leaseCheck(book.dataCentre(), book.lease.commit()));
        List<TaskRow> puts = new ArrayList<>();
        List<String> deletes = new ArrayList<>();
        Map<DataCentreId, Long> peers = new HashMap<>();
        for (Change change : changes) {
            if (change.task != null) {
                addTask(change, checks, puts, deletes);
            }
            if (change.foreign != null) {
                addForeign(change, checks, puts, deletes);
            }
            if (change.peer != null && peers.putIfAbsent(change.peer, change.peerCommit) == null) {
                checks.add(leaseCheck(change.peer, change.peerCommit));
            }
            for (int index = change.createFrom; index < change.createTo; index++) {
                TaskRow row = created(change.job, index);
                checks.add(new PlacementAction.RowCheck("tasks", row.key(), 0));
                puts.add(row);
            }
        }
        Map<Job, JobRow> jobRows = new LinkedHashMap<>();
        for (Job job : jobs) {
            job.busy = true;
            checks.add(new PlacementAction.RowCheck("jobs", job.key, job.row.commit()));
            jobRows.put(job, job.row.withProgress(JobProgress.after(job, changes)));
        }
        return new Flight(
                new PlacementAction.WriteRows(
                        id, checks, puts, List.copyOf(jobRows.values()), deletes),
                changes,
                jobRows);
    }

    private static PlacementAction.RowCheck leaseCheck(DataCentreId dataCentre, long commit) {
        return new PlacementAction.RowCheck("leases", "placement/" + dataCentre.value(), commit);
    }

    private void addTask(
            Change change,
            List<PlacementAction.RowCheck> checks,
            List<TaskRow> puts,
            List<String> deletes) {
        Task task = change.task;
        TaskId id = task.id();
        String key = TaskRow.key(book.dataCentre(), id);
        checks.add(new PlacementAction.RowCheck("tasks", key, task.commit));
        if (change.next != null) {
            puts.add(
                    new TaskRow(
                            book.dataCentre(),
                            id,
                            change.next,
                            change.attempt,
                            Optional.ofNullable(change.worker).map(worker -> worker.id),
                            Optional.ofNullable(change.checkpoint),
                            task.job.replicas ? Optional.of(task.job.size()) : Optional.empty(),
                            book.lease.epoch(),
                            0));
            return;
        }
        deletes.add(key);
        if (change.moveTo != null) {
            TaskRow moved =
                    queued(
                            change.moveTo,
                            id,
                            change.attempt,
                            Optional.ofNullable(change.checkpoint));
            checks.add(new PlacementAction.RowCheck("tasks", moved.key(), 0));
            puts.add(moved);
        }
    }

    private void addForeign(
            Change change,
            List<PlacementAction.RowCheck> checks,
            List<TaskRow> puts,
            List<String> deletes) {
        TaskRow old = change.foreign;
        TaskRow own = queued(book.dataCentre(), old.task(), old.attempt(), old.checkpoint());
        checks.add(new PlacementAction.RowCheck("tasks", old.key(), old.commit()));
        checks.add(new PlacementAction.RowCheck("tasks", own.key(), 0));
        deletes.add(old.key());
        puts.add(own);
    }

    private TaskRow created(Job job, int index) {
        TaskRow row =
                queued(book.dataCentre(), TaskId.of(job.key + "/" + index), 0, Optional.empty());
        return job.replicas
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

    private TaskRow queued(
            DataCentreId dataCentre, TaskId id, int attempt, Optional<String> checkpoint) {
        return new TaskRow(
                dataCentre,
                id,
                TaskState.QUEUED,
                attempt,
                Optional.empty(),
                checkpoint,
                Optional.empty(),
                book.lease.epoch(),
                0);
    }

    /** Returns and forgets the transaction that took effect. */
    Optional<Flight> committed(String id) {
        return Optional.ofNullable(flights.remove(id));
    }

    /** Reads the rows of a refused transaction back. */
    void conflict(long nowMillis, String id) {
        Flight flight = flights.remove(id);
        if (flight == null) {
            return;
        }
        Set<String> tasks = new LinkedHashSet<>(flight.write.taskDeletes());
        flight.write.taskPuts().forEach(row -> tasks.add(row.key()));
        List<String> jobs = new ArrayList<>();
        flight.jobRows.keySet().forEach(job -> jobs.add(job.key));
        String own = book.dataCentre().value() + "/";
        tasks.removeIf(key -> !key.startsWith(own));
        PlacementAction.ReadRows read =
                new PlacementAction.ReadRows(++sequence, List.copyOf(tasks), jobs);
        readBacks.put(read.number(), new ReadBack(flight, read, nowMillis + 2 * REPEAT_MILLIS));
        book.actions.add(read);
    }

    void unknown(long nowMillis, String id) {
        Flight flight = flights.get(id);
        if (flight != null) {
            flight.repeatMillis = nowMillis + REPEAT_MILLIS;
        }
    }

    /** Returns and forgets the refused transaction whose rows were read back. */
    Optional<Flight> readBack(long number) {
        ReadBack readBack = readBacks.remove(number);
        return Optional.ofNullable(readBack).map(found -> found.flight);
    }
}
