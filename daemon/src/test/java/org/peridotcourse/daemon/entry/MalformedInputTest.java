package org.peridotcourse.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against malformed input that ends a server thread, gets a broken answer, keeps its
 * connection or its bytes for ever, or disturbs other connections. The input is drawn with a fixed
 * seed.
 */
class MalformedInputTest {
    private static final long SEED = 2_026;
    private static final int CONNECTIONS = 400;
    private static final int MAX_BODY_BYTES = 4_096;
    private static final String GET = "GET /a HTTP/1.1\r\nHost: a\r\n";
    private static final Set<Integer> STATUSES = Set.of(200, 400, 408, 413, 431);

    private final Random random = new Random(SEED);
    private final AtomicLong millis = new AtomicLong();
    private final BodyBudget budget = new BodyBudget(1 << 24);
    private final ExecutorService answering = Executors.newSingleThreadExecutor();
    private EntryServer server;

    @BeforeEach
    void start() throws Exception {
        RequestIds ids = new RequestIds("e1", 1);
        CallerHandler handler =
                new CallerHandler(ids, budget, millis::get) {
                    @Override
                    void handle(IncomingCall call, CallerExchange exchange) {
                        byte[] body = ("got " + call.body().length).getBytes();
                        answering.execute(
                                () -> exchange.respond(new CallerResponse(200, List.of(), body)));
                    }
                };
        server =
                new EntryServer(
                        new InetSocketAddress("127.0.0.1", 0),
                        handler,
                        new EntryHandler.Limits(16_384, MAX_BODY_BYTES, 1_000, 3_000),
                        budget,
                        ids,
                        millis::get);
        server.start();
    }

    @AfterEach
    void stop() {
        server.close();
        answering.shutdownNow();
    }

    @Test
    void malformedInputDisturbsNoOtherConnection() throws Exception {
        List<Socket> sockets = new ArrayList<>();
        List<String> inputs = new ArrayList<>();
        try (Socket steady = open()) {
            for (int i = 0; i < CONNECTIONS; i++) {
                String input = drawInput();
                Socket socket = open();
                write(socket, input);
                if (random.nextInt(8) == 0) {
                    socket.setSoLinger(random.nextBoolean(), 0);
                    socket.close();
                } else {
                    sockets.add(socket);
                    inputs.add(input);
                }
                assertAnswered(steady, i);
            }
            try (Socket later = open()) {
                assertAnswered(later, CONNECTIONS);
            }
            Thread sweeper = sweepUntilClosed();
            List<String> broken = new ArrayList<>();
            for (int i = 0; i < sockets.size(); i++) {
                checkAnswers(sockets.get(i), inputs.get(i), broken);
            }
            sweeper.join();
            assertEquals(List.of(), broken);
            EntryFixture.await("no bytes stay counted", () -> server.bufferedBytes() == 0);
        }
    }

    /** Lets time pass until incomplete calls are refused and each connection is closed. */
    private Thread sweepUntilClosed() {
        Thread sweeper =
                new Thread(
                        () ->
                                EntryFixture.await(
                                        "connections are closed",
                                        () -> {
                                            millis.addAndGet(600);
                                            server.sweep();
                                            return server.connections() == 0;
                                        }));
        sweeper.start();
        return sweeper;
    }

    private void assertAnswered(Socket socket, int length) throws IOException {
        String body = "y".repeat(length);
        write(socket, "POST /s HTTP/1.1\r\nHost: a\r\nContent-Length: " + length + "\r\n\r\n");
        write(socket, body);
        RawAnswer answer = RawAnswer.read(socket.getInputStream());
        assertEquals("got " + length, answer.body());
    }

    /** All that a connection receives must be complete answers, until the server ends it. */
    private static void checkAnswers(Socket socket, String input, List<String> broken)
            throws IOException {
        byte[] all;
        try (socket) {
            all = socket.getInputStream().readAllBytes();
        } catch (SocketTimeoutException open) {
            broken.add("still open: " + abbreviate(input));
            return;
        } catch (SocketException reset) {
            // The server may reset a connection whose caller goes on sending after the refusal.
            return;
        }
        ByteArrayInputStream in = new ByteArrayInputStream(all);
        while (in.available() > 0) {
            try {
                RawAnswer answer = RawAnswer.read(in);
                if (!STATUSES.contains(answer.status())) {
                    broken.add(answer.status() + " to " + abbreviate(input));
                }
            } catch (IOException | RuntimeException malformed) {
                broken.add(malformed + " to " + abbreviate(input));
                return;
            }
        }
    }

    private String drawInput() {
        StringBuilder input = new StringBuilder();
        for (int valid = random.nextInt(3); valid > 0; valid--) {
            input.append(GET).append("\r\n");
        }
        input.append(
                switch (random.nextInt(9)) {
                    case 0 -> noise(random.nextInt(600));
                    case 1 -> noise(8).replace("\n", "") + " / HTTP/1.1\r\nHost: a\r\n\r\n";
                    case 2 -> GET + "A: b\r\n".repeat(random.nextInt(6_000)) + "\r\n";
                    case 3 -> GET + "A: " + "b".repeat(random.nextInt(40_000)) + "\r\n\r\n";
                    case 4 -> GET + "Content-Length: " + length() + "\r\n\r\n" + noise(50);
                    case 5 -> chunked(chunk() + chunk() + "0\r\n\r\n");
                    case 6 -> chunked(chunk());
                    case 7 -> GET.substring(0, random.nextInt(GET.length()));
                    default -> mutate(GET + "Content-Length: 5\r\n\r\nabcde");
                });
        for (int valid = random.nextInt(3); valid > 0; valid--) {
            input.append(GET).append("\r\n");
        }
        return input.toString();
    }

    private String length() {
        String[] lengths = {
            "-1", "+5", "5 5", "", "0x5", "99", "4097", "2147483648", "99999999999999999999", "5,5"
        };
        return lengths[random.nextInt(lengths.length)];
    }

    private static String chunked(String chunks) {
        return "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks;
    }

    private String chunk() {
        String[] sizes = {
            "5", "5;a=b", "-5", "zz", "", "fffffffff", "ffffffffffffffffff", "1001", "0"
        };
        return sizes[random.nextInt(sizes.length)] + "\r\nabcde\r\n";
    }

    private String noise(int length) {
        StringBuilder noise = new StringBuilder();
        for (int i = 0; i < length; i++) {
            noise.append((char) (random.nextInt(10) == 0 ? '\n' : random.nextInt(256)));
        }
        return noise.toString();
    }

    private String mutate(String text) {
        StringBuilder mutated = new StringBuilder(text);
        for (int i = 0; i < 1 + random.nextInt(3); i++) {
            int at = random.nextInt(mutated.length());
            mutated.replace(at, at + random.nextInt(2), noise(random.nextInt(3)));
        }
        return mutated.toString();
    }

    private static String abbreviate(String input) {
        return input.substring(0, Math.min(200, input.length())).replaceAll("[^ -~]", "?");
    }

    private Socket open() throws IOException {
        Socket socket = new Socket("127.0.0.1", server.port());
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(10_000);
        return socket;
    }

    private static void write(Socket socket, String text) throws IOException {
        try {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        } catch (SocketException refused) {
            assertTrue(text.length() > 1_000, "the server reset the connection: " + refused);
        }
    }
}
