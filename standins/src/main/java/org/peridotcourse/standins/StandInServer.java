package org.peridotcourse.standins;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.ConnectionProbe;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * An HTTP server on 127.0.0.1 whose responses may be delayed, dropped or truncated.
 *
 * <p>Start it with {@link #start} and stop it with {@link #stop}. This class is thread-safe.
 */
final class StandInServer {
    /** Held in a field because {@code java.util.logging} references loggers only weakly. */
    private static final Logger GRIZZLY_LOGGER = Logger.getLogger("org.glassfish.grizzly");

    private final HttpServer server = new HttpServer();
    private final NetworkListener listener;
    private final Handler handler;
    private final ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(2);
    private final Map<Connection<?>, Long> connectionNumbers = new ConcurrentHashMap<>();
    private final AtomicLong lastConnectionNumber = new AtomicLong();

    private StandInServer(int port, Handler handler) {
        this.handler = handler;
        this.listener = new NetworkListener("stand-in", "127.0.0.1", port);
    }

    static StandInServer start(int port, Handler handler) throws IOException {
        GRIZZLY_LOGGER.setLevel(Level.WARNING);
        StandInServer created = new StandInServer(port, handler);
        created.configure();
        created.server.start();
        // The threads of the HTTP server are daemon threads; the timer threads keep the JVM
        // running.
        created.timer.prestartAllCoreThreads();
        return created;
    }

    private void configure() {
        // Clients pool their connections, so the server never closes idle connections.
        listener.getKeepAlive().setMaxRequestsCount(-1);
        listener.getKeepAlive().setIdleTimeoutInSeconds(-1);
        listener.getTransport().setSelectorRunnersCount(2);
        listener.getTransport()
                .setWorkerThreadPoolConfig(
                        ThreadPoolConfig.defaultConfig()
                                .setPoolName("stand-in")
                                .setCorePoolSize(16)
                                .setMaxPoolSize(16));
        listener.getTransport().getConnectionMonitoringConfig().addProbes(new ConnectionTracker());
        server.addListener(listener);
        server.getServerConfiguration().setAllowPayloadForUndefinedHttpMethods(true);
        server.getServerConfiguration().addHttpHandler(new HandlerAdapter(), "/");
    }

    int port() {
        return listener.getPort();
    }

    String address() {
        return "127.0.0.1:" + port();
    }

    int openConnectionCount() {
        return connectionNumbers.size();
    }

    long lastConnectionNumber() {
        return lastConnectionNumber.get();
    }

    void schedule(double delayMillis, Runnable action) {
        if (delayMillis <= 0) {
            action.run();
        } else {
            timer.schedule(action, (long) (delayMillis * 1000), TimeUnit.MICROSECONDS);
        }
    }

    void scheduleAtFixedRate(long intervalMillis, Runnable action) {
        timer.scheduleAtFixedRate(action, intervalMillis, intervalMillis, TimeUnit.MILLISECONDS);
    }

    /** Stops the server; responses in progress have one second to be written. */
    void stop() {
        timer.shutdownNow();
        try {
            server.shutdown(1, TimeUnit.SECONDS).get(2, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            server.shutdownNow();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Numbers connections in the order in which they are accepted. */
    private final class ConnectionTracker extends ConnectionProbe.Adapter {
        @Override
        public void onAcceptEvent(Connection server, Connection client) {
            connectionNumbers.put(client, lastConnectionNumber.incrementAndGet());
        }

        @Override
        public void onCloseEvent(Connection connection) {
            connectionNumbers.remove(connection);
        }
    }

    /** Passes the requests of the Grizzly server to the handler. */
    private final class HandlerAdapter extends HttpHandler {
        @Override
        public void service(Request request, Response response) throws IOException {
            // Grizzly treats the body of a request with an Upgrade header as unbounded, and clients
            // such as that of the JDK offer an upgrade to HTTP/2.
            boolean hasBody =
                    request.getContentLengthLong() > 0
                            || request.getHeader("Transfer-Encoding") != null;
            byte[] body = hasBody ? request.getInputStream().readAllBytes() : new byte[0];
            Connection<?> connection = request.getRequest().getConnection();
            IncomingRequest received =
                    new IncomingRequest(
                            request.getMethod().getMethodString(),
                            request.getRequestURI(),
                            IncomingRequest.parseQuery(request.getQueryString()),
                            request::getHeader,
                            body,
                            connectionNumbers.getOrDefault(connection, 0L));
            response.suspend();
            GrizzlyResponder responder = new GrizzlyResponder(response, connection);
            try {
                handler.handle(received, responder);
            } catch (MalformedRequestException e) {
                responder.send(Reply.json(400, Json.object().put("error", e.getMessage())));
            }
        }
    }

    /** Writes the response to one request. */
    private static final class GrizzlyResponder implements Responder {
        private final Response response;
        private final Connection<?> connection;
        private final AtomicBoolean ended = new AtomicBoolean();

        GrizzlyResponder(Response response, Connection<?> connection) {
            this.response = response;
            this.connection = connection;
        }

        @Override
        public void send(Reply reply) {
            if (!ended.compareAndSet(false, true)) {
                return;
            }
            try {
                writeHead(reply);
                response.getOutputStream().write(reply.body());
            } catch (IOException e) {
                connection.closeSilently();
            } finally {
                response.resume();
            }
        }

        @Override
        public void abort() {
            if (ended.compareAndSet(false, true)) {
                connection.terminateSilently();
            }
        }

        @Override
        public void sendTruncated(Reply reply) {
            if (!ended.compareAndSet(false, true)) {
                return;
            }
            try {
                writeHead(reply);
                response.getOutputStream().write(reply.body(), 0, reply.body().length / 2);
                response.flush();
            } catch (IOException e) {
                GRIZZLY_LOGGER.log(Level.FINE, "the client closed the connection", e);
            } finally {
                connection.closeSilently();
            }
        }

        private void writeHead(Reply reply) {
            response.setStatus(reply.status());
            reply.headers().forEach(response::setHeader);
            response.setContentLength(reply.body().length);
        }
    }
}
