package org.peridotcourse.routing;

import java.util.Set;
import org.peridotcourse.CustomerId;
import org.peridotcourse.DataCentreId;

/**
 * Limits of a customer, from its accepted row in the configuration.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param id its name
 * @param weight its weight relative to other customers, at least 1
 * @param maxInFlight maximum number of its requests in flight, divided among the entry hosts
 * @param maxRequestsPerSecond maximum number of its requests per second, divided among the entry
 *     hosts
 * @param dataCentres the data centres in which its requests may run; empty for all
 */
public record CustomerInfo(
        CustomerId id,
        int weight,
        int maxInFlight,
        int maxRequestsPerSecond,
        Set<DataCentreId> dataCentres) {
    /** Creates the limits with a copy of the set. */
    public CustomerInfo {
        dataCentres = Set.copyOf(dataCentres);
    }

    /**
     * Returns whether requests of this customer may run in a data centre.
     *
     * @param dataCentre the data centre
     * @return true if they may
     */
    public boolean isAllowedIn(DataCentreId dataCentre) {
        return dataCentres.isEmpty() || dataCentres.contains(dataCentre);
    }
}
