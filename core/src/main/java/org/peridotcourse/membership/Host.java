package org.peridotcourse.membership;

import java.util.Optional;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.Resources;
import org.peridotcourse.ServiceId;

/**
 * A host in the platform's host list.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param name the name of the host; for a worker or backend server also its identifier
 * @param role the role of the host
 * @param dataCentre the data centre of the host
 * @param rack the rack, empty if the platform does not name one
 * @param address {@code ip:port} of the host's server
 * @param leaving true if the host is about to stop
 * @param serving the service of a backend server, empty for other roles
 * @param capacity the capacity of a worker, zero for other roles
 */
public record Host(
        String name,
        Role role,
        DataCentreId dataCentre,
        String rack,
        String address,
        boolean leaving,
        Optional<Serving> serving,
        Resources capacity) {
    /** The role of a host. Constants are immutable and thread-safe. */
    public enum Role {
        /** Executes tasks. */
        WORKER,
        /** Serves requests of a service. */
        BACKEND,
        /** Accepts requests; runs a daemon. */
        ENTRY
    }

    /**
     * The service and limits of a backend server.
     *
     * @param service the service
     * @param slots the number of requests that it executes at once
     * @param connections the number of connections that it accepts
     */
    public record Serving(ServiceId service, int slots, int connections) {}
}
