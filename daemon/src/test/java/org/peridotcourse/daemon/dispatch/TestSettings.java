package org.peridotcourse.daemon.dispatch;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.peridotcourse.dispatch.LeaseTimes;

/** Settings of test hosts that open no port. It holds no state. */
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
}
