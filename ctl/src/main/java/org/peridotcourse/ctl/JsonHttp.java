package org.peridotcourse.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/** Calls an HTTP server that responds in JSON. It is thread-safe. */
final class JsonHttp {
    static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(TIMEOUT)
                    .build();
    private final String address;

    JsonHttp(String address) {
        this.address = address;
    }

    String address() {
        return address;
    }

    Response get(String path) throws CtlException {
        return send(request(path).GET().build());
    }

    Response post(String path, JsonNode body) throws CtlException {
        return send(
                request(path)
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(body.toString()))
                        .build());
    }

    static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    private HttpRequest.Builder request(String path) throws CtlException {
        try {
            return HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(TIMEOUT);
        } catch (IllegalArgumentException e) {
            throw new CtlException(CtlFailure.usage("not an address: " + address));
        }
    }

    private Response send(HttpRequest request) throws CtlException {
        HttpResponse<String> response;
        try {
            response = client.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            String reason = e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
            throw new CtlException(CtlFailure.unreachable(address, reason));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CtlException(CtlFailure.unreachable(address, "interrupted"));
        }
        try {
            return new Response(response.statusCode(), MAPPER.readTree(response.body()));
        } catch (JsonProcessingException e) {
            throw new CtlException(
                    CtlFailure.unreachable(
                            address, "status " + response.statusCode() + " without JSON"));
        }
    }

    /**
     * A response.
     *
     * @param status the HTTP status
     * @param body the body, a missing node if it is empty
     */
    record Response(int status, JsonNode body) {
        JsonNode requireStatus(String address, int expectedStatus) throws CtlException {
            if (status != expectedStatus) {
                throw new CtlException(
                        CtlFailure.unreachable(address, "status " + status + " " + body));
            }
            return body;
        }
    }
}
