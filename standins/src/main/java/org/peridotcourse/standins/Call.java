package org.peridotcourse.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.UnaryOperator;

/**
 * A request that a stand-in received.
 *
 * @param method the HTTP method
 * @param path the undecoded path
 * @param query the decoded query parameters
 * @param headers looks up a header, null if it is absent
 * @param body the body
 * @param connection the number of the connection, larger for later ones
 */
record Call(
        String method,
        String path,
        Map<String, String> query,
        UnaryOperator<String> headers,
        byte[] body,
        long connection) {
    Optional<String> header(String name) {
        return Optional.ofNullable(headers.apply(name));
    }

    Optional<String> parameter(String name) {
        return Optional.ofNullable(query.get(name));
    }

    long number(String name, long fallback) {
        String text = query.get(name);
        return text == null ? fallback : parseNumber(name, text);
    }

    long headerNumber(String name, long fallback) {
        String text = headers.apply(name);
        return text == null ? fallback : parseNumber(name, text);
    }

    boolean is(String wantedMethod, String prefix) {
        return method.equals(wantedMethod) && path.startsWith(prefix);
    }

    String rest(String prefix) {
        return URLDecoder.decode(path.substring(prefix.length()), StandardCharsets.UTF_8);
    }

    JsonNode json() {
        try {
            JsonNode node = Json.MAPPER.readTree(body);
            if (node == null || !node.isObject()) {
                throw new MalformedCallException("the body is not a JSON object");
            }
            return node;
        } catch (IOException e) {
            throw new MalformedCallException("the body is not JSON");
        }
    }

    static Map<String, String> parseQuery(String text) {
        Map<String, String> found = new HashMap<>();
        if (text == null) {
            return found;
        }
        for (String pair : text.split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                found.put(decode(pair.substring(0, equals)), decode(pair.substring(equals + 1)));
            }
        }
        return found;
    }

    private static String decode(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }

    private static long parseNumber(String name, String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new MalformedCallException(name + " is not a whole number: " + text);
        }
    }
}
