package org.peridotcourse.daemon.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.config.ConfigChange;
import org.peridotcourse.config.Freshness;
import org.peridotcourse.wire.ExchangeReply;
import org.peridotcourse.wire.ExchangeRequest;

/**
 * Tests how configuration versions and their ages propagate over the readers of two data centres
 * and the other daemons, the followers.
 */
class ConfigDutyTest {
    private static final DataCentreId XELA = DataCentreId.of("xela");
    private static final DataCentreId ZACAPA = DataCentreId.of("zacapa");
    private final Cluster cluster = new Cluster();

    @BeforeEach
    void start() {
        for (int i = 1; i <= 4; i++) {
            cluster.add("x" + i, "xela", 1).withAcceptor();
        }
        for (int i = 1; i <= 4; i++) {
            cluster.add("z" + i, "zacapa", 1).withAcceptor();
        }
        cluster.table.put("datacentres", "xela", "{'region':'altiplano'}");
        cluster.table.put("datacentres", "zacapa", "{'region':'oriente'}");
        cluster.runRounds(12);
    }

    private Cluster.Node node(String name) {
        return cluster.nodes.stream()
                .filter(node -> node.running && node.self.daemon().value().equals(name))
                .findFirst()
                .orElseThrow();
    }

    private long age(String name) {
        return node(name).config.ageMillis(cluster.nowMillis);
    }

    /**
     * Guards against followers that never receive a version, and against task starts without a
     * recent confirmation.
     */
    @Test
    void everyDaemonIsFreshAndMayStart() {
        long version = node("x1").version();
        for (Cluster.Node node : cluster.nodes) {
            assertEquals(version, node.version());
            assertTrue(
                    node.config.ageMillis(cluster.nowMillis)
                            <= Freshness.MAX_TASK_START_AGE_MILLIS);
            assertTrue(node.config.mayStartTasks(XELA, cluster.nowMillis));
        }
        assertEquals(List.of("x1", "x2"), readers("x4"));
    }

    private List<String> readers(String name) {
        return node(name).membership.readers(cluster.nowMillis).stream()
                .map(Object::toString)
                .toList();
    }

    /** Guards against starting tasks in a data centre after its state was set to {@code out}. */
    @Test
    void dataCentreInStateOutStopsStartsWithinSeconds() {
        cluster.table.put("datacentres", "xela", "{'region':'altiplano','state':'out'}");
        cluster.runRounds(6);
        for (Cluster.Node node : cluster.nodes) {
            assertFalse(node.config.mayStartTasks(XELA, cluster.nowMillis));
            assertTrue(node.config.mayStartTasks(ZACAPA, cluster.nowMillis));
        }
    }

    /** Guards against followers that are left without a reader when both readers stop. */
    @Test
    void nextDaemonsBecomeReadersWhenReadersStop() {
        node("x1").running = false;
        node("x2").running = false;
        cluster.runRounds(4);
        assertEquals(List.of("x3", "x4"), readers("x3"));
        assertTrue(age("x4") <= Freshness.MAX_TASK_START_AGE_MILLIS);
    }

    /**
     * Guards against losing the version, or reporting too low an age, during a network partition.
     */
    @Test
    void partitionedDataCentreKeepsVersionWithGrowingAge() {
        long version = node("z1").version();
        cluster.partitionedDataCentres.add("zacapa");
        cluster.table.put("datacentres", "zacapa", "{'region':'oriente','state':'out'}");
        cluster.runRounds(20);
        for (String name : List.of("z1", "z2", "z3", "z4")) {
            assertEquals(version, node(name).version());
            assertTrue(age(name) >= 19_000);
            assertFalse(node(name).config.mayStartTasks(ZACAPA, cluster.nowMillis));
        }
        cluster.partitionedDataCentres.clear();
        cluster.runRounds(15);
        assertEquals(node("x1").version(), node("z4").version());
        assertFalse(node("z4").config.mayStartTasks(ZACAPA, cluster.nowMillis));
    }

    /** Guards against task starts, or a lost version, during a long outage of the table service. */
    @Test
    void longOutageKeepsVersionAndStopsStarts() {
        long version = node("x4").version();
        cluster.table.unavailable = true;
        cluster.runRounds(600);
        for (Cluster.Node node : cluster.nodes) {
            assertEquals(version, node.version());
            assertFalse(node.config.mayStartTasks(XELA, cluster.nowMillis));
        }
        cluster.table.unavailable = false;
        cluster.runRounds(3);
        assertTrue(node("x4").config.mayStartTasks(XELA, cluster.nowMillis));
        cluster.table.put("customers", "shop", "{}");
        cluster.runRounds(15);
        assertTrue(node("z4").version() > version);
    }

    /** Guards against installing an older version after a restart during an outage. */
    @Test
    void restartedFollowerTakesHighestVersionOfItsPeers() {
        cluster.partitionedDataCentres.add("zacapa");
        cluster.table.put("customers", "shop", "{}");
        cluster.runRounds(15);
        long version = node("x4").version();
        assertTrue(version > node("z4").version());
        cluster.table.unavailable = true;
        cluster.partitionedDataCentres.clear();
        node("x4").running = false;
        long highestVersion = version + 50;
        node("x3").config.install(new ConfigChange(version, highestVersion, List.of()));
        Cluster.Node restarted = cluster.add("x4", "xela", 2);
        restarted.configDuty.addSeedPeers(cluster.nodes.stream().map(node -> node.self).toList());
        ExchangeRequest request =
                restarted.membership.exchangeRequest(cluster.nowMillis, node("z4").self);
        ExchangeReply outdatedReply =
                node("z4").membership.handleRequest(cluster.nowMillis, request);
        ExchangeRequest pushRequest =
                node("z4").membership.exchangeRequest(cluster.nowMillis, restarted.self);
        restarted.membership.handleRequest(
                cluster.nowMillis, pushRequest.setDelta(outdatedReply.getDelta()));
        assertEquals(0, restarted.version());
        cluster.runRound();
        assertEquals(highestVersion, restarted.version());
    }

    /**
     * Guards against a data centre whose configuration becomes stale although another data centre
     * has a confirmed version.
     */
    @Test
    void readersWithoutStoreExchangeWithAnotherDataCentre() {
        cluster.table.unavailable = true;
        cluster.runRounds(5);
        long bytesBefore = cluster.peerBytes;
        cluster.table.put("customers", "shop", "{}");
        cluster.runRounds(2);
        assertTrue(cluster.peerBytes > bytesBefore);
        long confirmedVersion = node("x1").version() + 100;
        Cluster.Node confirmedNode = node("z1");
        confirmedNode.config.install(
                new ConfigChange(confirmedNode.version(), confirmedVersion, List.of()));
        confirmedNode.config.confirm(confirmedVersion, cluster.nowMillis, 0);
        cluster.runRounds(3);
        assertEquals(confirmedVersion, node("x1").version());
        assertEquals(confirmedVersion, node("x4").version());
    }

    /** Guards against an earlier run of a daemon that overwrites the row of a later run. */
    @Test
    void rowOfLaterIncarnationIsNotOverwritten() {
        node("x4").running = false;
        cluster.add("x4", "xela", 5);
        cluster.runRounds(12);
        assertEquals(
                5, cluster.table.value("daemons", "x4").orElseThrow().get("incarnation").asLong());
        Cluster.Node earlierRun = cluster.add("x4", "xela", 3);
        cluster.runRounds(12);
        assertEquals(
                5, cluster.table.value("daemons", "x4").orElseThrow().get("incarnation").asLong());
        assertTrue(earlierRun.version() > 0);
    }

    /** Guards against keeping the rows of daemons that stopped long ago. */
    @Test
    void acceptorRemovesRowsOfStoppedDaemons() {
        node("z4").running = false;
        cluster.runRounds(3800);
        assertTrue(cluster.table.value("daemons", "z4").isEmpty());
        assertTrue(cluster.table.value("daemons", "z3").isPresent());
    }
}
