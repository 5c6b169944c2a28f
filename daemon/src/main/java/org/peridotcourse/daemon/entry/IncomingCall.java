package org.peridotcourse.daemon.entry;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A whole HTTP request of a caller.
 *
 * <p>Instances are immutable and thread-safe as long as nobody writes to the body array.
 *
 * @param id the identifier that this host gave it, for logs
 * @param method the HTTP method
 * @param path the undecoded path
 * @param query the undecoded query
 * @param headers values by header name in lower case
 * @param body the body, empty for none
 */
public record IncomingCall(
        String id,
        String method,
        String path,
        Optional<String> query,
        Map<String, List<String>> headers,
        byte[] body) {
    /**
     * Returns the first value of a header.
     *
     * @param name the name in lower case
     * @return the value, or empty if the header is missing
     */
    public Optional<String> header(String name) {
        List<String> values = headers.get(name);
        return values == null ? Optional.empty() : Optional.of(values.get(0));
    }

    /** Leaves the headers and the query out, which may hold keys of callers. */
    @Override
    public String toString() {
        return "IncomingCall[" + id + " " + method + " " + path + "]";
    }
}
