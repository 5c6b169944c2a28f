package org.peridotcourse.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.peridotcourse.BackendId;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.Resources;
import org.peridotcourse.ServiceId;

/** Checks that the host list, leaving headers and notices of peers are merged by their time. */
class BackendsTest {
    private static final BackendId B1 = BackendId.of("b1");
    private final Backends backends = new Backends();

    private static HostList list(long ageMillis, boolean leaving) {
        Host.Serving serving = new Host.Serving(ServiceId.of("desk"), 8, 64);
        DataCentreId dataCentre = DataCentreId.of("xela");
        return new HostList(
                ageMillis,
                List.of(
                        new Host(
                                "b1",
                                Host.Role.BACKEND,
                                dataCentre,
                                "r1",
                                "127.0.0.1:1",
                                leaving,
                                Optional.of(serving),
                                Resources.ZERO),
                        new Host(
                                "e1",
                                Host.Role.ENTRY,
                                dataCentre,
                                "r1",
                                "127.0.0.1:2",
                                leaving,
                                Optional.empty(),
                                Resources.ZERO)),
                0);
    }

    /**
     * Guards against new requests to a leaving backend server because a delayed list overrides its
     * more recent header.
     */
    @Test
    void laggingListDoesNotUndoHeader() {
        backends.onList(0, list(0, false));
        backends.onLeavingHeader(10_000, B1);
        backends.onList(20_000, list(12_000, false));
        assertTrue(backends.isLeaving(B1));
        assertTrue(backends.hosts().get(0).leaving());
        backends.onList(30_000, list(12_000, false));
        assertFalse(backends.isLeaving(B1));
    }

    /**
     * Guards against the loss of all backend servers while the host list is unavailable, and
     * against a list older than the one in use.
     */
    @Test
    void lastListStaysInUse() {
        assertEquals(1, backends.entryHosts(Optional.empty()));
        assertEquals(Optional.empty(), backends.listAgeMillis(0));
        backends.onList(1000, list(400, true));
        assertEquals(600_400, backends.listAgeMillis(601_000).orElseThrow());
        assertEquals(1, backends.hosts().size());
        assertTrue(backends.isLeaving(B1));
        backends.onList(2000, list(5000, false));
        assertTrue(backends.isLeaving(B1));
    }

    /**
     * Guards against a notice that never expires because two peers refresh it by sending it to each
     * other.
     */
    @Test
    void noticeAgeIncludesTransitTime() {
        backends.onRequestNotice(10_000, new LeavingNotice(B1, true, 3000));
        backends.onRequestNotice(20_000, new LeavingNotice(B1, true, 3000));
        assertEquals(13_000, backends.recentNotices(20_000).get(0).ageMillis());
        backends.onReplyNotice(20_000, new LeavingNotice(B1, true, 1000));
        assertEquals(1000, backends.recentNotices(20_000).get(0).ageMillis());
        assertEquals(List.of(), backends.recentNotices(80_000));
    }

    /** Guards against notices of peers that override a more recent host list. */
    @Test
    void noticeOlderThanTheListIsIgnored() {
        backends.onList(50_000, list(0, false));
        backends.onRequestNotice(51_000, new LeavingNotice(B1, true, 10_000));
        assertFalse(backends.isLeaving(B1));
        backends.onReplyNotice(51_000, new LeavingNotice(B1, true, 1500));
        assertTrue(backends.isLeaving(B1));
    }
}
