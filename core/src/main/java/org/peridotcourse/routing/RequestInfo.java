package org.peridotcourse.routing;

import java.util.Optional;
import org.peridotcourse.CustomerId;
import org.peridotcourse.RequestKey;
import org.peridotcourse.ServiceId;

/**
 * The properties of a request that routing depends on.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param id identifier, unique among the requests of this entry host
 * @param customer the customer whose limits apply to it
 * @param service the service that runs it
 * @param kind whether it may run again and occupies a slot
 * @param key the request key, if the caller sent one
 * @param deadlineMillis the time, on the router's clock, at which the caller gets an outcome at the
 *     latest
 */
public record RequestInfo(
        String id,
        CustomerId customer,
        ServiceId service,
        RequestKind kind,
        Optional<RequestKey> key,
        long deadlineMillis) {}
