package org.peridotcourse.daemon.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.peridotcourse.Failure;
import org.peridotcourse.daemon.http.HttpReply;
import org.peridotcourse.routing.NotRunReason;
import org.peridotcourse.routing.UnknownReason;

/**
 * Builds the responses to callers: the response of a backend server, or a typed refusal.
 *
 * <p>It holds no state and is thread-safe.
 */
final class Responses {
    static final ObjectMapper JSON = new ObjectMapper();

    private Responses() {}

    /** Returns a backend server's response without the headers that are not forwarded. */
    static CallerResponse fromBackend(String request, HttpReply reply) {
        Set<String> notForwarded =
                Headers.notForwarded(reply.headers().getOrDefault("connection", List.of()));
        List<Map.Entry<String, String>> headers = new ArrayList<>();
        headers.add(Map.entry(Headers.OUTCOME, "answered"));
        headers.add(Map.entry(Headers.REQUEST, request));
        reply.headers()
                .forEach(
                        (name, values) -> {
                            if (!notForwarded.contains(name.toLowerCase(Locale.ROOT))) {
                                values.forEach(value -> headers.add(Map.entry(name, value)));
                            }
                        });
        return new CallerResponse(reply.status(), headers, reply.body());
    }

    /** Returns a refusal of a request that did not run. */
    static CallerResponse notRun(String request, NotRunReason reason, long retryAfterMillis) {
        return refusal(request, reason.status(), "not-run", reason, retryAfterMillis);
    }

    /** Returns a refusal of a malformed request. */
    static CallerResponse malformed(String request, MalformedRequest fault) {
        return refusal(request, NotRunReason.MALFORMED.status(), "not-run", fault, 0);
    }

    /** Returns the response to a request that may have run. */
    static CallerResponse unknown(String request, UnknownReason reason) {
        return refusal(request, reason.status(), "unknown", reason, 0);
    }

    /** Returns a response of the entry host itself, whose JSON body states outcome and reason. */
    static CallerResponse refusal(
            String request, int status, String outcome, Failure reason, long retryAfterMillis) {
        ObjectNode body = JSON.createObjectNode();
        body.put("outcome", outcome);
        body.put("reason", reason.code());
        body.put("message", reason.message());
        body.put("retryAfterMillis", retryAfterMillis);
        body.put("request", request);
        CallerResponse response = json(request, status, outcome, body);
        if (retryAfterMillis <= 0) {
            return response;
        }
        return response.withHeader("Retry-After", Long.toString((retryAfterMillis + 999) / 1000))
                .withHeader(Headers.RETRY_AFTER_MS, Long.toString(retryAfterMillis));
    }

    /** Returns a response with a JSON body. */
    static CallerResponse json(String request, int status, String outcome, ObjectNode body) {
        return new CallerResponse(
                status,
                List.of(
                        Map.entry(Headers.OUTCOME, outcome),
                        Map.entry(Headers.REQUEST, request),
                        Map.entry("Content-Type", "application/json")),
                encode(body));
    }

    /** Returns whether a header value has one to nine digits, so that it fits an {@code int}. */
    static boolean isNumber(String text) {
        return text.matches("[0-9]{1,9}");
    }

    static byte[] encode(ObjectNode body) {
        try {
            return JSON.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
