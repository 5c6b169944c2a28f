package org.peridotcourse.daemon.http;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * A complete response that was received over an {@link HttpChannel}.
 *
 * <p>Instances are immutable and thread-safe as long as the body array is not modified.
 *
 * @param status the HTTP status
 * @param headers values by header name in lower case
 * @param body the body, empty for none
 */
public record HttpReply(int status, Map<String, List<String>> headers, byte[] body) {
    /**
     * Returns the first value of a header.
     *
     * @param name the header name in any case
     * @return the value, or empty if the header is missing
     */
    public Optional<String> header(String name) {
        List<String> values = headers.get(name.toLowerCase(Locale.ROOT));
        return values == null ? Optional.empty() : Optional.of(values.get(0));
    }
}
