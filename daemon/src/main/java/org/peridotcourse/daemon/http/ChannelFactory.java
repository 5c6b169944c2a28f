package org.peridotcourse.daemon.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.CompletionHandler;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;

/**
 * Opens client connections over one Grizzly transport, for backend servers, workers and the
 * platform.
 *
 * <p>Create it once per process and close it at the end. Responses are handled on the transport's
 * selector threads, which must not block. It is thread-safe.
 */
public final class ChannelFactory implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int SELECTOR_THREADS = 1;

    private final TCPNIOTransport transport;
    private final int maxBodyBytes;

    /**
     * Creates a factory and starts its transport.
     *
     * @param maxBodyBytes the largest response body that is accepted
     * @throws IOException if the transport cannot be started
     */
    public ChannelFactory(int maxBodyBytes) throws IOException {
        this.maxBodyBytes = maxBodyBytes;
        this.transport =
                TCPNIOTransportBuilder.newInstance()
                        .setIOStrategy(SameThreadIOStrategy.getInstance())
                        .setSelectorRunnersCount(SELECTOR_THREADS)
                        .setTcpNoDelay(true)
                        .setKeepAlive(true)
                        .build();
        transport.setProcessor(
                FilterChainBuilder.stateless()
                        .add(new TransportFilter())
                        .add(new HttpClientFilter())
                        .add(new ChannelFilter())
                        .build());
        transport.start();
    }

    /**
     * Opens a connection.
     *
     * @param address the address to connect to
     * @return a future of the channel; it fails with {@link ChannelFailure#CONNECT_FAILED}
     */
    public CompletableFuture<HttpChannel> connect(InetSocketAddress address) {
        return connect(address, ByteBudget.UNLIMITED);
    }

    /**
     * Opens a connection whose buffered responses count against a budget.
     *
     * @param address the address to connect to
     * @param budget limits the bytes of responses; a response that exceeds it fails with {@link
     *     ChannelFailure#BROKEN_ANSWER}
     * @return a future of the channel; it fails with {@link ChannelFailure#CONNECT_FAILED}
     */
    public CompletableFuture<HttpChannel> connect(InetSocketAddress address, ByteBudget budget) {
        CompletableFuture<HttpChannel> opened = new CompletableFuture<>();
        CompletionHandler<Connection> handler =
                new EmptyCompletionHandler<>() {
                    @Override
                    public void completed(Connection connection) {
                        HttpChannel channel =
                                new HttpChannel(connection, address, maxBodyBytes, budget);
                        ChannelFilter.attach(connection, channel);
                        if (!opened.complete(channel)) {
                            channel.close();
                        }
                    }

                    @Override
                    public void failed(Throwable cause) {
                        opened.completeExceptionally(
                                new ChannelException(ChannelFailure.CONNECT_FAILED));
                    }
                };
        TCPNIOConnectorHandler.builder(transport).build().connect(address, handler);
        opened.completeOnTimeout(null, CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        return opened.thenCompose(ChannelFactory::requireOpen);
    }

    @Override
    public void close() throws IOException {
        transport.shutdownNow();
    }

    private static CompletableFuture<HttpChannel> requireOpen(HttpChannel channel) {
        if (channel == null) {
            return CompletableFuture.failedFuture(
                    new ChannelException(ChannelFailure.CONNECT_FAILED));
        }
        return CompletableFuture.completedFuture(channel);
    }
}
