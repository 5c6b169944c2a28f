package org.peridotcourse.daemon.dispatch;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.peridotcourse.dispatch.LeaseTimes;

/**
 * What a host learns from its settings.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param name the name of the host
 * @param dataCentre its data centre
 * @param callerAddress where callers connect
 * @param readinessAddress where the load balancer asks for readiness
 * @param peerAddress where other hosts connect
 * @param metricsAddress where metrics are served, empty for nowhere
 * @param seeds addresses of some other hosts
 * @param milliCores processor of this host in thousandths of a core
 * @param limits figures that bound the work of this host
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
     * Figures that bound the work of a host.
     *
     * @param leaseTimes lengths of the workers' leases
     * @param stateRetentionMillis how long the state of an ended job is kept at least
     * @param stopTimeoutMillis time from SIGTERM until the process must be gone
     * @param maxBodyBytes the largest body of a call in bytes
     * @param maxRowBytes the largest row in bytes
     * @param maxConnections the largest number of callers' connections
     */
    public record Limits(
            LeaseTimes leaseTimes,
            long stateRetentionMillis,
            long stopTimeoutMillis,
            int maxBodyBytes,
            int maxRowBytes,
            int maxConnections) {}
}
