package org.peridotcourse.daemon.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against an address from a malformed row that throws where a call is sent. */
class ChannelFactoryTest {
    private static final long PATIENCE_SECONDS = 10;
    private static final int MAX_BODY = 1_024;

    private static void assertConnectFails(InetSocketAddress address) throws IOException {
        try (ChannelFactory factory = new ChannelFactory(MAX_BODY)) {
            CompletableFuture<HttpChannel> channel = factory.connect(address);
            ExecutionException fault =
                    assertThrows(
                            ExecutionException.class,
                            () -> channel.get(PATIENCE_SECONDS, TimeUnit.SECONDS));
            ChannelException cause = (ChannelException) fault.getCause();
            assertEquals(ChannelFailure.CONNECT_FAILED, cause.failure());
        }
    }

    @Test
    void anUnresolvedNameIsAFailedConnection() throws IOException {
        assertConnectFails(InetSocketAddress.createUnresolved("no-such-host", 80));
    }

    @Test
    void portZeroIsAFailedConnection() throws IOException {
        assertConnectFails(new InetSocketAddress("127.0.0.1", 0));
    }
}
