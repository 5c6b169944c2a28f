package org.peridotcourse.daemon.placement;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.Result;
import org.peridotcourse.WorkerId;
import org.peridotcourse.daemon.http.HostPort;
import org.peridotcourse.daemon.platform.HostSource;
import org.peridotcourse.membership.Host;
import org.peridotcourse.membership.HostList;
import org.peridotcourse.placement.WorkerHost;

/**
 * Caches the workers of the last host list that was read through it.
 *
 * <p>It wraps the host list client and is read in its place. It is thread-safe.
 */
public final class WorkerDirectory implements HostSource {
    private final HostSource source;
    private volatile List<Host> workers = List.of();
    private volatile long version;

    /**
     * Creates an empty directory.
     *
     * @param source the host list
     */
    public WorkerDirectory(HostSource source) {
        this.source = source;
    }

    @Override
    public Result<HostList> hosts() {
        Result<HostList> result = source.hosts();
        if (result instanceof Result.Ok<HostList> ok) {
            workers = ok.value().ofRole(Host.Role.WORKER);
            version++;
        }
        return result;
    }

    long version() {
        return version;
    }

    List<WorkerHost> hostsForPlacement() {
        List<WorkerHost> hosts = new ArrayList<>();
        for (Host host : workers) {
            hosts.add(
                    new WorkerHost(
                            WorkerId.of(host.name()),
                            host.dataCentre(),
                            host.rack(),
                            host.capacity(),
                            host.leaving()));
        }
        return hosts;
    }

    Map<WorkerId, InetSocketAddress> addresses(DataCentreId dataCentre) {
        Map<WorkerId, InetSocketAddress> addresses = new HashMap<>();
        for (Host host : workers) {
            if (host.dataCentre().equals(dataCentre)) {
                HostPort.parse(host.address())
                        .ifPresent(
                                socketAddress ->
                                        addresses.put(WorkerId.of(host.name()), socketAddress));
            }
        }
        return addresses;
    }
}
