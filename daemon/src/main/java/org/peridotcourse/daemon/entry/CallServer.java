package org.peridotcourse.daemon.entry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.LongSupplier;

/**
 * An HTTP server that passes every complete call to one {@link CallSink}.
 *
 * <p>It is an {@link EntryServer} with fixed limits and time-outs. {@link #sweep} must be called
 * about every 100 ms. It is thread-safe.
 */
public final class CallServer implements AutoCloseable {
    private static final int MAX_HEAD_BYTES = 16 * 1024;
    private static final long READ_TIMEOUT_MILLIS = 3_000;
    private static final long MAX_BUFFERED_BYTES = 32L * 1024 * 1024;

    private final EntryServer server;

    private CallServer(EntryServer server) {
        this.server = server;
    }

    /**
     * Opens a port.
     *
     * @param address the address to listen on
     * @param maxBodyBytes the maximum size of a body, in bytes
     * @param maxConnections the maximum number of connections
     * @param ids generates the identifiers of calls
     * @param clock monotonic milliseconds
     * @param sink receives the calls
     * @return the running server
     * @throws IOException if the port cannot be opened
     */
    public static CallServer open(
            InetSocketAddress address,
            int maxBodyBytes,
            int maxConnections,
            RequestIds ids,
            LongSupplier clock,
            CallSink sink)
            throws IOException {
        BodyBudget budget = new BodyBudget(MAX_BUFFERED_BYTES);
        EntryHandler.Limits limits =
                new EntryHandler.Limits(
                        MAX_HEAD_BYTES, maxBodyBytes, maxConnections, READ_TIMEOUT_MILLIS);
        EntryServer server =
                new EntryServer(
                        address,
                        new SinkHandler(ids, budget, clock, sink),
                        limits,
                        budget,
                        ids,
                        clock);
        server.start();
        return new CallServer(server);
    }

    /**
     * Returns the port.
     *
     * @return the port, also if the system chose it
     */
    public int port() {
        return server.port();
    }

    /**
     * Refuses requests that did not arrive in time, and closes connections that are idle for too
     * long or whose callers do not read their responses.
     */
    public void sweep() {
        server.sweep();
    }

    /** Adds {@code Connection: close} to the responses to all later requests. */
    public void closeConnections() {
        server.closeConnections();
    }

    /**
     * Closes idle connections.
     *
     * @return the number of connections that remain
     */
    public int closeIdle() {
        return server.closeIdle();
    }

    @Override
    public void close() {
        server.close();
    }

    /** Passes all calls to one sink. */
    private static final class SinkHandler extends CallerHandler {
        private final CallSink sink;

        SinkHandler(RequestIds ids, BodyBudget budget, LongSupplier clock, CallSink sink) {
            super(ids, budget, clock);
            this.sink = sink;
        }

        @Override
        void handle(IncomingCall call, CallerExchange exchange) {
            if (!sink.submit(call, exchange)) {
                refuseRingFull(exchange);
            }
        }
    }
}
