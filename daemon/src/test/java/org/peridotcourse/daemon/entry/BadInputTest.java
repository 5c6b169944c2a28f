package org.peridotcourse.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against bad input of a caller that is forwarded, gets no response or harms other callers.
 * Such input is malformed, ambiguous, too large or too slow, or its caller does not read.
 */
class BadInputTest {
    private static final String HEAD = "GET /r/shop/despacho/x HTTP/1.1\r\nHost: a\r\n";

    private FakeBackend backend;
    private EntryFixture entry;

    @BeforeEach
    void start() throws Exception {
        backend = new FakeBackend();
        entry = new EntryFixture("e1", new FakeTableStore()).withBackends(backend);
    }

    @AfterEach
    void stop() throws Exception {
        entry.close();
        backend.close();
    }

    @Test
    void refusesEachKindOfBadInputWithItsStatus() throws Exception {
        String big = "x".repeat(20_000);
        Map<String, String> cases =
                Map.ofEntries(
                        Map.entry("NONSENSE\r\n\r\n", "400 malformed"),
                        Map.entry("GET / HTTP/9.9\r\nHost: a\r\n\r\n", "400 malformed"),
                        Map.entry("GET /r/shop/despacho HTTP/1.1\r\nHost: a\r\n\r\n", "200 "),
                        Map.entry("GET /x HTTP/1.1\r\nHost: a\r\n\r\n", "400 malformed"),
                        Map.entry("GET /r/%2e/b/c HTTP/1.1\r\nHost: a\r\n\r\n", "400 malformed"),
                        Map.entry("GET /r/a%/b/c HTTP/1.1\r\nHost: a\r\n\r\n", "400 malformed"),
                        Map.entry("PUT /r/shop/despacho/x HTTP/1.1\r\nHost: a\r\n\r\n", "400 "),
                        Map.entry(HEAD + "Peridot-Kind: odd\r\n\r\n", "400 malformed"),
                        Map.entry(HEAD + "Peridot-Key: a/b\r\n\r\n", "400 malformed"),
                        Map.entry(HEAD + "Peridot-Deadline-Ms: 9\r\n\r\n", "400 malformed"),
                        Map.entry(HEAD + "Peridot-Deadline-Ms: 1s\r\n\r\n", "400 malformed"),
                        Map.entry(HEAD + "Content-Length: -1\r\n\r\n", "400 malformed"),
                        Map.entry(HEAD + "Content-Length: 1x\r\n\r\ny", "400 malformed"),
                        Map.entry(
                                HEAD + "Content-Length: 3\r\nContent-Length: 2\r\n\r\nabc",
                                "400 malformed"),
                        Map.entry(
                                HEAD
                                        + "Content-Length: 3\r\nTransfer-Encoding: chunked"
                                        + "\r\n\r\n0\r\n\r\n",
                                "200 "),
                        Map.entry(
                                HEAD + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "400 malformed"),
                        Map.entry(HEAD + "A: " + big + "\r\n\r\n", "431 head-too-large"),
                        Map.entry("GET /r/" + big + " HTTP/1.1\r\n\r\n", "431 head-too-large"),
                        Map.entry(HEAD + "Content-Length: 1048577\r\n\r\n", "413 body-too-large"),
                        Map.entry(
                                HEAD
                                        + "Transfer-Encoding: chunked\r\n\r\n"
                                        + ("8000\r\n" + "y".repeat(32_768) + "\r\n").repeat(33)
                                        + "0\r\n\r\n",
                                "413 body-too-large"),
                        Map.entry(
                                "GET /r/nobody/despacho/x HTTP/1.1\r\nHost: a\r\n\r\n",
                                "404 unknown-customer"),
                        Map.entry(
                                "GET /r/shop/nothing/x HTTP/1.1\r\nHost: a\r\n\r\n",
                                "404 unknown-service"));
        List<String> mismatches = new ArrayList<>();
        for (Map.Entry<String, String> one : cases.entrySet()) {
            String found = statusAndReason(one.getKey());
            boolean isTyped =
                    one.getValue().startsWith("200") || found.endsWith(" not-run with request id");
            if (!found.startsWith(one.getValue()) || !isTyped) {
                String input = one.getKey().substring(0, Math.min(120, one.getKey().length()));
                mismatches.add(input + " => " + found);
            }
        }
        assertEquals(List.of(), mismatches);
        assertEquals(2, backend.received().size(), "only well-formed requests are forwarded");
        for (FakeBackend.Received received : backend.received()) {
            assertNull(received.header("Transfer-Encoding"), "the body is reframed");
        }
        assertEquals(200, entry.get(EntryFixture.PATH).statusCode());
    }

    @Test
    void slowHeadAndSlowBodyAreRefusedAndNothingIsForwarded() throws Exception {
        for (String begin : List.of("GET /r/shop/desp", HEAD + "Content-Length: 9\r\n\r\nab")) {
            try (Socket socket = entry.openSocket()) {
                OutputStream out = socket.getOutputStream();
                out.write(begin.getBytes(StandardCharsets.ISO_8859_1));
                InputStream in = socket.getInputStream();
                long start = System.nanoTime();
                while (in.available() == 0) {
                    out.write('x');
                    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(100));
                    assertTrue(System.nanoTime() - start < 5_000_000_000L, "no refusal");
                }
                String answer = EntryFixture.readAll(in);
                assertTrue(answer.startsWith("HTTP/1.1 408"), answer);
                assertTrue(answer.contains("Peridot-Outcome: not-run"), answer);
                assertTrue(answer.contains("slow-caller"), answer);
            }
        }
        assertEquals(0, backend.received().size());
    }

    @Test
    void callerThatDoesNotReadDelaysNoOtherCaller() throws Exception {
        String large = "z".repeat(1_000_000);
        backend.script(
                (request, out) ->
                        FakeBackend.send(
                                out,
                                request,
                                200,
                                "",
                                request.line().contains("large") ? large : "small"));
        List<Socket> idle = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            Socket socket = entry.openSocket();
            idle.add(socket);
            socket.getOutputStream().write(HEAD.replace("/x", "/large").concat("\r\n").getBytes());
        }
        EntryFixture.await("large responses are ready", () -> backend.received().size() >= 6);
        for (int i = 0; i < 50; i++) {
            long start = System.nanoTime();
            assertEquals("small", entry.get(EntryFixture.PATH).body());
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
            assertTrue(millis < 500, "took " + millis + " ms");
        }
        for (Socket socket : idle) {
            byte[] all = socket.getInputStream().readNBytes(1_000_000);
            assertEquals(1_000_000, all.length);
            socket.close();
        }
    }

    @Test
    void bodyIsCompleteHoweverItIsSplitIntoPackets() throws Exception {
        backend.script(
                (request, out) ->
                        FakeBackend.send(out, request, 200, "", "got " + request.body().length));
        HttpResponse<String> large = entry.post(EntryFixture.PATH, "x".repeat(1 << 20));
        assertEquals("got 1048576", large.body());
        try (Socket socket = entry.openSocket()) {
            socket.setTcpNoDelay(true);
            OutputStream out = socket.getOutputStream();
            for (int i = 0; i < 20; i++) {
                out.write((HEAD + "Content-Length: 3\r\n\r\n").getBytes());
                out.write('a');
                out.write('b');
                out.write('c');
                String answer = "";
                while (!answer.endsWith("got 3")) {
                    int next = socket.getInputStream().read();
                    assertTrue(next >= 0, answer);
                    answer += (char) next;
                }
            }
            out.write((HEAD + "\r\n" + HEAD + "Connection: close\r\n\r\n").getBytes());
            String both = EntryFixture.readAll(socket.getInputStream());
            assertEquals(3, both.split("got 0", -1).length, both);
        }
    }

    private String statusAndReason(String input) throws Exception {
        String answer = entry.sendRaw(input);
        if (!answer.startsWith("HTTP/1.1 ")) {
            return "no response: " + answer;
        }
        String reason = answer.replaceAll("(?s).*\"reason\":\"([a-z-]*)\".*", "$1");
        boolean isTyped =
                answer.contains("Peridot-Outcome: not-run")
                        && answer.contains("Peridot-Request: e1-")
                        && answer.contains("\"outcome\":\"not-run\"");
        return answer.substring(9, 12)
                + " "
                + (reason.length() < 40 ? reason : "")
                + (isTyped ? " not-run with request id" : " untyped");
    }
}
