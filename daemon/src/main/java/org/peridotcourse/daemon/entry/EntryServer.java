package org.peridotcourse.daemon.entry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.LongSupplier;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.server.AddOn;
import org.glassfish.grizzly.http.server.FileCacheFilter;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.peridotcourse.routing.NotRunReason;

/**
 * The HTTP server for callers. It is thread-safe.
 *
 * <p>Selector threads parse requests and never block. {@link #sweep} must be called about every 100
 * ms.
 */
public final class EntryServer implements AutoCloseable {
    private static final int SELECTOR_THREADS = 1;

    private final HttpServer server = new HttpServer();
    private final NetworkListener listener;
    private final CallerHandler handler;
    private final CallerConnectionFilter connectionFilter;
    private final RequestIds ids;

    EntryServer(
            InetSocketAddress address,
            CallerHandler handler,
            EntryHandler.Limits limits,
            BodyBudget budget,
            RequestIds ids,
            LongSupplier clock) {
        this.handler = handler;
        this.ids = ids;
        this.connectionFilter = new CallerConnectionFilter(limits, budget, clock);
        this.listener = new NetworkListener("entry", address.getHostString(), address.getPort());
        TCPNIOTransport transport = listener.getTransport();
        transport.setIOStrategy(SameThreadIOStrategy.getInstance());
        transport.setSelectorRunnersCount(SELECTOR_THREADS);
        transport.setTcpNoDelay(true);
        transport.setReuseAddress(true);
        listener.setTransport(transport);
        listener.setMaxHttpHeaderSize(limits.maxHeadBytes());
        listener.registerAddOn(new FilterChainSetup(limits, budget, clock));
        server.addListener(listener);
        server.getServerConfiguration().addHttpHandler(handler, "/");
        server.getServerConfiguration().setJmxEnabled(false);
    }

    /**
     * Opens the port.
     *
     * @throws IOException if the port cannot be opened
     */
    public void start() throws IOException {
        server.start();
    }

    /**
     * Returns the port.
     *
     * @return the port, also if it is port 0 in the settings and the system chose it
     */
    public int port() {
        return listener.getPort();
    }

    /**
     * Returns the number of callers' connections.
     *
     * @return the number
     */
    public int connections() {
        return connectionFilter.connections();
    }

    /**
     * Refuses requests that did not arrive in time, and closes connections that are idle for too
     * long or whose callers do not read their responses.
     *
     * @return the number of refused requests
     */
    public int sweep() {
        return connectionFilter.sweep(
                () -> Responses.notRun(ids.next(), NotRunReason.SLOW_CALLER, 0));
    }

    /** Returns the bytes of requests and responses in memory. */
    long bufferedBytes() {
        return connectionFilter.bufferedBytes();
    }

    /** Adds {@code Connection: close} to the responses to all later requests. */
    public void closeConnections() {
        handler.closeConnections();
    }

    /**
     * Stops accepting connections.
     *
     * @throws IOException if the port cannot be closed
     */
    public void closePort() throws IOException {
        listener.getTransport().unbindAll();
    }

    /**
     * Closes idle connections.
     *
     * @return the number of connections that remain
     */
    public int closeIdle() {
        return connectionFilter.closeIdle();
    }

    @Override
    public void close() {
        server.shutdownNow();
    }

    /** Adds the filters of this package to Grizzly's filter chain and replaces its HTTP codec. */
    private final class FilterChainSetup implements AddOn {
        private final EntryHandler.Limits limits;
        private final BodyBudget budget;
        private final LongSupplier clock;

        FilterChainSetup(EntryHandler.Limits limits, BodyBudget budget, LongSupplier clock) {
            this.limits = limits;
            this.budget = budget;
            this.clock = clock;
        }

        @Override
        public void setup(NetworkListener network, FilterChainBuilder builder) {
            int codec = builder.indexOfType(HttpServerFilter.class);
            builder.set(
                    codec,
                    new CallerCodec(
                            limits.maxHeadBytes(),
                            null,
                            (reason, detail) -> Responses.notRun(ids.next(), reason, 0),
                            budget,
                            clock));
            builder.add(codec + 1, new BodyFilter(limits.maxBodyBytes(), budget, ids, clock));
            builder.add(codec, connectionFilter);
            int cache = builder.indexOfType(FileCacheFilter.class);
            if (cache >= 0) {
                builder.remove(cache);
            }
        }
    }
}
