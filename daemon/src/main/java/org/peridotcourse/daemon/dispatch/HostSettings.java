package org.peridotcourse.daemon.dispatch;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.peridotcourse.dispatch.LeaseTimes;

/**
 * The settings of a host.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param name the name of the host
 * @param dataCentre its data centre
 * @param callerAddress the address to which callers connect
 * @param readinessAddress the address of the readiness check of the load balancer
 * @param peerAddress the address to which other hosts connect
 * @param metricsAddress the address at which metrics are served, empty if they are not served
 * @param seeds addresses of some other hosts
 * @param milliCores processor capacity of this host in thousandths of a core
 * @param limits limits of this host
 */
public record HostSettings(
        String name,
        String dataCentre,
        InetSocketAddress callerAddress,
        InetSocketAddress readinessAddress,
        InetSocketAddress peerAddress,
        Optional<InetSocketAddress> metricsAddress,
        List<InetSocketAddress> seeds,
        int milliCores,
        Limits limits) {
    /**
     * Limits of a host.
     *
     * @param leaseTimes durations of the workers' leases
     * @param stateRetentionMillis minimum time for which the state of an ended job is retained
     * @param stopTimeoutMillis time from SIGTERM until the process must have ended
     * @param maxBodyBytes the largest body of a call
     * @param maxRowBytes the largest row
     * @param maxConnections the largest number of connections of callers
     */
    public record Limits(
            LeaseTimes leaseTimes,
            long stateRetentionMillis,
            long stopTimeoutMillis,
            int maxBodyBytes,
            int maxRowBytes,
            int maxConnections) {}
}
