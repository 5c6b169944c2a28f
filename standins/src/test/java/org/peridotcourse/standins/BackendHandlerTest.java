package org.peridotcourse.standins;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Compares the responses of the backend server with its record of executed requests. */
class BackendHandlerTest {
    private final HttpClient client = HttpClient.newHttpClient();
    private BackendHandler handler;
    private StandInServer server;

    @BeforeEach
    void start() throws Exception {
        handler =
                new BackendHandler(
                        new BackendLimits("b1", 1, 0, 64, 1000),
                        ServiceTimes.parse("fixed:500", 1),
                        StandInProcess::monotonicMillis);
        server = StandInServer.start(0, handler);
        handler.setServer(server);
    }

    @AfterEach
    void stop() {
        server.stop();
    }

    /** Guards against a plan that ran although its response contains {@code Peridot-Not-Run}. */
    @Test
    void refusedPlanIsNotRecorded() throws Exception {
        CompletableFuture<HttpResponse<String>> first = plan("r1");
        while (record().path("busy").asInt() == 0) {
            Thread.onSpinWait();
        }
        HttpResponse<String> second = plan("r2").get();
        assertEquals(503, second.statusCode());
        assertEquals("true", second.headers().firstValue("Peridot-Not-Run").orElse(""));
        assertEquals("r2", second.headers().firstValue("Peridot-Request").orElse(""));
        assertEquals(200, first.get().statusCode());
        assertEquals(1, record().path("plans").size());
        assertEquals("r1", record().path("plans").get(0).path("request").asText());
    }

    /** Guards against a closed server that aborts a request in flight or accepts a new one. */
    @Test
    void closedServerCompletesRequestInFlightAndRefusesOthers() throws Exception {
        CompletableFuture<HttpResponse<String>> first = plan("r1");
        while (record().path("busy").asInt() == 0) {
            Thread.onSpinWait();
        }
        handler.leave();
        handler.close();
        assertEquals("true", plan("r2").get().headers().firstValue("Peridot-Not-Run").orElse(""));
        HttpResponse<String> ended = first.get();
        assertEquals(200, ended.statusCode());
        assertEquals("true", ended.headers().firstValue("Peridot-Leaving").orElse(""));
    }

    private CompletableFuture<HttpResponse<String>> plan(String requestId) {
        return client.sendAsync(
                HttpRequest.newBuilder(URI.create("http://" + server.address() + "/plan"))
                        .header("Peridot-Kind", "non-idempotent")
                        .header("Peridot-Request", requestId)
                        .POST(HttpRequest.BodyPublishers.noBody())
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    private JsonNode record() throws Exception {
        URI uri = URI.create("http://" + server.address() + "/v1/record");
        return Json.parse(
                client.send(
                                HttpRequest.newBuilder(uri).build(),
                                HttpResponse.BodyHandlers.ofString())
                        .body());
    }
}
