package org.peridotcourse.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a wrong outcome for the caller when backend servers send crossed, incomplete or
 * late responses, refuse, leave or do not respond.
 */
class RequestPathTest {
    private final FakeTableStore store = new FakeTableStore();
    private FakeBackend backend;
    private EntryFixture entry;

    @BeforeEach
    void start() throws Exception {
        backend = new FakeBackend();
        entry = new EntryFixture("e1", store).withBackends(backend);
    }

    @AfterEach
    void stop() throws Exception {
        entry.close();
        backend.close();
    }

    @Test
    void passesRequestAndResponseThroughWithoutPerConnectionHeaders() throws Exception {
        backend.script(
                (request, out) ->
                        FakeBackend.send(
                                out,
                                request,
                                404,
                                "X-Parts: 7\r\nKeep-Alive: timeout=5\r\nX-Hop: 1\r\n"
                                        + "Connection: keep-alive, X-Hop\r\n"
                                        + "Content-Type: text/odd; a=b\r\n",
                                "no flipper"));
        HttpResponse<String> response =
                entry.post(
                        EntryFixture.PATH + "a/b%20c?q=%2F",
                        "body",
                        "X-Own",
                        "yes",
                        "Peridot-Kind",
                        "idempotent",
                        "Peridot-Deadline-Ms",
                        "900");
        assertEquals(404, response.statusCode());
        assertEquals("no flipper", response.body());
        assertEquals("answered", header(response, "Peridot-Outcome"));
        assertEquals("7", header(response, "X-Parts"));
        assertEquals("text/odd; a=b", header(response, "Content-Type").replace(";a", "; a"));
        assertFalse(response.headers().firstValue("X-Hop").isPresent());
        assertFalse(response.headers().firstValue("Keep-Alive").isPresent());
        FakeBackend.Received received = backend.received().get(0);
        assertEquals("POST /a/b%20c?q=%2F HTTP/1.1", received.line());
        assertEquals("body", new String(received.body(), StandardCharsets.UTF_8));
        assertEquals("yes", received.header("X-Own"));
        assertEquals("idempotent", received.header("Peridot-Kind"));
        assertEquals(header(response, "Peridot-Request"), received.header("Peridot-Request"));
        int left = Integer.parseInt(received.header("Peridot-Deadline-Ms"));
        assertTrue(left > 0 && left <= 900, "time left " + left);
    }

    @Test
    void dropsCrossedAndIncompleteResponsesAndClosesTheirConnections() throws Exception {
        backend.script(
                (request, out) -> {
                    out.write(FakeBackend.head(200, "other-1", "", 4));
                    out.write("them".getBytes(StandardCharsets.US_ASCII));
                    return true;
                });
        HttpResponse<String> crossed = entry.post(EntryFixture.PATH, "x");
        assertRefused(crossed, 502, "unknown", "response-broken");
        assertEquals(1, entry.counter("peridot_responses_crossed_total"));

        backend.script(
                (request, out) -> {
                    out.write(FakeBackend.head(200, request.header("Peridot-Request"), "", 99));
                    out.write("half".getBytes(StandardCharsets.US_ASCII));
                    return false;
                });
        assertRefused(entry.post(EntryFixture.PATH, "x"), 502, "unknown", "response-broken");
        assertEquals(1, entry.counter("peridot_responses_incomplete_total"));

        backend.script((request, out) -> false);
        assertRefused(entry.post(EntryFixture.PATH, "x"), 502, "unknown", "connection-failed");
        assertEquals(3, backend.received().size(), "non-idempotent requests are forwarded once");
        assertEquals(3, backend.connections(), "a failed connection is never used again");
    }

    @Test
    void reportsNotRunOnlyIfTheRequestDidNotRun() throws Exception {
        backend.script(
                (request, out) ->
                        FakeBackend.send(
                                out,
                                request,
                                503,
                                "Peridot-Not-Run: true\r\nPeridot-Retry-After-Ms: 1500\r\n",
                                "full"));
        HttpResponse<String> refused =
                entry.post(EntryFixture.PATH, "x", "Peridot-Deadline-Ms", "500");
        assertEquals(503, refused.statusCode());
        assertEquals("not-run", header(refused, "Peridot-Outcome"));
        assertTrue(Long.parseLong(header(refused, "Peridot-Retry-After-Ms")) > 0);
        assertTrue(Long.parseLong(header(refused, "Retry-After")) > 0);

        backend.script((request, out) -> FakeBackend.send(out, request, 503, "", "ran, failed"));
        EntryFixture.await(
                "a 503 without the not-run header is the response",
                () -> statusAndOutcome("x").equals("503 answered"));

        backend.close();
        EntryFixture.await(
                "without a backend server nothing runs",
                () -> statusAndOutcome("x").equals("503 not-run"));
    }

    @Test
    void refusalKeepsTheConnectionOpenUnlessTheCallerWantsItClosed() throws Exception {
        // Refused callers that have to connect again would make an overload worse.
        backend.close();
        EntryFixture.await(
                "requests are refused", () -> statusAndOutcome("x").equals("503 not-run"));
        String head = "GET " + EntryFixture.PATH + " HTTP/1.1\r\nHost: a\r\n";
        String found =
                entry.sendRaw((head + "\r\n").repeat(3) + head + "Connection: close\r\n\r\n");
        assertEquals(5, found.split("HTTP/1.1 503", -1).length, found);
        assertEquals(2, found.split("Connection: close", -1).length, found);
    }

    @Test
    void answersAtTheDeadlineAndNeverDeliversTheLateResponse() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        backend.script(
                (request, out) -> {
                    boolean slow = request.line().contains("slow");
                    if (slow) {
                        release.await(5, TimeUnit.SECONDS);
                    }
                    return FakeBackend.send(out, request, 200, "", request.line());
                });
        HttpResponse<String> late =
                entry.post(EntryFixture.PATH + "slow", "x", "Peridot-Deadline-Ms", "150");
        assertRefused(late, 504, "unknown", "deadline");
        release.countDown();
        for (int i = 0; i < 5; i++) {
            HttpResponse<String> next = entry.get(EntryFixture.PATH + "n" + i);
            assertEquals("GET /n" + i + " HTTP/1.1", next.body());
        }
    }

    @Test
    void retriesIdempotentRequestOfSilentConnectionOnAnotherOne() throws Exception {
        for (int i = 0; i < 30; i++) {
            assertEquals(200, entry.get(EntryFixture.PATH).statusCode());
        }
        CountDownLatch end = new CountDownLatch(1);
        int[] calls = {0};
        backend.script(
                (request, out) -> {
                    if (calls[0]++ == 0) {
                        end.await(10, TimeUnit.SECONDS);
                        return false;
                    }
                    return FakeBackend.ok(request, out);
                });
        long start = System.nanoTime();
        HttpResponse<String> response = entry.get(EntryFixture.PATH, "Peridot-Deadline-Ms", "5000");
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
        end.countDown();
        assertEquals(200, response.statusCode(), response.body());
        assertTrue(millis < 3_000, "took " + millis + " ms");
    }

    @Test
    void sendsNothingMoreToLeavingBackendServer() throws Exception {
        try (FakeBackend other = new FakeBackend()) {
            entry.withBackends(backend, other);
            FakeBackend.Script leaves =
                    (request, out) ->
                            FakeBackend.send(out, request, 200, "Peridot-Leaving: true\r\n", "");
            backend.script(leaves);
            EntryFixture.await(
                    "the leaving server is reached once",
                    () -> statusAndOutcome("x").equals("200 answered") && isLeavingReported());
            int before = backend.received().size();
            for (int i = 0; i < 20; i++) {
                assertEquals(200, entry.post(EntryFixture.PATH, "x").statusCode());
            }
            assertEquals(before, backend.received().size());
        }
    }

    @Test
    void disconnectOfCallerRemovesItsWaitingRequest() throws Exception {
        CountDownLatch end = new CountDownLatch(1);
        backend.script(
                (request, out) -> {
                    end.await(10, TimeUnit.SECONDS);
                    return FakeBackend.ok(request, out);
                });
        List<Socket> callers = new ArrayList<>();
        try {
            for (int i = 0; i < 9; i++) {
                Socket caller = entry.openSocket();
                callers.add(caller);
                caller.getOutputStream()
                        .write(
                                ("POST "
                                                + EntryFixture.PATH
                                                + " HTTP/1.1\r\nHost: a\r\n"
                                                + "Peridot-Deadline-Ms: 60000\r\n\r\n")
                                        .getBytes(StandardCharsets.US_ASCII));
                int expected = i + 1;
                EntryFixture.await("request is pending", () -> entry.service.pending() == expected);
            }
            EntryFixture.await("all slots are taken", () -> backend.received().size() == 8);
            callers.get(8).close();
            EntryFixture.await("its request is removed", () -> entry.service.pending() == 8);
            end.countDown();
            EntryFixture.await("the other requests end", () -> entry.service.pending() == 0);
            assertEquals(8, backend.received().size(), "forwarded for a caller that disconnected");
        } finally {
            end.countDown();
            for (Socket caller : callers) {
                caller.close();
            }
        }
    }

    @Test
    void watchesOccupyConnectionsButNoSlots() throws Exception {
        CountDownLatch end = new CountDownLatch(1);
        backend.script(
                (request, out) -> {
                    if ("watch".equals(request.header("Peridot-Kind"))) {
                        end.await(10, TimeUnit.SECONDS);
                    }
                    String segment = String.valueOf(request.header("Peridot-Segment-Ms"));
                    return FakeBackend.send(out, request, 200, "", segment);
                });
        ExecutorService callers = Executors.newFixedThreadPool(20);
        try {
            List<Future<HttpResponse<String>>> watches = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                watches.add(
                        callers.submit(
                                () ->
                                        entry.get(
                                                EntryFixture.PATH,
                                                "Peridot-Kind",
                                                "watch",
                                                "Peridot-Segment-Ms",
                                                "60000")));
            }
            EntryFixture.await("all watches run", () -> backend.received().size() == 20);
            assertEquals(200, entry.get(EntryFixture.PATH).statusCode());
            end.countDown();
            for (Future<HttpResponse<String>> watch : watches) {
                assertEquals("10000", watch.get(10, TimeUnit.SECONDS).body());
            }
        } finally {
            callers.shutdownNow();
        }
    }

    private boolean isLeavingReported() {
        return !entry.leaving.isEmpty();
    }

    private String statusAndOutcome(String body) {
        try {
            HttpResponse<String> response = entry.post(EntryFixture.PATH, body);
            return response.statusCode() + " " + header(response, "Peridot-Outcome");
        } catch (Exception e) {
            return e.toString();
        }
    }

    private static void assertRefused(
            HttpResponse<String> response, int status, String outcome, String reason) {
        assertEquals(status, response.statusCode(), response.body());
        assertEquals(outcome, header(response, "Peridot-Outcome"));
        assertTrue(response.body().contains("\"reason\":\"" + reason + "\""), response.body());
        assertTrue(
                response.body()
                        .contains("\"request\":\"" + header(response, "Peridot-Request") + "\""),
                response.body());
    }

    private static String header(HttpResponse<String> response, String name) {
        return response.headers().firstValue(name).orElse("");
    }
}
