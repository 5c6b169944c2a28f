package org.peridotcourse.routing;

import java.util.Optional;
import org.peridotcourse.CustomerId;
import org.peridotcourse.RequestKey;
import org.peridotcourse.ServiceId;

/**
 * Everything the routing decisions need to know of a request.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param id identifier, unique among the requests of this entry host
 * @param customer the customer who pays for it
 * @param service the service that it asks for
 * @param kind whether it may run again and occupies a slot
 * @param key the request key, if the caller sent one
 * @param deadlineMillis the time, on the router's clock, by which the caller gets an outcome
 */
public record RequestInfo(
        String id,
        CustomerId customer,
        ServiceId service,
        RequestKind kind,
        Optional<RequestKey> key,
        long deadlineMillis) {}
