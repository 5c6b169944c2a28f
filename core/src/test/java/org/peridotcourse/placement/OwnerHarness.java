package org.peridotcourse.placement;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.peridotcourse.CustomerId;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.JobId;
import org.peridotcourse.Resources;
import org.peridotcourse.WorkerId;
import org.peridotcourse.WorkloadId;
import org.peridotcourse.base.LeaseRow;

/** Drives one owner without faults or delays, and measures its processor time per call. */
final class OwnerHarness {
    static final DataCentreId HERE = DataCentreId.of("a");
    static final DataCentreId OTHER = DataCentreId.of("b");
    private static final long TICK_MILLIS = 50;

    /** Time from the crash of a worker to its restart. */
    private static final long RESTART_MILLIS = 3_000;

    /** Number of crashes of workers by their tasks. */
    int crashes;

    private final Map<FakeWorker, Long> restartAt = new HashMap<>();

    /**
     * Measures processor time; elapsed time would include that of other processes on the machine.
     */
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    final PlacementOwner owner;
    final DataCentreId here;
    final FakeTable table;
    final Map<WorkerId, FakeWorker> workers = new TreeMap<>();
    final List<PlacementAction.WriteRows> writes = new ArrayList<>();
    final List<String> decisions = new ArrayList<>();
    final Map<CustomerId, PlacementConfig.CustomerRule> customers = new TreeMap<>();
    final Map<WorkloadId, PlacementConfig.WorkloadRule> workloads = new TreeMap<>();
    final Map<DataCentreId, Boolean> dataCentres = new TreeMap<>();
    final List<WorkerHost> hosts = new ArrayList<>();
    Resources freeElsewhere = Resources.ZERO;

    /** Whether the owner of the other data centre has stopped. */
    boolean peerStopped;

    /** Processor time of each call of the owner. */
    final List<Long> callNanos = new ArrayList<>();

    /** Processor time per placement, of the calls that made any. */
    final List<Long> placementNanos = new ArrayList<>();

    long now = 1_000;
    private final ArrayDeque<PlacementEvent> events = new ArrayDeque<>();
    private long leaseCommit;
    private long version;

    /** The owner of the other data centre on the same table, null if the test simulates it. */
    private OwnerHarness peer;

    OwnerHarness(PlacementPolicy policy) {
        this(policy, HERE, new FakeTable(EnumSet.noneOf(SafetyMechanism.class), null));
    }

    private OwnerHarness(PlacementPolicy policy, DataCentreId here, FakeTable table) {
        this.here = here;
        this.table = table;
        owner = new PlacementOwner(OwnerSettings.of(here, "d0"), policy);
        dataCentres.put(here, true);
    }

    /** Adds and returns the harness of the other data centre on the same table. */
    OwnerHarness addPeer(PlacementPolicy policy) {
        peer = new OwnerHarness(policy, OTHER, table);
        peer.peer = this;
        return peer;
    }

    void addWorkers(int count, Resources capacity) {
        for (int i = 0; i < count; i++) {
            WorkerHost host =
                    new WorkerHost(
                            WorkerId.of(String.format("%s-w%04d", here.value(), hosts.size())),
                            here,
                            "r" + i / 8,
                            capacity,
                            false);
            hosts.add(host);
            workers.put(
                    host.id(),
                    new FakeWorker(host, EnumSet.noneOf(SafetyMechanism.class), null, 1));
        }
    }

    void customer(String name, int weight, Resources quota) {
        customers.put(
                CustomerId.of(name),
                new PlacementConfig.CustomerRule(weight, Optional.ofNullable(quota)));
    }

    WorkloadId batch(String name, int evictionsPerMinute) {
        WorkloadId id = WorkloadId.of(name);
        workloads.put(
                id,
                new PlacementConfig.WorkloadRule(
                        false, Set.of(), 0, Resources.ZERO, false, evictionsPerMinute));
        return id;
    }

    WorkloadId service(String name, int replicas, Resources size) {
        WorkloadId id = WorkloadId.of(name);
        workloads.put(
                id, new PlacementConfig.WorkloadRule(true, Set.of(), replicas, size, false, 0));
        return id;
    }

    void submit(String job, WorkloadId workload, int tasks, Resources size, String payload) {
        submit(job, workload, tasks, size, payload, false);
    }

    void submit(
            String job,
            WorkloadId workload,
            int tasks,
            Resources size,
            String payload,
            boolean urgent) {
        table.putJob(
                JobRow.submitted(
                        new JobRow.Spec(JobId.of(job), workload, tasks, size, urgent, payload)));
        events.add(new PlacementEvent.JobsSeen(List.of(job(job))));
    }

    void cancel(String job) {
        JobRow row = job(job);
        table.putJob(new JobRow(row.spec(), true, row.progress(), 0));
        events.add(new PlacementEvent.JobsSeen(List.of(job(job))));
    }

    JobRow job(String name) {
        return FakeTable.job(table.row("jobs", name));
    }

    long queuedHere() {
        return owner.status(now).queued();
    }

    /** Runs for a simulated time. */
    void run(long millis) {
        long end = now + millis;
        while (now < end) {
            step();
            if (peer != null) {
                peer.step();
            }
        }
    }

    /** Crashes the workers with a task that does this; they restart some seconds later. */
    private void crashAndRestartWorkers() {
        for (FakeWorker worker : workers.values()) {
            if (worker.alive && worker.runsCrashingTask(now)) {
                worker.kill();
                crashes++;
                restartAt.put(worker, now + RESTART_MILLIS);
            }
            if (restartAt.getOrDefault(worker, Long.MAX_VALUE) <= now) {
                restartAt.remove(worker);
                worker.restart(now, 0);
            }
        }
    }

    private void step() {
        crashAndRestartWorkers();
        if (now % 1_000 == 0) {
            poll();
        }
        if (now % 3_000 == 0 || leaseCommit == 0) {
            lease();
        }
        events.add(new PlacementEvent.Tick());
        while (!events.isEmpty()) {
            handle(events.poll());
        }
        now += TICK_MILLIS;
    }

    private void poll() {
        version++;
        events.add(
                new PlacementEvent.ConfigSeen(
                        new PlacementConfig(version, dataCentres, customers, workloads), now));
        events.add(new PlacementEvent.WorkersSeen(hosts));
        if (peer != null) {
            events.add(new PlacementEvent.JobsSeen(table.jobs()));
            events.add(
                    new PlacementEvent.TaskRowsSeen(
                            here, table.tasks(here.value() + "/"), false, table.commit()));
            FakeTable.Stored stored = table.row("leases", "placement/" + peer.here.value());
            if (stored != null) {
                FakeTable.Lease lease = (FakeTable.Lease) stored.value();
                events.add(
                        new PlacementEvent.PeerLeaseSeen(
                                peer.here, lease.row(), stored.commit(), lease.free()));
            }
        } else if (dataCentres.containsKey(OTHER) && !peerStopped) {
            events.add(
                    new PlacementEvent.PeerLeaseSeen(
                            OTHER,
                            new LeaseRow("e0", 1, 9_000, 600_000, now),
                            table.commit() + now,
                            freeElsewhere));
        }
    }

    private void lease() {
        LeaseRow row = new LeaseRow("d0", 1, 9_000, 600_000, now);
        leaseCommit =
                table.writeLease(
                        "placement/" + here.value(),
                        leaseCommit,
                        new FakeTable.Lease(
                                row, peer == null ? freeElsewhere : owner.freeCapacity(now)),
                        "l" + here + now);
        events.add(new PlacementEvent.LeaseConfirmed(row, leaseCommit, now, 0));
    }

    private void handle(PlacementEvent event) {
        long startNanos = THREADS.getCurrentThreadCpuTime();
        List<PlacementAction> actions = owner.handle(now, event);
        long cpuNanos = THREADS.getCurrentThreadCpuTime() - startNanos;
        callNanos.add(cpuNanos);
        int placements = 0;
        for (PlacementAction action : actions) {
            if (action instanceof PlacementAction.Decided decided) {
                placements += decided.decision().equals("task-placed") ? 1 : 0;
                decisions.add(decided.decision() + " " + decided.subject());
            }
            perform(action);
        }
        for (int i = 0; i < placements; i++) {
            placementNanos.add(cpuNanos / placements);
        }
    }

    private void perform(PlacementAction action) {
        if (action instanceof PlacementAction.WriteRows write) {
            writes.add(write);
            long commit = table.write(write);
            events.add(
                    commit > 0
                            ? new PlacementEvent.WriteCommitted(write.id(), commit)
                            : new PlacementEvent.WriteConflict(write.id()));
        } else if (action instanceof PlacementAction.ReadTasks read) {
            events.add(
                    new PlacementEvent.TaskRowsSeen(
                            read.dataCentre(),
                            table.tasks(read.dataCentre().value() + "/"),
                            true,
                            table.commit()));
        } else if (action instanceof PlacementAction.SendCommands send) {
            FakeWorker worker = workers.get(send.worker());
            if (worker.alive) {
                worker.execute(now, send).ifPresent(events::add);
            } else {
                events.add(new PlacementEvent.CommandsFailed(send.worker(), send.number(), false));
            }
        } else if (action instanceof PlacementAction.FetchReport fetch) {
            FakeWorker worker = workers.get(fetch.worker());
            events.add(
                    worker.alive
                            ? new PlacementEvent.ReportReceived(fetch.number(), worker.report(now))
                            : new PlacementEvent.ReportFailed(fetch.worker(), fetch.number()));
        }
    }

    static long percentile(List<Long> values, double fraction) {
        List<Long> sorted = new ArrayList<>(values);
        sorted.sort(null);
        return sorted.isEmpty()
                ? 0
                : sorted.get((int) Math.min(sorted.size() - 1, sorted.size() * fraction));
    }
}
