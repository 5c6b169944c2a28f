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
 * @param callers where callers connect
 * @param readiness where the load balancer asks for readiness
 * @param peers where other hosts connect
 * @param metrics where metrics are served, empty for nowhere
 * @param seeds addresses of some other hosts
 * @param milliCores processor of this host in thousandths of a core
 * @param limits figures that bound the work of this host
 */
public record HostSettings(
        String name,
        String dataCentre,
        InetSocketAddress callers,
        InetSocketAddress readiness,
        InetSocketAddress peers,
        Optional<InetSocketAddress> metrics,
        List<InetSocketAddress> seeds,
        int milliCores,
        Limits limits) {
    /**
     * Figures that bound the work of a host.
     *
     * @param leaseTimes lengths of the workers' leases
     * @param stateMillis how long the state of an ended job is kept at least
     * @param stopMillis time from SIGTERM until the process must be gone
     * @param maxBody the largest body of a call in bytes
     * @param maxRow the largest row in bytes
     * @param maxConnections the largest number of callers' connections
     */
    public record Limits(
            LeaseTimes leaseTimes,
            long stateMillis,
            long stopMillis,
            int maxBody,
            int maxRow,
            int maxConnections) {}
}
