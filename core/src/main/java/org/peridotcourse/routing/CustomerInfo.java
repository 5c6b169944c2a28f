package org.peridotcourse.routing;

import java.util.Set;
import org.peridotcourse.CustomerId;
import org.peridotcourse.DataCentreId;

/**
 * Limits of a customer, from its accepted row.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param id its name
 * @param weight its share relative to other customers, at least 1
 * @param maxInFlight requests that this entry host holds for it at once
 * @param maxRequestsPerSecond requests that this entry host accepts for it per second
 * @param dataCentres where its requests may run; empty for everywhere
 */
public record CustomerInfo(
        CustomerId id,
        int weight,
        int maxInFlight,
        int maxRequestsPerSecond,
        Set<DataCentreId> dataCentres) {
    /** Copies the set. */
    public CustomerInfo {
        dataCentres = Set.copyOf(dataCentres);
    }

    /**
     * Tells whether requests of this customer may run in a data centre.
     *
     * @param dataCentre the data centre
     * @return true if they may
     */
    public boolean isAllowedIn(DataCentreId dataCentre) {
        return dataCentres.isEmpty() || dataCentres.contains(dataCentre);
    }
}
