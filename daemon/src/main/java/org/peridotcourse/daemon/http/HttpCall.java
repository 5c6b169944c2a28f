package org.peridotcourse.daemon.http;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A request to send over an {@link HttpChannel}.
 *
 * <p>Instances are immutable and thread-safe as long as the body array is not modified.
 *
 * @param method the HTTP method
 * @param target path and query, starting with a slash
 * @param headers header names and values, in the order of sending
 * @param body the body, empty for none
 */
public record HttpCall(String method, String target, Map<String, String> headers, byte[] body) {
    private static final byte[] NO_BODY = new byte[0];

    /**
     * Returns a GET request without headers.
     *
     * @param target path and query
     * @return the request
     */
    public static HttpCall get(String target) {
        return new HttpCall("GET", target, Map.of(), NO_BODY);
    }

    /**
     * Returns a request with a JSON body.
     *
     * @param method the HTTP method
     * @param target path and query
     * @param json the encoded JSON text
     * @return the request
     */
    public static HttpCall json(String method, String target, byte[] json) {
        return new HttpCall(method, target, Map.of("Content-Type", "application/json"), json);
    }

    /**
     * Returns a copy with one more header.
     *
     * @param name the header name
     * @param value the header value
     * @return the copy
     */
    public HttpCall withHeader(String name, String value) {
        Map<String, String> copy = new LinkedHashMap<>(headers);
        copy.put(name, value);
        return new HttpCall(method, target, copy, body);
    }

    /** Omits the headers because they may contain keys of callers, such as their API keys. */
    @Override
    public String toString() {
        return "HttpCall[" + method + " " + target + "]";
    }
}
