package org.peridotcourse.daemon.dispatch;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.peridotcourse.base.LeaseRow;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.ring.EventLoop;
import org.peridotcourse.dispatch.LeaseTimes;

/** Settings and components of test hosts that open no port. It holds no state. */
final class TestSettings {
    static final LeaseTimes LEASE_TIMES = new LeaseTimes(5_000, 6_000);
    private static final int MILLI_CORES = 1_000;
    private static final long STATE_RETENTION_MILLIS = 1_000;
    private static final int ROW_BYTES = 65_536;

    private TestSettings() {}

    static HostSettings host(String name) {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
        return new HostSettings(
                name,
                "xela",
                address,
                address,
                address,
                Optional.empty(),
                List.of(),
                MILLI_CORES,
                new HostSettings.Limits(LEASE_TIMES, STATE_RETENTION_MILLIS, 1, 1, ROW_BYTES, 1));
    }

    /** Returns the components of a host that calls neither workers nor the platform. */
    static HostComponents components(EventLoop loop, RowStore store, EventLog log) {
        return new HostComponents(
                loop,
                host("host"),
                store,
                new StoreHealth(log),
                null,
                null,
                new DispatchMetrics(loop::nowMillis),
                log);
    }

    /** Returns the first write to a store, which makes a host the owner of an epoch. */
    static RowWrite epochWrite(String holder, long epoch) {
        byte[] lease = RowCodec.lease(new LeaseRow(holder, epoch, 1_500, 12_000, 0));
        return RowWrite.builder(RowNames.PART)
                .put(RowNames.DUTIES, RowNames.EPOCH_KEY, lease)
                .build();
    }
}
