package org.peridotcourse.routing;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.peridotcourse.BackendId;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.ServiceId;

/**
 * Backend servers of all services and the shares of this entry host in them. Confined to the
 * router's thread.
 */
final class ServicePools {
    private final DataCentreId dataCentre;
    private final String region;
    private final RoutingSettings settings;
    private final Map<ServiceId, ServicePool> pools = new LinkedHashMap<>();
    private EntryHosts hosts = new EntryHosts(1, 0);

    ServicePools(DataCentreId dataCentre, String region, RoutingSettings settings) {
        this.dataCentre = dataCentre;
        this.region = region;
        this.settings = settings;
    }

    EntryHosts hosts() {
        return hosts;
    }

    Collection<ServicePool> all() {
        return pools.values();
    }

    ServicePool of(ServiceId service) {
        return pools.get(service);
    }

    /**
     * Replaces the host list. Servers that the list omits are removed only after their connections
     * are closed.
     */
    void update(Collection<BackendInfo> list) {
        Map<ServiceId, Map<BackendId, BackendInfo>> listed = new LinkedHashMap<>();
        for (BackendInfo info : list) {
            pools.computeIfAbsent(info.service(), ServicePool::new);
            listed.computeIfAbsent(info.service(), service -> new LinkedHashMap<>())
                    .put(info.id(), info);
        }
        for (ServicePool pool : pools.values()) {
            update(pool, listed.getOrDefault(pool.service, Map.of()));
            updateShares(pool);
        }
    }

    private void update(ServicePool pool, Map<BackendId, BackendInfo> listed) {
        Set<BackendId> existing = new HashSet<>();
        for (BackendServer server : pool.servers()) {
            BackendInfo info = listed.get(server.info().id());
            existing.add(server.info().id());
            if (info == null) {
                server.markUnlisted();
            } else {
                server.update(info, tierOf(info));
            }
        }
        for (BackendInfo info : listed.values()) {
            if (!existing.contains(info.id())) {
                pool.servers().add(new BackendServer(info, tierOf(info)));
            }
        }
    }

    /** Replaces the live entry hosts and updates the shares. */
    void update(EntryHosts changed) {
        hosts = changed;
        pools.values().forEach(this::updateShares);
    }

    private void updateShares(ServicePool pool) {
        int totalShare = 0;
        for (BackendServer server : pool.servers()) {
            totalShare += server.updateShares(hosts, settings.policy().isLimited(), 0);
        }
        if (totalShare == 0) {
            // Without a share on any server, this entry host could not serve any request.
            for (BackendServer server : pool.servers()) {
                server.updateShares(hosts, settings.policy().isLimited(), 1);
            }
        }
    }

    private int tierOf(BackendInfo info) {
        if (info.dataCentre().equals(dataCentre)) {
            return 0;
        }
        return info.region().equals(region) ? 1 : 2;
    }
}
