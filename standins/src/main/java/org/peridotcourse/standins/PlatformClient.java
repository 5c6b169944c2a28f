package org.peridotcourse.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

/**
 * Client of a worker or backend server for the platform: registers hosts and stores objects.
 *
 * <p>A request blocks for at most the time-out. This class is thread-safe.
 */
final class PlatformClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(TIMEOUT)
                    .build();
    private final String address;

    PlatformClient(String address) {
        this.address = address;
    }

    boolean register(String host, JsonNode description) {
        return put("/v1/hosts/" + encode(host), Json.bytes(description));
    }

    /**
     * Registers a host; retries every second until the platform has confirmed the registration.
     *
     * @param host the name
     * @param description the fields
     * @param server provides the timer
     */
    void registerWithRetry(String host, JsonNode description, StandInServer server) {
        if (!register(host, description)) {
            server.schedule(1000, () -> registerWithRetry(host, description, server));
        }
    }

    boolean putObject(String name, JsonNode content) {
        return put("/v1/objects/" + encode(name), Json.bytes(content));
    }

    Optional<JsonNode> object(String name) {
        return send(request("/v1/objects/" + encode(name)).GET().build())
                .filter(response -> response.statusCode() == 200)
                .map(response -> Json.parse(response.body()));
    }

    private boolean put(String path, byte[] body) {
        return send(request(path).PUT(HttpRequest.BodyPublishers.ofByteArray(body)).build())
                .filter(response -> response.statusCode() == 200)
                .isPresent();
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(TIMEOUT);
    }

    private Optional<HttpResponse<String>> send(HttpRequest request) {
        try {
            return Optional.of(client.send(request, HttpResponse.BodyHandlers.ofString()));
        } catch (IOException e) {
            return Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    private static String encode(String name) {
        return URLEncoder.encode(name, StandardCharsets.UTF_8).replace("%2F", "/");
    }
}
