package org.peridotcourse.config;

import java.util.Optional;
import java.util.Set;
import org.peridotcourse.CustomerId;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.Resources;

/**
 * A row of the table {@code customers}. Instances are immutable and thread-safe.
 *
 * @param id the customer
 * @param weight the weight of the customer's share, relative to other customers
 * @param maxInFlight the largest number of requests in flight
 * @param maxRequestsPerSecond the rate limit, in requests per second
 * @param dataCentres the data centres that the customer may use, empty for all
 * @param quota the largest amount of resources in use; {@link Long#MAX_VALUE} where there is no
 *     limit
 */
public record CustomerRow(
        CustomerId id,
        int weight,
        int maxInFlight,
        int maxRequestsPerSecond,
        Optional<Set<DataCentreId>> dataCentres,
        Resources quota)
        implements TypedRow {
    @Override
    public RowKey rowKey() {
        return new RowKey(ConfigTable.CUSTOMERS, id.value());
    }

    /**
     * Returns whether the customer may use a data centre.
     *
     * @param dataCentre the data centre
     * @return true if the row allows the data centre
     */
    public boolean isAllowedIn(DataCentreId dataCentre) {
        return dataCentres.map(allowed -> allowed.contains(dataCentre)).orElse(true);
    }

    static CustomerRow of(String key, RowValues values) {
        return new CustomerRow(
                CustomerId.of(key),
                values.number("weight"),
                values.number("max-in-flight"),
                values.number("max-requests-per-second"),
                values.dataCentres("data-centres"),
                Resources.of(
                        values.numberOrUnlimited("quota-milli-cores"),
                        values.numberOrUnlimited("quota-memory-mib"),
                        values.numberOrUnlimited("quota-accelerators")));
    }
}
