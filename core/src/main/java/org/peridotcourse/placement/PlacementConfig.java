package org.peridotcourse.placement;

import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.peridotcourse.CustomerId;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.Resources;
import org.peridotcourse.WorkloadId;

/**
 * The part of the accepted configuration that placement needs.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param version version of the configuration
 * @param dataCentres true for each data centre that is {@code in}, false for {@code out}
 * @param customers the customers
 * @param workloads the workloads
 */
public record PlacementConfig(
        long version,
        Map<DataCentreId, Boolean> dataCentres,
        Map<CustomerId, CustomerRule> customers,
        Map<WorkloadId, WorkloadRule> workloads) {
    /** The configuration before the first one was read; nothing may start under it. */
    public static final PlacementConfig EMPTY =
            new PlacementConfig(0, Map.of(), Map.of(), Map.of());

    /**
     * Copies the maps in the order of their keys, so that equal input gives equal decisions.
     *
     * @param version version of the configuration
     * @param dataCentres state of the data centres
     * @param customers the customers
     * @param workloads the workloads
     */
    public PlacementConfig {
        dataCentres = Collections.unmodifiableMap(new TreeMap<>(dataCentres));
        customers = Collections.unmodifiableMap(new TreeMap<>(customers));
        workloads = Collections.unmodifiableMap(new TreeMap<>(workloads));
    }

    /**
     * Returns whether a data centre is {@code in}.
     *
     * @param dataCentre the data centre
     * @return true if tasks may start there
     */
    public boolean isIn(DataCentreId dataCentre) {
        return dataCentres.getOrDefault(dataCentre, false);
    }

    /**
     * A customer.
     *
     * @param weight weight in the fair order
     * @param quota maximum resources of all running batch tasks in all data centres, if limited
     */
    public record CustomerRule(int weight, Optional<Resources> quota) {}

    /**
     * A workload.
     *
     * @param latencyCritical true for a service, false for batch work
     * @param dataCentres where it may run; empty means everywhere
     * @param replicas number of replicas in each data centre, latency-critical only
     * @param size size of each replica
     * @param urgent true if its jobs are scheduled before the customer's other jobs
     * @param maxEvictionsPerMinute maximum number of evictions of its tasks per minute and data
     *     centre
     */
    public record WorkloadRule(
            boolean latencyCritical,
            Set<DataCentreId> dataCentres,
            int replicas,
            Resources size,
            boolean urgent,
            int maxEvictionsPerMinute) {
        /**
         * Returns whether the workload may run in a data centre.
         *
         * @param dataCentre the data centre
         * @return true if it may
         */
        public boolean allows(DataCentreId dataCentre) {
            return dataCentres.isEmpty() || dataCentres.contains(dataCentre);
        }
    }
}
