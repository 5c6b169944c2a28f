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
 * An HTTP server on 127.0.0.1 whose responses may be delayed, lost or cut off.
 *
 * <p>Start it with {@link #start}; stop it with {@link #stop}. It is thread-safe.
 */
final class StandInServer {
    /** Kept in a field, because the logging framework holds loggers weakly. */
    private static final Logger GRIZZLY = Logger.getLogger("org.glassfish.grizzly");

    private final HttpServer server = new HttpServer();
    private final NetworkListener listener;
    private final Handler handler;
    private final ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(2);
    private final Map<Connection<?>, Long> open = new ConcurrentHashMap<>();
    private final AtomicLong lastConnection = new AtomicLong();

    private StandInServer(int port, Handler handler) {
        this.handler = handler;
        this.listener = new NetworkListener("stand-in", "127.0.0.1", port);
    }

    static StandInServer start(int port, Handler handler) throws IOException {
        GRIZZLY.setLevel(Level.WARNING);
        StandInServer created = new StandInServer(port, handler);
        created.configure();
        created.server.start();
        // The threads of the HTTP server are daemons; these keep the process alive.
        created.timer.prestartAllCoreThreads();
        return created;
    }

    private void configure() {
        // Callers keep their connections open and pool them, so the server never closes idle ones.
        listener.getKeepAlive().setMaxRequestsCount(-1);
        listener.getKeepAlive().setIdleTimeoutInSeconds(-1);
        listener.getTransport().setSelectorRunnersCount(2);
        listener.getTransport()
                .setWorkerThreadPoolConfig(
                        ThreadPoolConfig.defaultConfig()
                                .setPoolName("stand-in")
                                .setCorePoolSize(16)
                                .setMaxPoolSize(16));
        listener.getTransport().getConnectionMonitoringConfig().addProbes(new Numbering());
        server.addListener(listener);
        server.getServerConfiguration().setAllowPayloadForUndefinedHttpMethods(true);
        server.getServerConfiguration().addHttpHandler(new Adapter(), "/");
    }

    int port() {
        return listener.getPort();
    }

    String address() {
        return "127.0.0.1:" + port();
    }

    int openConnections() {
        return open.size();
    }

    long lastConnection() {
        return lastConnection.get();
    }

    void later(double delayMillis, Runnable action) {
        if (delayMillis <= 0) {
            action.run();
        } else {
            timer.schedule(action, (long) (delayMillis * 1000), TimeUnit.MICROSECONDS);
        }
    }

    void every(long intervalMillis, Runnable action) {
        timer.scheduleAtFixedRate(action, intervalMillis, intervalMillis, TimeUnit.MILLISECONDS);
    }

    /** Stops; responses that are being written get a second to reach the network. */
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
    private final class Numbering extends ConnectionProbe.Adapter {
        @Override
        public void onAcceptEvent(Connection server, Connection client) {
            open.put(client, lastConnection.incrementAndGet());
        }

        @Override
        public void onCloseEvent(Connection connection) {
            open.remove(connection);
        }
    }

    /** Passes requests of the HTTP server to the handler. */
    private final class Adapter extends HttpHandler {
        @Override
        public void service(Request request, Response response) throws IOException {
            // Grizzly gives a request with an Upgrade header an endless body, and clients such as
            // that of the JDK offer an upgrade to HTTP/2.
            boolean hasBody =
                    request.getContentLengthLong() > 0
                            || request.getHeader("Transfer-Encoding") != null;
            byte[] body = hasBody ? request.getInputStream().readAllBytes() : new byte[0];
            Connection<?> connection = request.getRequest().getConnection();
            Call call =
                    new Call(
                            request.getMethod().getMethodString(),
                            request.getRequestURI(),
                            Call.parseQuery(request.getQueryString()),
                            request::getHeader,
                            body,
                            open.getOrDefault(connection, 0L));
            response.suspend();
            GrizzlyResponder responder = new GrizzlyResponder(response, connection);
            try {
                handler.handle(call, responder);
            } catch (MalformedCallException e) {
                responder.send(Reply.json(400, Json.object().put("error", e.getMessage())));
            }
        }
    }

    /** Writes the response of one request. */
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
        public void breakOff(Reply reply) {
            if (!ended.compareAndSet(false, true)) {
                return;
            }
            try {
                writeHead(reply);
                response.getOutputStream().write(reply.body(), 0, reply.body().length / 2);
                response.flush();
            } catch (IOException e) {
                GRIZZLY.log(Level.FINE, "the caller has closed the connection", e);
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
