package org.peridotcourse.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import org.HdrHistogram.Histogram;
import org.peridotcourse.CustomerId;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.JobId;
import org.peridotcourse.Resources;
import org.peridotcourse.WorkerId;
import org.peridotcourse.WorkloadId;
import org.peridotcourse.base.LeaseRow;
import org.peridotcourse.daemon.placement.RowJson;
import org.peridotcourse.daemon.placement.WorkerJson;
import org.peridotcourse.daemon.platform.Row;
import org.peridotcourse.daemon.platform.Transaction;
import org.peridotcourse.placement.JobRow;
import org.peridotcourse.placement.OwnerSettings;
import org.peridotcourse.placement.PlacementAction;
import org.peridotcourse.placement.PlacementConfig;
import org.peridotcourse.placement.PlacementEvent;
import org.peridotcourse.placement.PlacementOwner;
import org.peridotcourse.placement.PlacementPolicy;
import org.peridotcourse.placement.TaskRow;
import org.peridotcourse.placement.WorkerHost;

/**
 * Runs the placement owner of one data centre on a virtual clock. The CPU time includes encoding
 * and decoding of commands, reports and rows, and excludes the fakes and HTTP.
 */
final class OwnerBench {
    static final DataCentreId DATA_CENTRE = DataCentreId.of("dc-1");
    private static final int CUSTOMERS = 440;
    private static final int TASKS_PER_JOB = 50;
    private static final long TICK_MILLIS = 50;
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Counts since the last reset. */
    static final class Counts {
        long virtualMillis;
        long transactions;
        long rows;
        long storeBytes;
        long workerCalls;
        long workerBytes;
        long starts;
        long longestStartMillis;
        double cpuMicros;

        /** CPU time of single decisions in nanoseconds. */
        final Histogram decisions = new Histogram(60_000_000_000L, 3);

        double perSecond(double total) {
            return total * 1000 / Math.max(1, virtualMillis);
        }
    }

    private final ResourceMeter meter = new ResourceMeter();
    private final FakeWorkers fakeWorkers = new FakeWorkers();
    private final Map<String, TaskRow> changedTasks = new LinkedHashMap<>();
    private final Map<String, JobRow> jobs = new HashMap<>();
    private final Set<String> changedJobs = new HashSet<>();
    private final Queue<PlacementEvent> pendingEvents = new ArrayDeque<>();
    private final List<WorkerHost> hosts = new ArrayList<>();
    private final PlacementConfig config;
    private PlacementOwner owner;
    private Counts counts = new Counts();
    private long now = 1_000;
    private long commit = 10;
    private long startsAtReset;
    private long submitted;
    private long recordedStarts;
    private final Queue<Long> submittedMillis = new ArrayDeque<>();

    /** Creates an owner with a confirmed lease, workers and service replicas. */
    OwnerBench(int workers, int serviceTasks) {
        owner =
                new PlacementOwner(
                        OwnerSettings.of(DATA_CENTRE, "daemon-1"),
                        PlacementPolicy.LEAST_INTERFERENCE);
        config = config(serviceTasks);
        for (int i = 0; i < workers; i++) {
            // 2,500 accelerators on 1,800 workers are about 7 on each 5 workers.
            Resources capacity = Resources.of(32_000, 125_000, i % 5 < 2 ? 2 : 1);
            hosts.add(
                    new WorkerHost(
                            WorkerId.of("worker-" + i),
                            DATA_CENTRE,
                            "rack-" + i / 8,
                            capacity,
                            false));
        }
        pendingEvents.add(new PlacementEvent.WorkersSeen(hosts));
        confirmLease();
    }

    private static PlacementConfig config(int serviceTasks) {
        Map<CustomerId, PlacementConfig.CustomerRule> customers = new HashMap<>();
        Map<WorkloadId, PlacementConfig.WorkloadRule> workloads = new HashMap<>();
        int services = Math.max(1, serviceTasks / 60);
        for (int i = 0; i < CUSTOMERS; i++) {
            customers.put(
                    CustomerId.of("customer-" + i),
                    new PlacementConfig.CustomerRule(100, Optional.empty()));
            workloads.put(
                    WorkloadId.of("customer-" + i + "/night"),
                    new PlacementConfig.WorkloadRule(
                            false, Set.of(), 0, Resources.ZERO, false, 10));
        }
        for (int i = 0; i < services; i++) {
            workloads.put(
                    WorkloadId.of("customer-" + i % CUSTOMERS + "/service-" + i),
                    new PlacementConfig.WorkloadRule(
                            true,
                            Set.of(),
                            serviceTasks / services,
                            Resources.of(2_000, 6_000),
                            false,
                            10));
        }
        return new PlacementConfig(5, Map.of(DATA_CENTRE, true), customers, workloads);
    }

    Counts counts() {
        return counts;
    }

    int placed() {
        return owner.status(now).placed();
    }

    /** Returns the bytes of the owner's state. The owner cannot be used afterwards. */
    long stateBytes() {
        long before = ResourceMeter.liveBytes();
        owner = null;
        pendingEvents.clear();
        return before - ResourceMeter.liveBytes();
    }

    /** Resets all counts. */
    void reset() {
        counts = new Counts();
        meter.reset();
        startsAtReset = fakeWorkers.starts();
        recordedStarts = startsAtReset;
        submittedMillis.clear();
    }

    /** Submits jobs of 50 tasks. */
    void submit(String prefix, int tasks) {
        List<JobRow> rows = new ArrayList<>();
        for (int left = tasks; left > 0; left -= TASKS_PER_JOB) {
            long number = submitted++;
            String customer = "customer-" + number % CUSTOMERS;
            JobRow.Spec spec =
                    new JobRow.Spec(
                            JobId.of(customer + "/" + prefix + number),
                            WorkloadId.of(customer + "/night"),
                            Math.min(left, TASKS_PER_JOB),
                            Resources.of(500, 1_000),
                            number % 10 == 0,
                            "payload-of-a-job");
            JobRow row = JobRow.submitted(spec).withCommit(++commit);
            jobs.put(spec.id().value(), row);
            rows.add(row);
        }
        pendingEvents.add(new PlacementEvent.JobsSeen(rows));
        if (submittedMillis.isEmpty()) {
            recordedStarts = fakeWorkers.starts();
        }
        submittedMillis.addAll(Collections.nCopies(tasks, now));
    }

    /** Finishes all tasks of jobs with a prefix and returns their number. */
    int finish(String prefix) {
        int finished = 0;
        for (int i = 0; i < CUSTOMERS; i++) {
            finished += fakeWorkers.finish("customer-" + i + "/" + prefix);
        }
        return finished;
    }

    /** Advances the virtual time. */
    void advance(long millis) {
        for (long end = now + millis; now < end; now += TICK_MILLIS) {
            deliver();
            if (now % 250 == 0) {
                handle(new PlacementEvent.ConfigSeen(config, now - 500));
            }
            if (now % 500 == 0) {
                poll();
            }
            if (now % 3_000 == 0) {
                confirmLease();
            }
            handle(new PlacementEvent.Tick());
            counts.virtualMillis += TICK_MILLIS;
        }
        deliver();
        counts.cpuMicros = meter.cpuMicros();
        counts.starts = fakeWorkers.starts() - startsAtReset;
    }

    private void confirmLease() {
        LeaseRow row = new LeaseRow("daemon-1", 1, 9_000, 600_000, now);
        pendingEvents.add(new PlacementEvent.LeaseConfirmed(row, ++commit, now - 20, 0));
    }

    private void deliver() {
        for (int left = pendingEvents.size(); left > 0; left--) {
            handle(pendingEvents.remove());
        }
    }

    private void handle(PlacementEvent event) {
        long before = meter.cpuNanos();
        long startsBefore = fakeWorkers.starts();
        List<PlacementAction> actions = meter.measure(() -> owner.handle(now, event));
        counts.decisions.recordValue(Math.max(1, meter.cpuNanos() - before));
        actions.forEach(this::execute);
        if (fakeWorkers.starts() > startsBefore && !submittedMillis.isEmpty()) {
            recordDelays();
        }
    }

    /**
     * Records the delays of new starts. Tasks of a peak start nearly in the order of submission, so
     * counting them is sufficient.
     */
    private void recordDelays() {
        for (long left = fakeWorkers.starts() - recordedStarts;
                left > 0 && !submittedMillis.isEmpty();
                left--) {
            recordedStarts++;
            long delay = now - submittedMillis.remove();
            counts.longestStartMillis = Math.max(counts.longestStartMillis, delay);
        }
    }

    private void execute(PlacementAction action) {
        if (action instanceof PlacementAction.WriteRows write) {
            write(write);
        } else if (action instanceof PlacementAction.ReadTasks) {
            pendingEvents.add(
                    new PlacementEvent.TaskRowsSeen(DATA_CENTRE, List.of(), true, commit));
        } else if (action instanceof PlacementAction.SendCommands send) {
            counts.workerCalls++;
            byte[] body = meter.measure(() -> WorkerJson.encodeCommands(DATA_CENTRE.value(), send));
            int results = fakeWorkers.execute(send);
            counts.workerBytes += body.length + 40 + 12L * results + HttpOverhead.BYTES;
            pendingEvents.add(
                    new PlacementEvent.CommandsAnswered(
                            send.worker(),
                            send.number(),
                            now,
                            List.copyOf(
                                    Collections.nCopies(
                                            results, PlacementEvent.CommandResult.OK))));
        } else if (action instanceof PlacementAction.FetchReport fetch) {
            counts.workerCalls++;
            byte[] body = fakeWorkers.report(fetch.worker(), now);
            counts.workerBytes += body.length + HttpOverhead.BYTES;
            pendingEvents.add(
                    new PlacementEvent.ReportReceived(
                            fetch.number(),
                            meter.measure(() -> WorkerJson.decodeReport(fetch.worker(), body))
                                    .orElseThrow()));
        }
    }

    private void write(PlacementAction.WriteRows write) {
        commit++;
        counts.transactions++;
        counts.rows += write.rows();
        byte[] body = meter.measure(() -> FakeWorkers.toJsonBytes(transaction(write)));
        counts.storeBytes += body.length + 20 + HttpOverhead.BYTES;
        for (TaskRow row : write.taskPuts()) {
            changedTasks.put(row.key(), row.withCommit(commit));
        }
        for (JobRow row : write.jobPuts()) {
            jobs.put(row.spec().id().value(), row.withCommit(commit));
            changedJobs.add(row.spec().id().value());
        }
        write.taskDeletes().forEach(changedTasks::remove);
        pendingEvents.add(new PlacementEvent.WriteCommitted(write.id(), commit));
    }

    private static Transaction transaction(PlacementAction.WriteRows write) {
        Transaction.Builder builder = Transaction.builder(write.id());
        write.checks().forEach(c -> builder.check(c.table(), c.key(), c.commit()));
        write.taskPuts().forEach(row -> builder.put("tasks", row.key(), RowJson.toJson(row)));
        write.jobPuts()
                .forEach(row -> builder.put("jobs", row.spec().id().value(), RowJson.toJson(row)));
        write.taskDeletes().forEach(key -> builder.delete("tasks", key));
        return builder.build();
    }

    /** Delivers the owner's own writes as the results of its polls of both tables. */
    private void poll() {
        List<Row> rows = new ArrayList<>();
        changedTasks
                .values()
                .forEach(
                        row ->
                                rows.add(
                                        new Row(
                                                row.key(),
                                                row.commit(),
                                                "daemon-1-17-" + row.commit(),
                                                Optional.of(RowJson.toJson(row)))));
        byte[] page =
                FakeWorkers.toJsonBytes(
                        Map.of(
                                "commit",
                                commit,
                                "rows",
                                rows.stream()
                                        .map(
                                                row ->
                                                        Map.of(
                                                                "key",
                                                                row.key(),
                                                                "commit",
                                                                row.commit(),
                                                                "writer",
                                                                row.writer(),
                                                                "value",
                                                                row.value().orElseThrow()))
                                        .toList()));
        List<JobRow> changedRows = new ArrayList<>();
        changedJobs.forEach(key -> changedRows.add(jobs.get(key)));
        counts.storeBytes += page.length + 2 * HttpOverhead.BYTES;
        changedRows.forEach(
                row ->
                        counts.storeBytes +=
                                FakeWorkers.toJsonBytes(RowJson.toJson(row)).length + 90);
        changedTasks.clear();
        changedJobs.clear();
        List<TaskRow> tasks = meter.measure(() -> decode(page, rows));
        handle(new PlacementEvent.TaskRowsSeen(DATA_CENTRE, tasks, false, commit));
        handle(new PlacementEvent.JobsSeen(changedRows));
    }

    private static List<TaskRow> decode(byte[] page, List<Row> rows) {
        try {
            JSON.readTree(page);
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
        return rows.stream().flatMap(row -> RowJson.task(row).stream()).toList();
    }
}
