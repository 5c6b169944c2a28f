package org.peridotcourse.daemon.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.peridotcourse.CustomerId;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.Resources;
import org.peridotcourse.WorkloadId;
import org.peridotcourse.config.ConfigSnapshot;
import org.peridotcourse.config.CustomerRow;
import org.peridotcourse.config.DataCentreRow;
import org.peridotcourse.config.WorkloadRow;
import org.peridotcourse.placement.PlacementConfig;

/**
 * Extracts the settings that placement needs from a configuration. It holds no state and is
 * thread-safe.
 */
final class ConfigView {
    private static final Resources UNLIMITED =
            Resources.of(Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE);

    /** Placeholder that matches no data centre; the table of data centres refuses this name. */
    private static final DataCentreId NO_DATA_CENTRE = DataCentreId.of("0.none");

    private ConfigView() {}

    static PlacementConfig of(ConfigSnapshot snapshot) {
        Map<DataCentreId, Boolean> dataCentres = new HashMap<>();
        snapshot.rows(DataCentreRow.class).forEach(row -> dataCentres.put(row.id(), row.isInUse()));
        Map<CustomerId, PlacementConfig.CustomerRule> customers = new HashMap<>();
        snapshot.rows(CustomerRow.class).forEach(row -> customers.put(row.id(), customerRule(row)));
        Map<WorkloadId, PlacementConfig.WorkloadRule> workloads = new HashMap<>();
        snapshot.rows(WorkloadRow.class)
                .forEach(row -> workloads.put(row.id(), workloadRule(snapshot, row)));
        return new PlacementConfig(snapshot.version(), dataCentres, customers, workloads);
    }

    /** Returns the longest cut-off hold of all batch workloads, for the lease row. */
    static long maxHoldMillis(ConfigSnapshot snapshot) {
        return snapshot.rows(WorkloadRow.class).stream()
                .filter(row -> !row.isLatencyCritical())
                .mapToLong(row -> row.cutOffHoldSeconds() * 1_000L)
                .max()
                .orElse(30_000L);
    }

    private static PlacementConfig.CustomerRule customerRule(CustomerRow row) {
        Optional<Resources> quota =
                row.quota().equals(UNLIMITED) ? Optional.empty() : Optional.of(row.quota());
        return new PlacementConfig.CustomerRule(row.weight(), quota);
    }

    private static PlacementConfig.WorkloadRule workloadRule(
            ConfigSnapshot snapshot, WorkloadRow row) {
        return new PlacementConfig.WorkloadRule(
                row.isLatencyCritical(),
                allowedDataCentres(snapshot, row),
                row.replicas(),
                row.size(),
                row.isUrgent(),
                row.maxEvictionsPerMinute());
    }

    /**
     * Returns the data centres that both the workload and its customer allow. A rule with an empty
     * set allows all data centres, so a placeholder is returned if none is allowed.
     */
    private static Set<DataCentreId> allowedDataCentres(ConfigSnapshot snapshot, WorkloadRow row) {
        Optional<CustomerRow> customer = snapshot.customer(row.customer());
        Set<DataCentreId> allowed = new HashSet<>();
        for (DataCentreRow dataCentre : snapshot.rows(DataCentreRow.class)) {
            DataCentreId id = dataCentre.id();
            boolean allowedByWorkload = row.dataCentres().map(set -> set.contains(id)).orElse(true);
            if (allowedByWorkload
                    && customer.map(customerRow -> customerRow.isAllowedIn(id)).orElse(false)) {
                allowed.add(id);
            }
        }
        return allowed.isEmpty() ? Set.of(NO_DATA_CENTRE) : allowed;
    }
}
