package org.peridotcourse.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;

/**
 * An HTTP response of a stand-in. Instances are immutable.
 *
 * @param status the HTTP status
 * @param headers the headers other than {@code Content-Length}
 * @param body the body
 */
record Reply(int status, Map<String, String> headers, byte[] body) {
    static Reply json(int status, JsonNode body) {
        return new Reply(status, Map.of("Content-Type", "application/json"), Json.bytes(body));
    }

    static Reply error(int status, String code) {
        return json(status, Json.object().put("error", code));
    }

    Reply withHeader(String name, String value) {
        Map<String, String> all = new HashMap<>(headers);
        all.put(name, value);
        return new Reply(status, Map.copyOf(all), body);
    }
}
