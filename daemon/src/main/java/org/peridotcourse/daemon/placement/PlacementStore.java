package org.peridotcourse.daemon.placement;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.Resources;
import org.peridotcourse.Result;
import org.peridotcourse.base.LeaseHolder;
import org.peridotcourse.base.LeaseRow;
import org.peridotcourse.config.ConfigTable;
import org.peridotcourse.config.DataCentreRow;
import org.peridotcourse.daemon.control.LeaseKeeper;
import org.peridotcourse.daemon.control.SnapshotHolder;
import org.peridotcourse.daemon.control.TableReader;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.platform.Row;
import org.peridotcourse.daemon.platform.RowPage;
import org.peridotcourse.daemon.platform.TableStore;
import org.peridotcourse.daemon.platform.Transaction;
import org.peridotcourse.daemon.platform.WriteOutcome;
import org.peridotcourse.placement.JobRow;
import org.peridotcourse.placement.PlacementAction;
import org.peridotcourse.placement.PlacementEvent;
import org.peridotcourse.placement.TaskRow;

/**
 * Everything that placement reads from and writes to the table service: the lease row, job and task
 * rows, and the lease rows of other data centres.
 *
 * <p>It runs on a thread of its own, so that a slow or absent store delays no renewal of a worker's
 * lease. Results go to the placement thread as events. Confined to the store thread.
 */
final class PlacementStore {
    private static final String JOBS = "jobs";
    private static final String TASKS = "tasks";
    private static final String CAPACITY = "capacity";

    /** How often new jobs are looked for; urgent work must start within 7 s. */
    private static final long ROW_POLL_MILLIS = 500;

    private static final long PEER_POLL_MILLIS = 2_000;

    /** Each daemon of the data centre reads the lease row this often while another holds it. */
    private static final long LEASE_POLL_MILLIS = 1_000;

    private final TableStore store;
    private final LeaseKeeper lease;
    private final SnapshotHolder config;
    private final DataCentreId dataCentre;
    private final LongSupplier clock;
    private final Predicate<PlacementEvent> eventSink;
    private final EventLog log;
    private Optional<LeaseHolder> reportedLease = Optional.empty();
    private Optional<Resources> unpublishedCapacity = Optional.empty();
    private long reportedLeaseCommit;
    private long lastJobsCommit;
    private long lastTasksCommit;
    private long nextLeasePollMillis;
    private long nextRowPollMillis;
    private long nextPeerPollMillis;
    private volatile long dataCentreRowConfirmedMillis = Long.MIN_VALUE / 2;

    PlacementStore(
            TableStore store,
            LeaseKeeper lease,
            SnapshotHolder config,
            DataCentreId dataCentre,
            LongSupplier clock,
            Predicate<PlacementEvent> events,
            EventLog log) {
        this.store = store;
        this.lease = lease;
        this.config = config;
        this.dataCentre = dataCentre;
        this.clock = clock;
        this.eventSink = events;
        this.log = log;
    }

    /** Keeps the lease and, while it is held, looks for changes of rows. */
    void step(long nowMillis) {
        if (lease.isHolder() || nowMillis >= nextLeasePollMillis) {
            nextLeasePollMillis = nowMillis + LEASE_POLL_MILLIS;
            lease.step(nowMillis);
        }
        reportLease();
        if (reportedLease.isEmpty()) {
            unpublishedCapacity = Optional.empty();
            return;
        }
        if (nowMillis >= nextRowPollMillis) {
            nextRowPollMillis = nowMillis + ROW_POLL_MILLIS;
            pollDataCentreRow();
            pollJobs();
            pollTasks();
        }
        if (nowMillis >= nextPeerPollMillis) {
            nextPeerPollMillis = nowMillis + PEER_POLL_MILLIS;
            pollPeers();
            unpublishedCapacity.ifPresent(this::publishCapacity);
        }
    }

    /**
     * Returns when the operators' own row of this data centre was last read without an unaccepted
     * {@code out}. An edit may wait for about 10 s while the acceptor's lease changes hands, so the
     * accepted rows alone prove too little for a start.
     */
    long dataCentreRowConfirmedMillis() {
        return dataCentreRowConfirmedMillis;
    }

    void perform(StoreWork work) {
        if (work instanceof StoreWork.PublishCapacity publish) {
            publishCapacity(publish.free());
        } else if (work instanceof StoreWork.Perform perform) {
            perform(perform.action());
        }
    }

    /** Gives the lease back on a clean stop. */
    void release() {
        lease.release();
    }

    private void perform(PlacementAction action) {
        if (action instanceof PlacementAction.WriteRows write) {
            write(write);
        } else if (action instanceof PlacementAction.ReadRows read) {
            readRows(read);
        } else if (action instanceof PlacementAction.ReadTasks read) {
            readTasks(read.dataCentre());
        }
    }

    private void reportLease() {
        Optional<LeaseHolder> held = lease.held(clock.getAsLong());
        if (held.isPresent()) {
            LeaseHolder holder = held.get();
            boolean first = reportedLease.isEmpty() || reportedLease.get() != holder;
            if (first) {
                lastJobsCommit = 0;
                lastTasksCommit = 0;
            }
            if (first || holder.commit() != reportedLeaseCommit) {
                LeaseRow row = holder.row();
                long earlierHold = row.epoch() > 1 ? row.holdMillis() : 0;
                boolean taken =
                        eventSink.test(
                                new PlacementEvent.LeaseConfirmed(
                                        row,
                                        holder.commit(),
                                        holder.confirmedSentMillis(),
                                        earlierHold));
                if (!taken) {
                    return;
                }
                reportedLeaseCommit = holder.commit();
            }
        } else if (reportedLease.isPresent()
                && !lease.isHolder()
                && !eventSink.test(new PlacementEvent.LeaseLost())) {
            return;
        }
        reportedLease = held.or(() -> lease.isHolder() ? reportedLease : Optional.empty());
    }

    private void pollDataCentreRow() {
        long sentMillis = clock.getAsLong();
        String table = ConfigTable.DATA_CENTRES.title();
        if (store.row(table, dataCentre.value()) instanceof Result.Ok<Optional<Row>> ok) {
            boolean wantedOut =
                    ok.value()
                            .flatMap(Row::value)
                            .map(json -> json.path("state").asText().equals("out"))
                            .orElse(false);
            boolean acceptedIn =
                    config.snapshot().dataCentre(dataCentre).map(DataCentreRow::isIn).orElse(false);
            if (!(wantedOut && acceptedIn)) {
                dataCentreRowConfirmedMillis = sentMillis;
            }
        }
    }

    private void pollJobs() {
        Result<RowPage> read = TableReader.changes(store, JOBS, "", lastJobsCommit);
        if (read instanceof Result.Ok<RowPage> ok) {
            List<JobRow> rows = jobs(ok.value().rows());
            if (rows.isEmpty() || eventSink.test(new PlacementEvent.JobsSeen(rows))) {
                lastJobsCommit = ok.value().commit();
            }
        }
    }

    /** Rows that other owners moved here appear under the own prefix. */
    private void pollTasks() {
        if (lastTasksCommit == 0) {
            return;
        }
        Result<RowPage> read =
                TableReader.changes(store, TASKS, dataCentre.value() + "/", lastTasksCommit);
        if (read instanceof Result.Ok<RowPage> ok) {
            PlacementEvent seen =
                    new PlacementEvent.TaskRowsSeen(
                            dataCentre, tasks(ok.value().rows()), false, ok.value().commit());
            if (eventSink.test(seen)) {
                lastTasksCommit = ok.value().commit();
            }
        }
    }

    private void pollPeers() {
        for (DataCentreRow row : config.snapshot().rows(DataCentreRow.class)) {
            if (!row.id().equals(dataCentre)) {
                pollPeer(row.id());
            }
        }
    }

    private void pollPeer(DataCentreId peer) {
        Result<Optional<Row>> leaseRow = store.row(LeaseKeeper.TABLE, "placement/" + peer);
        Result<Optional<Row>> capacity = store.row(CAPACITY, peer.value());
        if (!leaseRow.isOk() || !capacity.isOk()) {
            return;
        }
        Resources free =
                capacity.toOptional()
                        .flatMap(row -> row)
                        .flatMap(Row::value)
                        .map(RowJson::resources)
                        .orElse(Resources.ZERO);
        Optional<Row> found = leaseRow.toOptional().flatMap(row -> row);
        // A malformed row reads as a hold of zero, which would free running tasks at once.
        found.flatMap(Row::value)
                .flatMap(LeaseKeeper::parse)
                .filter(row -> row.epoch() > 0 && row.holdMillis() > 0)
                .ifPresent(
                        row ->
                                eventSink.test(
                                        new PlacementEvent.PeerLeaseSeen(
                                                peer, row, found.get().commit(), free)));
    }

    private void write(PlacementAction.WriteRows write) {
        if (lease.held(clock.getAsLong()).isEmpty()) {
            // It never left. The owner repeats it, or forgets it with the next confirmed lease.
            eventSink.test(new PlacementEvent.WriteUnknown(write.id()));
            return;
        }
        Transaction.Builder builder = Transaction.builder(write.id());
        write.checks().forEach(c -> builder.check(c.table(), c.key(), c.commit()));
        write.taskPuts().forEach(row -> builder.put(TASKS, row.key(), RowJson.toJson(row)));
        write.jobPuts()
                .forEach(row -> builder.put(JOBS, row.spec().id().value(), RowJson.toJson(row)));
        write.taskDeletes().forEach(key -> builder.delete(TASKS, key));
        WriteOutcome outcome = store.write(builder.build());
        if (outcome instanceof WriteOutcome.Committed committed) {
            eventSink.test(new PlacementEvent.WriteCommitted(write.id(), committed.commit()));
        } else if (outcome instanceof WriteOutcome.Conflict) {
            eventSink.test(new PlacementEvent.WriteConflict(write.id()));
        } else {
            eventSink.test(new PlacementEvent.WriteUnknown(write.id()));
        }
    }

    private void readRows(PlacementAction.ReadRows read) {
        List<TaskRow> tasks = new ArrayList<>();
        for (String key : read.taskKeys()) {
            if (!(store.row(TASKS, key) instanceof Result.Ok<Optional<Row>> ok)) {
                return;
            }
            ok.value().flatMap(this::task).ifPresent(tasks::add);
        }
        List<JobRow> jobs = new ArrayList<>();
        for (String key : read.jobKeys()) {
            if (!(store.row(JOBS, key) instanceof Result.Ok<Optional<Row>> ok)) {
                return;
            }
            ok.value().flatMap(this::job).ifPresent(jobs::add);
        }
        eventSink.test(
                new PlacementEvent.RowsRead(
                        read.number(), read.taskKeys(), read.jobKeys(), tasks, jobs));
    }

    private void readTasks(DataCentreId of) {
        Result<RowPage> read = TableReader.changes(store, TASKS, of.value() + "/", 0);
        if (read instanceof Result.Ok<RowPage> ok) {
            PlacementEvent seen =
                    new PlacementEvent.TaskRowsSeen(
                            of, tasks(ok.value().rows()), true, ok.value().commit());
            if (eventSink.test(seen) && of.equals(dataCentre)) {
                lastTasksCommit = ok.value().commit();
            }
        }
    }

    /** Other owners pace their handovers by this row, so it needs no condition. */
    private void publishCapacity(Resources free) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("milliCores", free.milliCores());
        json.put("memoryMiB", free.memoryMib());
        json.put("accelerators", free.accelerators());
        String id = "capacity-" + dataCentre + "-" + reportedLeaseCommit + "-" + clock.getAsLong();
        Transaction row = Transaction.builder(id).put(CAPACITY, dataCentre.value(), json).build();
        boolean written = store.write(row) instanceof WriteOutcome.Committed;
        unpublishedCapacity = written ? Optional.empty() : Optional.of(free);
    }

    private List<JobRow> jobs(List<Row> rows) {
        List<JobRow> jobs = new ArrayList<>(rows.size());
        rows.forEach(row -> job(row).ifPresent(jobs::add));
        return jobs;
    }

    private List<TaskRow> tasks(List<Row> rows) {
        List<TaskRow> tasks = new ArrayList<>(rows.size());
        rows.forEach(row -> task(row).ifPresent(tasks::add));
        return tasks;
    }

    private Optional<JobRow> job(Row row) {
        return logIfMalformed(JOBS, row, RowJson.job(row));
    }

    private Optional<TaskRow> task(Row row) {
        return logIfMalformed(TASKS, row, RowJson.task(row));
    }

    private <T> Optional<T> logIfMalformed(String table, Row row, Optional<T> parsed) {
        if (parsed.isEmpty() && row.value().isPresent()) {
            log.event(PlacementLogEvent.ROW_BROKEN)
                    .with("table", table)
                    .with("row", row.key())
                    .write();
        }
        return parsed;
    }
}
