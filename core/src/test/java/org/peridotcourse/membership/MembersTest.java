package org.peridotcourse.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.peridotcourse.DaemonId;
import org.peridotcourse.DataCentreId;

/** Checks which daemons read the table service and with which ones a daemon exchanges. */
class MembersTest {
    private static final DataCentreId XELA = DataCentreId.of("xela");
    private static final DataCentreId HUEHUE = DataCentreId.of("huehue");
    private final Members members = new Members(DaemonId.of("x3"), XELA);

    private static Peer peer(String name, String dataCentre) {
        return new Peer(DaemonId.of(name), DataCentreId.of(dataCentre), name + ":1", 1);
    }

    @BeforeEach
    void start() {
        members.update(
                List.of(
                        peer("x1", "xela"),
                        peer("x2", "xela"),
                        peer("x3", "xela"),
                        peer("x4", "xela"),
                        peer("h1", "huehue"),
                        peer("z1", "zacapa")));
    }

    private List<String> exchanges(long nowMillis, long configAgeMillis) {
        return members.nextExchangePeers(nowMillis, configAgeMillis, Set.of(XELA, HUEHUE)).stream()
                .map(peer -> peer.daemon().value())
                .toList();
    }

    /**
     * Guards against a follower that always exchanges with the same reader, so that the failure of
     * the other one is not detected.
     */
    @Test
    void followerAlternatesBetweenReaders() {
        assertEquals(List.of("x1", "x2"), exchanges(0, 0));
        assertEquals(List.of("x2", "x1"), exchanges(1000, 0));
        assertFalse(members.isReader(1000));
    }

    /**
     * Guards against a data centre with only one reader after the failure or planned stop of the
     * other.
     */
    @Test
    void nextNameReadsInPlaceOfFailedOrLeavingReader() {
        members.recordFailure(0, DaemonId.of("x1"));
        assertFalse(members.isReader(0));
        members.recordFailure(1000, DaemonId.of("x1"));
        assertTrue(members.isReader(1000));
        members.recordMessage(2000, DaemonId.of("x1"), 1, false);
        assertFalse(members.isReader(2000));
        members.recordMessage(3000, DaemonId.of("x2"), 1, true);
        assertTrue(members.isReader(3000));
    }

    /**
     * Guards against exchanges over the billed link while the own data centre has fresh
     * configuration.
     */
    @Test
    void exchangesWithOtherDataCentresOnlyAsReaderWithoutFreshConfiguration() {
        members.recordMessage(0, DaemonId.of("x2"), 1, true);
        assertEquals(List.of("x1"), exchanges(0, 3000));
        assertEquals(List.of("x1", "x4", "z1"), exchanges(1000, 3001));
        assertEquals(List.of("x1", "x4", "h1"), exchanges(2000, 3001));
    }

    /**
     * Guards against a late message of an earlier run of a daemon that changes the state of its
     * current run.
     */
    @Test
    void ignoresEarlierIncarnation() {
        assertTrue(members.recordMessage(0, DaemonId.of("x1"), 4, false));
        assertFalse(members.recordMessage(1, DaemonId.of("x1"), 3, true));
        assertFalse(members.isReader(1));
        assertEquals(0L, members.lastMessageMillis(DaemonId.of("x1")).orElseThrow());
    }
}
