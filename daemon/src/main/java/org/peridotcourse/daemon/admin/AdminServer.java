package org.peridotcourse.daemon.admin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;

/**
 * HTTP server for {@code /health/live}, {@code /health/ready}, {@code /metrics}, {@code /status}
 * and {@code /explain}. It is thread-safe.
 */
public final class AdminServer implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpServer server = new HttpServer();
    private final NetworkListener listener;

    /**
     * Creates a server that is not started.
     *
     * @param address the address to listen on
     * @param source provides the content of the pages
     */
    public AdminServer(InetSocketAddress address, AdminSource source) {
        listener = new NetworkListener("admin", address.getHostString(), address.getPort());
        listener.getTransport().setIOStrategy(SameThreadIOStrategy.getInstance());
        listener.getTransport().setSelectorRunnersCount(1);
        listener.getTransport().setReuseAddress(true);
        server.addListener(listener);
        server.getServerConfiguration().addHttpHandler(new Pages(source), "/");
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
     * @return the actual port, also if the configured port is 0 and the system chose one
     */
    public int port() {
        return listener.getPort();
    }

    @Override
    public void close() {
        server.shutdownNow();
    }

    /** Handles the requests for all pages. */
    private static final class Pages extends HttpHandler {
        private final AdminSource source;

        Pages(AdminSource source) {
            this.source = source;
        }

        @Override
        public void service(Request request, Response response) throws IOException {
            if (!request.getMethod().getMethodString().equals("GET")) {
                send(response, 400, "text/plain", "only GET is supported\n");
                return;
            }
            switch (request.getRequestURI()) {
                case "/health/live":
                    send(response, 200, "text/plain", "live\n");
                    break;
                case "/health/ready":
                    boolean ready = source.isReady();
                    send(response, ready ? 200 : 503, "text/plain", ready ? "ready\n" : "no\n");
                    break;
                case "/metrics":
                    send(response, 200, "text/plain; version=0.0.4", source.metrics());
                    break;
                case "/status":
                    send(response, 200, "application/json", source.status() + "\n");
                    break;
                case "/explain":
                    explain(request, response);
                    break;
                default:
                    send(response, 404, "text/plain", "no such page\n");
                    break;
            }
        }

        private void explain(Request request, Response response) throws IOException {
            String subject = request.getParameter("request");
            if (subject == null) {
                subject = request.getParameter("task");
            }
            if (subject == null) {
                send(response, 400, "text/plain", "request or task is required\n");
                return;
            }
            List<String> lines = source.explain(subject);
            ObjectNode page = JSON.createObjectNode();
            page.put("subject", subject);
            lines.forEach(page.putArray("decisions")::add);
            send(response, lines.isEmpty() ? 404 : 200, "application/json", page + "\n");
        }

        private static void send(Response response, int status, String type, String text)
                throws IOException {
            byte[] body = text.getBytes(StandardCharsets.UTF_8);
            response.setStatus(status);
            response.setContentType(type);
            response.setContentLength(body.length);
            response.getOutputStream().write(body);
        }
    }
}
