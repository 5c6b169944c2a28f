package org.peridotcourse.daemon.entry;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A complete HTTP request of a caller.
 *
 * <p>Instances are immutable and thread-safe as long as nobody writes to the body array.
 *
 * @param id the identifier that this host assigned, for logs
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

    /** Omits the headers and the query, which may contain API keys of callers. */
    @Override
    public String toString() {
        return "IncomingCall[" + id + " " + method + " " + path + "]";
    }
}
