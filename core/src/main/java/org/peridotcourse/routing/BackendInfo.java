package org.peridotcourse.routing;

import org.peridotcourse.BackendId;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.ServiceId;

/**
 * Description of a backend server in the host list.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param id its name
 * @param service the service that it offers
 * @param dataCentre its data centre
 * @param region the region of its data centre
 * @param slots number of requests that it runs at once
 * @param connections number of connections that it accepts from all entry hosts together
 * @param state whether it may receive requests
 */
public record BackendInfo(
        BackendId id,
        ServiceId service,
        DataCentreId dataCentre,
        String region,
        int slots,
        int connections,
        BackendState state) {
    /**
     * Returns this backend server in another state.
     *
     * @param other the other state
     * @return the changed copy
     */
    public BackendInfo withState(BackendState other) {
        return new BackendInfo(id, service, dataCentre, region, slots, connections, other);
    }
}
