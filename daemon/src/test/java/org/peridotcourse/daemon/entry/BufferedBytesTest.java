package org.peridotcourse.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against unread responses that fill the memory of the entry host: callers send pipelined
 * requests for large responses and do not read them.
 */
class BufferedBytesTest {
    private static final String LARGE = "GET /r/shop/despacho/large HTTP/1.1\r\nHost: a\r\n\r\n";

    @Test
    void callersThatDoNotReadAreDisconnectedAndTheirBytesReleased() throws Exception {
        String large = "z".repeat(1_000_000);
        try (FakeBackend backend = new FakeBackend();
                EntryFixture entry =
                        new EntryFixture("e1", new FakeTableStore()).withBackends(backend)) {
            backend.script(
                    (request, out) ->
                            FakeBackend.send(
                                    out,
                                    request,
                                    200,
                                    "",
                                    request.line().contains("large") ? large : "small"));
            List<Socket> unread = new ArrayList<>();
            try {
                for (int i = 0; i < 12; i++) {
                    Socket socket = new Socket();
                    unread.add(socket);
                    socket.setReceiveBufferSize(4096);
                    socket.connect(new InetSocketAddress("127.0.0.1", entry.service.port()));
                    // The system's socket buffers hold several responses of a connection.
                    socket.getOutputStream()
                            .write(LARGE.repeat(12).getBytes(StandardCharsets.US_ASCII));
                }
                EntryFixture.await(
                        "requests are refused", () -> isBounded(entry) && refusedCount(entry) > 0);
                EntryFixture.await(
                        "a caller is closed", () -> entry.service.callerConnections() < 12);
                EntryFixture.await("bytes are released", () -> entry.service.bufferedBytes() == 0);
                assertEquals("small", entry.get(EntryFixture.PATH).body());
            } finally {
                for (Socket socket : unread) {
                    socket.close();
                }
            }
        }
    }

    private static long refusedCount(EntryFixture entry) {
        return entry.counter(
                "peridot_requests_total",
                "kind",
                "idempotent",
                "outcome",
                "not-run",
                "reason",
                "buffers-full");
    }

    private static boolean isBounded(EntryFixture entry) {
        // Responses that are passed on while others arrive may each exceed the limit of 6 MiB by
        // one response.
        long bytes = entry.service.bufferedBytes();
        assertTrue(bytes < 8 << 20, "buffered " + bytes);
        return true;
    }
}
