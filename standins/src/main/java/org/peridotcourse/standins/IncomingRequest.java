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
 * @param headerLookup returns the value of a header, or null if the header is absent
 * @param body the body, empty if there is none
 * @param connectionNumber the number of the connection; connections are numbered in the order of
 *     acceptance
 */
record IncomingRequest(
        String method,
        String path,
        Map<String, String> query,
        UnaryOperator<String> headerLookup,
        byte[] body,
        long connectionNumber) {
    Optional<String> header(String name) {
        return Optional.ofNullable(headerLookup.apply(name));
    }

    Optional<String> parameter(String name) {
        return Optional.ofNullable(query.get(name));
    }

    long longParameter(String name, long defaultValue) {
        String text = query.get(name);
        return text == null ? defaultValue : parseNumber(name, text);
    }

    long longHeader(String name, long defaultValue) {
        String text = headerLookup.apply(name);
        return text == null ? defaultValue : parseNumber(name, text);
    }

    boolean matches(String expectedMethod, String prefix) {
        return method.equals(expectedMethod) && path.startsWith(prefix);
    }

    String pathAfter(String prefix) {
        return URLDecoder.decode(path.substring(prefix.length()), StandardCharsets.UTF_8);
    }

    JsonNode jsonBody() {
        try {
            JsonNode node = Json.MAPPER.readTree(body);
            if (node == null || !node.isObject()) {
                throw new MalformedRequestException("the body is not a JSON object");
            }
            return node;
        } catch (IOException e) {
            throw new MalformedRequestException("the body is not JSON");
        }
    }

    static Map<String, String> parseQuery(String text) {
        Map<String, String> parameters = new HashMap<>();
        if (text == null) {
            return parameters;
        }
        for (String pair : text.split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                parameters.put(
                        decode(pair.substring(0, equals)), decode(pair.substring(equals + 1)));
            }
        }
        return parameters;
    }

    private static String decode(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }

    private static long parseNumber(String name, String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new MalformedRequestException(name + " is not a whole number: " + text);
        }
    }
}
