package org.peridotcourse.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against calls that are lost, answered out of order or buffered without a bound when a
 * caller sends calls on a connection before it has received the answers to earlier ones.
 */
class PipelinedCallsTest {
    private static final long SEED = 20;
    private static final int MANY_CALLS = 60_000;

    private final BlockingQueue<Arrival> arrivals = new LinkedBlockingQueue<>();
    private final BodyBudget budget = new BodyBudget(1 << 24);
    private EntryServer server;

    /** A call and its caller. */
    private record Arrival(IncomingCall call, Caller caller) {
        void answer() {
            byte[] body = (call.path() + " " + call.body().length).getBytes(StandardCharsets.UTF_8);
            caller.respond(new CallerResponse(200, List.of(), body));
        }
    }

    @BeforeEach
    void start() throws Exception {
        RequestIds ids = new RequestIds("e1", 1);
        CallerHandler handler =
                new CallerHandler(ids, budget, EntryFixture::now) {
                    @Override
                    void handle(IncomingCall call, CallerExchange exchange) {
                        arrivals.add(new Arrival(call, exchange));
                    }
                };
        server =
                new EntryServer(
                        new InetSocketAddress("127.0.0.1", 0),
                        handler,
                        new EntryHandler.Limits(16_384, 1 << 20, 100, 3_000),
                        budget,
                        ids,
                        EntryFixture::now);
        server.start();
    }

    @AfterEach
    void stop() {
        server.close();
    }

    @Test
    void theNextCallWaitsForTheAnswerToTheOneBefore() throws Exception {
        try (Socket socket = open();
                Socket other = open()) {
            write(socket, get("/a"));
            Arrival first = next("/a");
            write(socket, get("/b"));
            write(socket, get("/c"));
            write(other, get("/other"));
            next("/other").answer();
            assertTrue(arrivals.isEmpty(), "a call began before the answer to the one before");
            first.answer();
            next("/b").answer();
            next("/c").answer();
            assertEquals("/a 0", RawAnswer.read(socket.getInputStream()).body());
            assertEquals("/b 0", RawAnswer.read(socket.getInputStream()).body());
            assertEquals("/c 0", RawAnswer.read(socket.getInputStream()).body());
        }
    }

    @Test
    void callsAreAnsweredInOrderHoweverTheyAreSplitIntoPackets() throws Exception {
        Random random = new Random(SEED);
        StringBuilder calls = new StringBuilder();
        for (int i = 0; i < 300; i++) {
            String body = "x".repeat(random.nextInt(4) * random.nextInt(200));
            calls.append(i % 3 == 0 ? get("/" + i) : post("/" + i, body));
        }
        byte[] bytes = calls.toString().getBytes(StandardCharsets.US_ASCII);
        try (Socket socket = open()) {
            Thread writer = new Thread(() -> writeInPieces(socket, bytes, random));
            writer.start();
            for (int i = 0; i < 300; i++) {
                next("/" + i).answer();
                RawAnswer answer = RawAnswer.read(socket.getInputStream());
                assertTrue(answer.body().startsWith("/" + i + " "), answer.toString());
            }
            writer.join();
        }
        EntryFixture.await("no bytes stay counted", () -> budget.usedBytes() == 0);
    }

    @Test
    void waitingCallsOfAConnectionAreBounded() throws Exception {
        byte[] bytes = get("/many").repeat(MANY_CALLS).getBytes(StandardCharsets.US_ASCII);
        try (Socket socket = open()) {
            Thread writer = new Thread(() -> writeInPieces(socket, bytes, null));
            writer.start();
            Arrival first = next("/many");
            EntryFixture.await("calls wait", () -> budget.usedBytes() > 0);
            Thread reader = new Thread(() -> readAnswers(socket, MANY_CALLS));
            reader.start();
            first.answer();
            long most = 0;
            for (int i = 1; i < MANY_CALLS; i++) {
                next("/many").answer();
                most = Math.max(most, budget.usedBytes());
            }
            reader.join(10_000);
            assertTrue(!reader.isAlive() && arrivals.isEmpty(), "each call is answered once");
            assertTrue(most < 256 * 1024, most + " bytes of " + bytes.length + " were buffered");
        }
    }

    @Test
    void callsAfterTheLastAnswerOfAConnectionAreNotRun() throws Exception {
        server.closeConnections();
        try (Socket socket = open()) {
            write(socket, get("/a") + get("/b"));
            Arrival first = next("/a");
            write(socket, get("/c"));
            first.answer();
            RawAnswer answer = RawAnswer.read(socket.getInputStream());
            assertEquals("/a 0", answer.body());
            assertEquals("close", answer.header("Connection"));
            assertEquals(-1, socket.getInputStream().read());
            assertTrue(arrivals.isEmpty(), "a call was run that cannot be answered");
        }
    }

    @Test
    void aHalfWrittenPipelinedCallIsRefusedAsSlowAfterTheAnswersBefore() throws Exception {
        try (Socket socket = open()) {
            write(socket, get("/a") + "GET /b HTTP/1.1\r\nHo");
            next("/a").answer();
            assertEquals("/a 0", RawAnswer.read(socket.getInputStream()).body());
            EntryFixture.await("the rest is overdue", () -> server.sweep() == 1);
            RawAnswer refusal = RawAnswer.read(socket.getInputStream());
            assertEquals(408, refusal.status());
            assertTrue(arrivals.isEmpty());
        }
    }

    private Arrival next(String path) throws InterruptedException {
        Arrival arrival = arrivals.poll(10, TimeUnit.SECONDS);
        assertTrue(arrival != null, "no call arrived, expected " + path);
        assertEquals(path, arrival.call().path());
        return arrival;
    }

    private Socket open() throws Exception {
        Socket socket = new Socket("127.0.0.1", server.port());
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(10_000);
        return socket;
    }

    private static String get(String path) {
        return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
    }

    private static String post(String path, String body) {
        return "POST "
                + path
                + " HTTP/1.1\r\nHost: a\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    private static void write(Socket socket, String text) throws Exception {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Writes pieces of random sizes up to 700 bytes, or all at once without a source of sizes. */
    private static void writeInPieces(Socket socket, byte[] bytes, Random random) {
        try {
            OutputStream out = socket.getOutputStream();
            int size = bytes.length;
            for (int from = 0; from < bytes.length; from += size) {
                size = random == null ? bytes.length : 1 + random.nextInt(700);
                out.write(bytes, from, Math.min(size, bytes.length - from));
            }
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    private static void readAnswers(Socket socket, int count) {
        try {
            for (int i = 0; i < count; i++) {
                assertEquals(200, RawAnswer.read(socket.getInputStream()).status());
            }
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }
}
