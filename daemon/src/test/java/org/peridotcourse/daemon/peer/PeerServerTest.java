package org.peridotcourse.daemon.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.peridotcourse.Result;
import org.peridotcourse.daemon.log.DecisionRing;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.wire.ExchangeReply;
import org.peridotcourse.wire.ExchangeRequest;
import org.peridotcourse.wire.PeerHello;

/** Tests peer client and peer server together over loopback. */
class PeerServerTest {
    private static final int TIMEOUT_MILLIS = 300;
    private final EventLog log = new EventLog(System.getLogger("peer"), new DecisionRing(1));
    private final PeerClient client = new PeerClient(TIMEOUT_MILLIS, TIMEOUT_MILLIS);
    private final ExchangeRequest request =
            new ExchangeRequest(new PeerHello("d1", "xela", 1, false, 7, 0), List.of());

    private PeerServer server(int port) throws Exception {
        return new PeerServer(
                new InetSocketAddress("127.0.0.1", port),
                message -> new ExchangeReply(message.getSender(), message.getBackends()),
                log);
    }

    private Result<ExchangeReply> exchange(int port) {
        return client.exchange("127.0.0.1:" + port, request);
    }

    @AfterEach
    void stop() {
        client.close();
    }

    /** Guards against a reused connection that fails permanently after a restart of the server. */
    @Test
    void survivesRestartOfTheServer() throws Exception {
        PeerServer first = server(0);
        int port = first.address().getPort();
        assertEquals(7, exchange(port).toOptional().orElseThrow().getSender().getConfigVersion());
        first.close();
        assertEquals(Result.failed(PeerFailure.UNREACHABLE), exchange(port));
        try (PeerServer second = server(port)) {
            assertTrue(exchange(port).isOk());
            assertEquals(port, second.address().getPort());
        }
    }

    /**
     * An address without a port ended the round of exchanges with an exception, so that the daemons
     * after it got no message.
     */
    @Test
    void malformedAddressIsUnreachable() {
        for (String address : new String[] {"10.1.0.13", "10.1.0.13:", "10.1.0.13:x", ":7", ""}) {
            assertEquals(Result.failed(PeerFailure.UNREACHABLE), client.exchange(address, request));
        }
        assertEquals(
                Result.failed(PeerFailure.UNREACHABLE),
                client.exchange("127.0.0.1:70000", request));
    }

    /** Guards against a duty that is blocked by a daemon that does not respond. */
    @Test
    void unresponsiveServerTimesOut() throws Exception {
        try (ServerSocket unresponsive = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            long startNanos = System.nanoTime();
            assertEquals(
                    Result.failed(PeerFailure.UNREACHABLE), exchange(unresponsive.getLocalPort()));
            assertTrue((System.nanoTime() - startNanos) / 1_000_000 < 10 * TIMEOUT_MILLIS);
        }
    }

    /** Guards against other clients that block the server with an oversized or incomplete frame. */
    @Test
    void brokenFramesDoNotBlockOtherClients() throws Exception {
        try (PeerServer server = server(0);
                Socket oversized =
                        new Socket(server.address().getAddress(), server.address().getPort());
                Socket incomplete =
                        new Socket(server.address().getAddress(), server.address().getPort())) {
            oversized.getOutputStream().write(new byte[] {0x7f, 0, 0, 0, 1});
            incomplete.getOutputStream().write(new byte[] {0, 0, 1, 0, 1});
            assertEquals(-1, oversized.getInputStream().read());
            assertTrue(exchange(server.address().getPort()).isOk());
        }
    }
}
