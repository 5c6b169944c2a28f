package org.peridotcourse.daemon.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Guards against an exception at the place of sending when an address comes from a malformed row.
 * Such a connection must fail with {@code CONNECT_FAILED} instead.
 */
class ChannelFactoryTest {
    private static final long WAIT_SECONDS = 10;
    private static final int MAX_BODY = 1_024;

    private static void assertConnectFails(InetSocketAddress address) throws IOException {
        try (ChannelFactory factory = new ChannelFactory(MAX_BODY)) {
            CompletableFuture<HttpChannel> channel = factory.connect(address);
            ExecutionException error =
                    assertThrows(
                            ExecutionException.class,
                            () -> channel.get(WAIT_SECONDS, TimeUnit.SECONDS));
            ChannelException cause = (ChannelException) error.getCause();
            assertEquals(ChannelFailure.CONNECT_FAILED, cause.failure());
        }
    }

    @Test
    void connectionToUnresolvedNameFails() throws IOException {
        assertConnectFails(InetSocketAddress.createUnresolved("no-such-host", 80));
    }

    @Test
    void connectionToPortZeroFails() throws IOException {
        assertConnectFails(new InetSocketAddress("127.0.0.1", 0));
    }
}
