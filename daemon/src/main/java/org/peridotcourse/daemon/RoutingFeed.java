package org.peridotcourse.daemon;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.peridotcourse.BackendId;
import org.peridotcourse.CustomerId;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.ServiceId;
import org.peridotcourse.config.ConfigSnapshot;
import org.peridotcourse.config.CustomerRow;
import org.peridotcourse.config.DataCentreRow;
import org.peridotcourse.config.WorkloadRow;
import org.peridotcourse.daemon.control.Duty;
import org.peridotcourse.daemon.control.Membership;
import org.peridotcourse.daemon.control.SnapshotHolder;
import org.peridotcourse.daemon.entry.EntryView;
import org.peridotcourse.daemon.entry.RouterThread;
import org.peridotcourse.daemon.http.HostPort;
import org.peridotcourse.membership.Host;
import org.peridotcourse.membership.Peer;
import org.peridotcourse.routing.BackendInfo;
import org.peridotcourse.routing.BackendState;
import org.peridotcourse.routing.CustomerInfo;
import org.peridotcourse.routing.EntryHosts;

/**
 * Passes changes of configuration and membership to the router.
 *
 * <p>It runs after the duties that update them. Confined to one thread.
 */
final class RoutingFeed implements Duty {
    private final Membership membership;
    private final SnapshotHolder config;
    private final RouterThread router;
    private final String ownRegion;

    private List<BackendInfo> backends = List.of();
    private Map<BackendId, InetSocketAddress> addresses = Map.of();
    private List<CustomerInfo> customers = List.of();
    private EntryHosts entryHosts = new EntryHosts(1, 0);

    RoutingFeed(
            Membership membership, SnapshotHolder config, RouterThread router, String ownRegion) {
        this.membership = membership;
        this.config = config;
        this.router = router;
        this.ownRegion = ownRegion;
    }

    @Override
    public void step(long nowMillis) {
        ConfigSnapshot snapshot = config.snapshot();
        updateBackends(snapshot);
        updateCustomers(snapshot);
        EntryHosts current = entryHosts();
        if (!current.equals(entryHosts)) {
            entryHosts = current;
            router.updateEntryHosts(current);
        }
    }

    private void updateBackends(ConfigSnapshot snapshot) {
        List<BackendInfo> infos = new ArrayList<>();
        Map<BackendId, InetSocketAddress> currentAddresses = new HashMap<>();
        for (Host host : membership.backends()) {
            Optional<InetSocketAddress> address = HostPort.parse(host.address());
            if (address.isEmpty() || host.serving().isEmpty()) {
                continue;
            }
            BackendInfo info = toInfo(snapshot, host);
            infos.add(info);
            currentAddresses.put(info.id(), address.get());
        }
        if (!infos.equals(backends) || !currentAddresses.equals(addresses)) {
            backends = infos;
            addresses = currentAddresses;
            router.updateBackends(infos, currentAddresses);
        }
    }

    private BackendInfo toInfo(ConfigSnapshot snapshot, Host host) {
        Optional<DataCentreRow> row = snapshot.dataCentre(host.dataCentre());
        boolean inOwnDataCentre = host.dataCentre().equals(membership.self().dataCentre());
        boolean dataCentreOut = row.isPresent() && !row.get().isInUse();
        BackendState state =
                dataCentreOut
                        ? BackendState.OUT
                        : host.leaving() ? BackendState.LEAVING : BackendState.LIVE;
        Host.Serving serving = host.serving().orElseThrow();
        return new BackendInfo(
                BackendId.of(host.name()),
                serving.service(),
                host.dataCentre(),
                row.map(DataCentreRow::region).orElse(inOwnDataCentre ? ownRegion : "unknown"),
                serving.slots(),
                serving.connections(),
                state);
    }

    private void updateCustomers(ConfigSnapshot snapshot) {
        List<CustomerInfo> infos = new ArrayList<>();
        Set<CustomerId> ids = new HashSet<>();
        for (CustomerRow row : snapshot.rows(CustomerRow.class)) {
            ids.add(row.id());
            infos.add(
                    new CustomerInfo(
                            row.id(),
                            row.weight(),
                            row.maxInFlight(),
                            row.maxRequestsPerSecond(),
                            row.dataCentres().orElse(Set.<DataCentreId>of())));
        }
        Map<CustomerId, Map<ServiceId, Long>> deadlines = new HashMap<>();
        for (WorkloadRow row : snapshot.rows(WorkloadRow.class)) {
            row.service()
                    .ifPresent(
                            service ->
                                    deadlines
                                            .computeIfAbsent(row.customer(), id -> new HashMap<>())
                                            .put(service, (long) row.deadlineMillis()));
        }
        Set<ServiceId> services = new HashSet<>();
        backends.forEach(backend -> services.add(backend.service()));
        EntryView view = new EntryView(snapshot.version() > 0, ids, deadlines, services);
        if (!infos.equals(customers)) {
            customers = infos;
            router.updateCustomers(infos);
        }
        if (!view.equals(router.view())) {
            router.updateView(view);
        }
    }

    private EntryHosts entryHosts() {
        String ownName = membership.self().daemon().value();
        long precedingPeers =
                membership.peers().stream()
                        .map(Peer::daemon)
                        .filter(daemon -> daemon.value().compareTo(ownName) < 0)
                        .count();
        return new EntryHosts(membership.liveEntryHostCount(), (int) precedingPeers);
    }
}
