package org.peridotcourse.daemon.entry;

import java.util.Map;
import java.util.Optional;
import org.peridotcourse.CustomerId;
import org.peridotcourse.RequestKey;
import org.peridotcourse.ServiceId;
import org.peridotcourse.routing.RequestKind;

/**
 * A complete and well-formed request of a caller.
 *
 * <p>Instances are immutable and thread-safe as long as nobody writes to the body array.
 *
 * @param id the identifier that the response carries
 * @param customer the customer that the request belongs to
 * @param service the requested service
 * @param kind whether the request may be repeated, or is a watch
 * @param key the request key, empty for none
 * @param method the HTTP method
 * @param target path and query for the backend server
 * @param timing deadline and watch segment that the caller requested
 * @param headers headers to forward, by name
 * @param body the body, empty for none
 */
record CallerRequest(
        String id,
        CustomerId customer,
        ServiceId service,
        RequestKind kind,
        Optional<RequestKey> key,
        String method,
        String target,
        Timing timing,
        Map<String, String> headers,
        byte[] body) {
    /**
     * Time limits that the caller requested.
     *
     * @param deadlineMillis the deadline, empty for that of the workload
     * @param segmentMillis the maximum segment of a watch, empty for that of the settings
     */
    record Timing(Optional<Long> deadlineMillis, Optional<Long> segmentMillis) {}

    /** Returns a copy with another body. */
    CallerRequest withBody(byte[] newBody) {
        return new CallerRequest(
                id, customer, service, kind, key, method, target, timing, headers, newBody);
    }
}
