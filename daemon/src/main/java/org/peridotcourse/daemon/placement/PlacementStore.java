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
 * Reads and writes the rows of the table service that placement uses: the lease row, job and task
 * rows, and the lease and capacity rows of all data centres.
 *
 * <p>It runs on its own thread, so that a slow or unavailable table service does not delay renewals
 * of workers' leases. Results are passed to the placement thread as events. Confined to the store
 * thread, except for {@link #dataCentreRowConfirmedMillis}.
 */
final class PlacementStore {
    private static final String JOBS = "jobs";
    private static final String TASKS = "tasks";
    private static final String CAPACITY = "capacity";

    /** Interval of polls for changed rows; urgent work must start within 7 s. */
    private static final long ROW_POLL_MILLIS = 500;

    private static final long PEER_POLL_MILLIS = 2_000;

    /** Interval at which a daemon reads the lease row while another daemon holds the lease. */
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
            Predicate<PlacementEvent> eventSink,
            EventLog log) {
        this.store = store;
        this.lease = lease;
        this.config = config;
        this.dataCentre = dataCentre;
        this.clock = clock;
        this.eventSink = eventSink;
        this.log = log;
    }

    /** Renews or tries to take the lease and, while it is held, polls for changed rows. */
    void step(long nowMillis) {
        if (lease.isLastKnownHolder() || nowMillis >= nextLeasePollMillis) {
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
     * Returns when the operators' row of this data centre was last read without finding a state
     * {@code out} that is not accepted yet. An edit may wait about 10 s for its acceptance while
     * the acceptor's lease changes hands, so the accepted rows alone do not prove that a task may
     * start.
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

    /** Releases the lease on a clean stop. */
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
        Optional<LeaseHolder> heldLease = lease.heldLease(clock.getAsLong());
        if (heldLease.isPresent()) {
            LeaseHolder holder = heldLease.get();
            boolean isNewLease = reportedLease.isEmpty() || reportedLease.get() != holder;
            if (isNewLease) {
                lastJobsCommit = 0;
                lastTasksCommit = 0;
            }
            if (isNewLease || holder.commit() != reportedLeaseCommit) {
                LeaseRow row = holder.row();
                long previousHoldMillis = row.epoch() > 1 ? row.holdMillis() : 0;
                boolean delivered =
                        eventSink.test(
                                new PlacementEvent.LeaseConfirmed(
                                        row,
                                        holder.commit(),
                                        holder.confirmedSentMillis(),
                                        previousHoldMillis));
                if (!delivered) {
                    return;
                }
                reportedLeaseCommit = holder.commit();
            }
        } else if (reportedLease.isPresent()
                && !lease.isLastKnownHolder()
                && !eventSink.test(new PlacementEvent.LeaseLost())) {
            return;
        }
        reportedLease =
                heldLease.or(() -> lease.isLastKnownHolder() ? reportedLease : Optional.empty());
    }

    private void pollDataCentreRow() {
        long sentMillis = clock.getAsLong();
        String table = ConfigTable.DATA_CENTRES.tableName();
        if (store.row(table, dataCentre.value()) instanceof Result.Ok<Optional<Row>> ok) {
            boolean outRequested =
                    ok.value()
                            .flatMap(Row::value)
                            .map(json -> json.path("state").asText().equals("out"))
                            .orElse(false);
            boolean acceptedIn =
                    config.snapshot()
                            .dataCentre(dataCentre)
                            .map(DataCentreRow::isInUse)
                            .orElse(false);
            if (!(outRequested && acceptedIn)) {
                dataCentreRowConfirmedMillis = sentMillis;
            }
        }
    }

    private void pollJobs() {
        Result<RowPage> read = TableReader.readChanges(store, JOBS, "", lastJobsCommit);
        if (read instanceof Result.Ok<RowPage> ok) {
            List<JobRow> rows = jobs(ok.value().rows());
            if (rows.isEmpty() || eventSink.test(new PlacementEvent.JobsSeen(rows))) {
                lastJobsCommit = ok.value().commit();
            }
        }
    }

    /** Reads changed task rows of this data centre, among them rows moved here by other owners. */
    private void pollTasks() {
        if (lastTasksCommit == 0) {
            return;
        }
        Result<RowPage> read =
                TableReader.readChanges(store, TASKS, dataCentre.value() + "/", lastTasksCommit);
        if (read instanceof Result.Ok<RowPage> ok) {
            PlacementEvent event =
                    new PlacementEvent.TaskRowsSeen(
                            dataCentre, tasks(ok.value().rows()), false, ok.value().commit());
            if (eventSink.test(event)) {
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
        Resources freeCapacity =
                capacity.toOptional()
                        .flatMap(row -> row)
                        .flatMap(Row::value)
                        .map(RowJson::resources)
                        .orElse(Resources.ZERO);
        Optional<Row> foundLeaseRow = leaseRow.toOptional().flatMap(row -> row);
        foundLeaseRow
                .flatMap(Row::value)
                .flatMap(LeaseKeeper::parse)
                .ifPresent(
                        row ->
                                eventSink.test(
                                        new PlacementEvent.PeerLeaseSeen(
                                                peer,
                                                row,
                                                foundLeaseRow.get().commit(),
                                                freeCapacity)));
    }

    private void write(PlacementAction.WriteRows write) {
        if (lease.heldLease(clock.getAsLong()).isEmpty()) {
            // Not sent. The owner repeats the write or discards it with the next confirmed lease.
            eventSink.test(new PlacementEvent.WriteUnknown(write.id()));
            return;
        }
        Transaction.Builder builder = Transaction.builder(write.id());
        write.checks().forEach(check -> builder.check(check.table(), check.key(), check.commit()));
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

    private void readTasks(DataCentreId source) {
        Result<RowPage> read = TableReader.readChanges(store, TASKS, source.value() + "/", 0);
        if (read instanceof Result.Ok<RowPage> ok) {
            PlacementEvent event =
                    new PlacementEvent.TaskRowsSeen(
                            source, tasks(ok.value().rows()), true, ok.value().commit());
            if (eventSink.test(event) && source.equals(dataCentre)) {
                lastTasksCommit = ok.value().commit();
            }
        }
    }

    /**
     * Writes the free capacity without checking a commit, because owners of other data centres use
     * the row only to pace their handovers.
     */
    private void publishCapacity(Resources freeCapacity) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("milliCores", freeCapacity.milliCores());
        json.put("memoryMiB", freeCapacity.memoryMib());
        json.put("accelerators", freeCapacity.accelerators());
        String id = "capacity-" + dataCentre + "-" + reportedLeaseCommit + "-" + clock.getAsLong();
        Transaction row = Transaction.builder(id).put(CAPACITY, dataCentre.value(), json).build();
        boolean written = store.write(row) instanceof WriteOutcome.Committed;
        unpublishedCapacity = written ? Optional.empty() : Optional.of(freeCapacity);
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
