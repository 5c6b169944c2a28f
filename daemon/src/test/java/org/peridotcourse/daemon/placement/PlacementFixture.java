package org.peridotcourse.daemon.placement;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Assertions;
import org.peridotcourse.DaemonId;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.JobId;
import org.peridotcourse.Resources;
import org.peridotcourse.Result;
import org.peridotcourse.WorkloadId;
import org.peridotcourse.config.ConfigChange;
import org.peridotcourse.config.ConfigEntry;
import org.peridotcourse.config.ConfigTable;
import org.peridotcourse.config.RowKey;
import org.peridotcourse.daemon.control.DutyThread;
import org.peridotcourse.daemon.control.FakeTable;
import org.peridotcourse.daemon.control.RowCodec;
import org.peridotcourse.daemon.control.SnapshotHolder;
import org.peridotcourse.daemon.http.ChannelFactory;
import org.peridotcourse.daemon.log.DecisionRing;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.platform.Row;
import org.peridotcourse.daemon.platform.RowPage;
import org.peridotcourse.daemon.platform.StoreFailure;
import org.peridotcourse.daemon.platform.TableStore;
import org.peridotcourse.daemon.platform.Transaction;
import org.peridotcourse.daemon.platform.WriteOutcome;
import org.peridotcourse.membership.HostList;
import org.peridotcourse.membership.Peer;
import org.peridotcourse.placement.JobRow;

/** One data centre with a table, a worker on loopback and daemons with separate clocks. */
final class PlacementFixture implements AutoCloseable {
    static final EventLog LOG = new EventLog(System.getLogger("test"), new DecisionRing(64));

    final FakeTable table = new FakeTable();
    final FakeWorker worker = new FakeWorker("w1");
    final ChannelFactory channels = new ChannelFactory(1 << 20);
    private final List<DaemonNode> nodes = new ArrayList<>();

    PlacementFixture() throws IOException {
        table.put("datacentres", "a", "{'region':'r','state':'in'}");
    }

    /** A daemon with its own clock and its own access to the table. */
    final class DaemonNode implements TableStore {
        final SnapshotHolder config = new SnapshotHolder();
        final PlacementDuty duty;
        volatile boolean tableUnreachable;

        /** Number of table calls that still throw an unexpected exception. */
        final AtomicLong failuresLeft = new AtomicLong();

        private volatile long frozenMillis = -1;
        private volatile long skewMillis;

        DaemonNode(String name) {
            config.install(
                    new ConfigChange(
                            0,
                            5,
                            List.of(
                                    entry(ConfigTable.DATA_CENTRES, "a", "{\"region\":\"r\"}"),
                                    entry(ConfigTable.CUSTOMERS, "c", "{}"),
                                    entry(ConfigTable.WORKLOADS, "c/w", "{\"class\":\"batch\"}"))));
            WorkerDirectory directory =
                    new WorkerDirectory(
                            () -> Result.ok(new HostList(0, List.of(worker.host()), 0)));
            directory.hosts();
            Peer self = new Peer(DaemonId.of(name), DataCentreId.of("a"), "127.0.0.1:1", 1);
            duty = new PlacementDuty(self, this, channels, config, directory, this::now, LOG);
            nodes.add(this);
            duty.start();
        }

        long now() {
            long frozen = frozenMillis;
            return frozen >= 0 ? frozen : DutyThread.monotonicMillis() + skewMillis;
        }

        void freezeClock() {
            frozenMillis = now();
        }

        /** Resumes the frozen clock at the given time after the moment of the freeze. */
        void resumeClock(long pausedMillis) {
            skewMillis = frozenMillis + pausedMillis - DutyThread.monotonicMillis();
            frozenMillis = -1;
        }

        void advanceClock(long millis) {
            skewMillis += millis;
        }

        @Override
        public Result<Optional<Row>> row(String name, String key) {
            throwIfFailureLeft();
            return tableUnreachable
                    ? Result.failed(StoreFailure.UNAVAILABLE)
                    : table.row(name, key);
        }

        @Override
        public Result<RowPage> rows(String name, String prefix, long since, int limit) {
            throwIfFailureLeft();
            return tableUnreachable
                    ? Result.failed(StoreFailure.UNAVAILABLE)
                    : table.rows(name, prefix, since, limit);
        }

        @Override
        public WriteOutcome write(Transaction transaction) {
            throwIfFailureLeft();
            return tableUnreachable ? new WriteOutcome.Unknown() : table.write(transaction);
        }

        private void throwIfFailureLeft() {
            if (failuresLeft.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
                throw new IllegalArgumentException("injected failure");
            }
        }
    }

    private static ConfigEntry entry(ConfigTable table, String key, String text) {
        return RowCodec.toConfigEntry(new RowKey(table, key), 5, Optional.of(text)).orElseThrow();
    }

    void submit(String job, int tasks) {
        JobRow row =
                JobRow.submitted(
                        new JobRow.Spec(
                                JobId.of(job),
                                WorkloadId.of("c/w"),
                                tasks,
                                Resources.of(100, 10),
                                false,
                                ""));
        table.put("jobs", job, RowJson.toJson(row).toString());
    }

    String state(String job) {
        return table.value("jobs", job).map(json -> json.path("state").asText()).orElse("");
    }

    /** Waits for a condition while the configuration of all daemons is confirmed. */
    void await(String event, BooleanSupplier condition) {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!condition.getAsBoolean()) {
            Assertions.assertTrue(System.nanoTime() < deadline, event);
            nodes.forEach(node -> node.config.confirm(5, node.now(), 0));
            LockSupport.parkNanos(2_000_000);
        }
    }

    /** Waits for the given time while the configuration of all daemons is confirmed. */
    void runFor(long millis) {
        long end = DutyThread.monotonicMillis() + millis;
        await("time passes", () -> DutyThread.monotonicMillis() >= end);
    }

    @Override
    public void close() throws IOException {
        nodes.forEach(node -> node.resumeClock(0));
        nodes.forEach(node -> node.duty.close());
        worker.close();
        channels.close();
    }
}
