package org.peridotcourse.daemon.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.peridotcourse.DaemonId;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.daemon.log.DecisionRing;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.peer.PeerClient;
import org.peridotcourse.daemon.peer.PeerServer;
import org.peridotcourse.membership.Peer;

/** Measures the time from an edit to its effect in daemons that exchange messages over Thrift. */
class ConfigPropagationTest {
    private static final long TARGET_MILLIS = 6000;
    private static final long START_TIMEOUT_MILLIS = 20_000;
    private static final DataCentreId XELA = DataCentreId.of("xela");
    private final EventLog log = new EventLog(System.getLogger("spread"), new DecisionRing(1));
    private final FakeTable table = new FakeTable();
    private final List<AutoCloseable> closeables = new ArrayList<>();
    private final List<SnapshotHolder> holders = new ArrayList<>();

    private void startDaemon(String name, String dataCentre) throws Exception {
        SnapshotHolder config = new SnapshotHolder();
        Membership[] membership = new Membership[1];
        PeerServer server =
                new PeerServer(
                        new InetSocketAddress("127.0.0.1", 0),
                        request ->
                                new PeerHandler(membership[0], DutyThread::monotonicMillis)
                                        .exchange(request),
                        log);
        String address = "127.0.0.1:" + server.address().getPort();
        Peer self = new Peer(DaemonId.of(name), DataCentreId.of(dataCentre), address, 1);
        membership[0] = new Membership(self, config, log);
        PeerClient client = new PeerClient(300, 700);
        ConfigDuty duty =
                new ConfigDuty(
                        table,
                        client,
                        membership[0],
                        config,
                        "127.0.0.1:80",
                        DutyThread::monotonicMillis,
                        log);
        LeaseKeeper lease =
                new LeaseKeeper(
                        table,
                        AcceptorDuty.LEASE_KEY,
                        self,
                        LeaseKeeper.Durations.of(9000),
                        DutyThread::monotonicMillis,
                        log);
        AcceptorDuty acceptor =
                new AcceptorDuty(table, lease, self, DutyThread::monotonicMillis, log);
        closeables.add(server);
        closeables.add(thread(name + "-config", List.of(duty)));
        closeables.add(thread(name + "-acceptor", List.of(lease, acceptor)));
        closeables.add(client);
        holders.add(config);
    }

    private DutyThread thread(String name, List<Duty> duties) {
        return new DutyThread(
                name, duties, ConfigDuty.PERIOD_MILLIS, DutyThread::monotonicMillis, log);
    }

    @AfterEach
    void stop() throws Exception {
        for (int i = closeables.size() - 1; i >= 0; i--) {
            closeables.get(i).close();
        }
    }

    private static long await(long limitMillis, BooleanSupplier condition) {
        long startMillis = DutyThread.monotonicMillis();
        while (!condition.getAsBoolean()) {
            long waitedMillis = DutyThread.monotonicMillis() - startMillis;
            assertTrue(waitedMillis < limitMillis, "not in force after " + waitedMillis + " ms");
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2));
        }
        return DutyThread.monotonicMillis() - startMillis;
    }

    /** Waits, so that starts and edits happen in different phases of a round. */
    private static void sleep(long millis) {
        long endMillis = DutyThread.monotonicMillis() + millis;
        await(START_TIMEOUT_MILLIS, () -> DutyThread.monotonicMillis() >= endMillis);
    }

    private boolean allMayStartEquals(boolean expected) {
        long now = DutyThread.monotonicMillis();
        return holders.stream().allMatch(config -> config.mayStartTasks(XELA, now) == expected);
    }

    /** Guards against an edit that is not in force in all daemons within the target time. */
    @Test
    void editIsInForceEverywhereWithinTheTarget() throws Exception {
        Random random = new Random(3);
        for (int i = 1; i <= 8; i++) {
            startDaemon("d" + i, i % 2 == 0 ? "xela" : "zacapa");
            sleep(random.nextInt((int) ConfigDuty.PERIOD_MILLIS));
        }
        table.put("datacentres", "xela", "{'region':'altiplano'}");
        await(START_TIMEOUT_MILLIS, () -> allMayStartEquals(true));
        List<Long> times = new ArrayList<>();
        for (String state : List.of("out", "in", "out", "in", "out", "in", "out", "in")) {
            sleep(random.nextInt((int) ConfigDuty.PERIOD_MILLIS));
            table.put("datacentres", "xela", "{'region':'altiplano','state':'" + state + "'}");
            times.add(await(TARGET_MILLIS, () -> allMayStartEquals(state.equals("in"))));
        }
        System.getLogger("spread").log(System.Logger.Level.INFO, "edit to effect, ms: " + times);
        assertEquals(8, times.size());
    }
}
