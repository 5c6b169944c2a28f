package org.peridotcourse.daemon.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.peridotcourse.BackendId;
import org.peridotcourse.config.ConfigChange;
import org.peridotcourse.config.ConfigEntry;
import org.peridotcourse.config.ConfigTable;
import org.peridotcourse.config.Freshness;
import org.peridotcourse.config.RowKey;
import org.peridotcourse.membership.Peer;
import org.peridotcourse.wire.BackendNote;
import org.peridotcourse.wire.ConfigDelta;
import org.peridotcourse.wire.ConfigRow;
import org.peridotcourse.wire.ExchangeReply;
import org.peridotcourse.wire.ExchangeRequest;
import org.peridotcourse.wire.PeerHello;

/** Tests which parts of messages from other daemons are applied. */
class MembershipTest {
    private final Cluster cluster = new Cluster();
    private final Cluster.Node node = cluster.add("d1", "xela", 1);
    private final Peer other = Cluster.peer("d2", "xela", 3);

    @BeforeEach
    void start() {
        node.membership.updatePeers(List.of(other));
        RowKey key = new RowKey(ConfigTable.CUSTOMERS, "shop");
        Optional<ConfigEntry> entry = RowCodec.toConfigEntry(key, 5, Optional.of("{\"weight\":5}"));
        node.config.install(new ConfigChange(0, 5, List.of(entry.orElseThrow())));
    }

    private static PeerHello hello(long incarnation, long version, long age) {
        return new PeerHello("d2", "xela", incarnation, false, version, age);
    }

    private static ConfigDelta delta(long from, long to, String text) {
        return new ConfigDelta(
                from, to, List.of(new ConfigRow("customers", "shop").setValue(text)));
    }

    /** Guards against a request with a long transit time that makes outdated rows seem fresh. */
    @Test
    void requestsDoNotConfirmAge() {
        node.membership.handleRequest(1000, new ExchangeRequest(hello(3, 5, 0), List.of()));
        assertEquals(Freshness.NEVER_CONFIRMED, node.config.ageMillis(1000));
        node.membership.onReply(1000, 1400, new ExchangeReply(hello(3, 5, 200), List.of()));
        assertEquals(600, node.config.ageMillis(1400));
    }

    /** Guards against using the age of a version that this daemon has not installed. */
    @Test
    void laterVersionWithoutRowsDoesNotConfirmAge() {
        node.membership.onReply(1000, 1400, new ExchangeReply(hello(3, 9, 200), List.of()));
        assertEquals(Freshness.NEVER_CONFIRMED, node.config.ageMillis(1400));
    }

    /** Guards against installing a delta that is malformed, older or starts at a later version. */
    @Test
    void ignoresMalformedOlderAndNonContiguousDeltas() {
        for (ConfigDelta invalidDelta :
                List.of(
                        delta(5, 9, "{\"weight\":0}"),
                        delta(5, 9, "nonsense"),
                        delta(0, 4, "{\"weight\":1}"),
                        delta(7, 9, "{\"weight\":1}"),
                        delta(-1, 9, "{\"weight\":1}"),
                        new ConfigDelta(
                                5, 9, List.of(new ConfigRow("colours", "red").setValue("{}"))))) {
            ExchangeRequest request = new ExchangeRequest(hello(3, 9, 0), List.of());
            node.membership.handleRequest(1000, request.setDelta(invalidDelta));
            assertEquals(5, node.version());
        }
        ExchangeRequest request = new ExchangeRequest(hello(3, 9, 0), List.of());
        node.membership.handleRequest(1000, request.setDelta(delta(5, 9, "{\"weight\":1}")));
        assertEquals(9, node.version());
    }

    /** Guards against applying a message of an earlier run of a daemon, or without a sender. */
    @Test
    void ignoresOutdatedAndAnonymousSenders() {
        List<BackendNote> notices = List.of(new BackendNote("b1", true, 0));
        node.membership.handleRequest(1000, new ExchangeRequest(hello(2, 5, 0), notices));
        ExchangeReply reply =
                node.membership.handleRequest(1000, new ExchangeRequest(null, notices));
        assertEquals("d1", reply.getSender().getDaemon());
        assertTrue(!node.membership.isLeaving(BackendId.of("b1")));
        node.membership.handleRequest(1000, new ExchangeRequest(hello(3, 5, 0), notices));
        assertTrue(node.membership.isLeaving(BackendId.of("b1")));
    }

    /** Guards against a leaving notice that stays with the daemon that received the header. */
    @Test
    void leavingNoticeReachesAllDaemons() {
        Map.of("d3", "xela", "d4", "xela", "d5", "xela").forEach((n, dc) -> cluster.add(n, dc, 1));
        cluster.table.put("customers", "shop", "{}");
        cluster.add("d6", "xela", 1).withAcceptor();
        cluster.runRounds(4);
        BackendId leaving = BackendId.of("b7");
        cluster.nodes.get(3).membership.onLeavingHeader(cluster.nowMillis, leaving);
        cluster.runRounds(3);
        assertTrue(cluster.nodes.stream().allMatch(each -> each.membership.isLeaving(leaving)));
    }
}
