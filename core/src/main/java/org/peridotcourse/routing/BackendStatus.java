package org.peridotcourse.routing;

import org.peridotcourse.BackendId;

/**
 * Status of a backend server on this entry host, for operators.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param id its name
 * @param accepting whether it may receive requests
 * @param healthy whether it is not ejected
 * @param inFlight requests of this entry host that occupy slots
 * @param limit bound of {@code inFlight}
 * @param watches watches of this entry host
 * @param connections connections of this entry host, open or being opened
 * @param meanMillis moving mean of its latency
 */
public record BackendStatus(
        BackendId id,
        boolean accepting,
        boolean healthy,
        int inFlight,
        int limit,
        int watches,
        int connections,
        double meanMillis) {}
