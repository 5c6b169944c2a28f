package org.peridotcourse.daemon.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.peridotcourse.daemon.metrics.DaemonMetrics;

/**
 * Guards against wrong statuses or formats of the pages that load balancers, Prometheus and
 * operators read.
 */
class AdminServerTest {
    private final DaemonMetrics metrics = new DaemonMetrics(() -> 0);
    private volatile boolean ready = true;

    @Test
    void servesHealthMetricsStatusAndDecisions() throws Exception {
        metrics.counter("a_total", "kind", "x").inc(3);
        metrics.gauge("b", () -> 1.5);
        for (int i = 1; i <= 1000; i++) {
            metrics.latency("c_seconds", "kind", "x").record(0, i * 1000L);
        }
        try (AdminServer server =
                new AdminServer(new InetSocketAddress("127.0.0.1", 0), source())) {
            server.start();
            assertEquals(200, get(server, "/health/live").statusCode());
            assertEquals(200, get(server, "/health/ready").statusCode());
            ready = false;
            assertEquals(503, get(server, "/health/ready").statusCode());
            assertEquals(200, get(server, "/health/live").statusCode());
            assertEquals("{\"daemon\":\"d\"}\n", get(server, "/status").body());
            assertTrue(get(server, "/explain?request=r1").body().contains("PC1001 one"));
            assertEquals(404, get(server, "/explain?task=r2").statusCode());
            assertEquals(400, get(server, "/explain").statusCode());
            assertEquals(404, get(server, "/stop").statusCode());
            List<String> lines = get(server, "/metrics").body().lines().toList();
            assertEquals(
                    List.of(
                            "# TYPE a_total counter",
                            "a_total{kind=\"x\"} 3",
                            "# TYPE b gauge",
                            "b 1.5",
                            "# TYPE c_seconds summary"),
                    lines.subList(0, 5));
            assertQuantile(lines, "0.5", 0.5);
            assertQuantile(lines, "0.99", 0.99);
            assertTrue(lines.contains("c_seconds_count{kind=\"x\"} 1000"), lines.toString());
        }
    }

    /** Its pages are answered at once, so that Grizzly keeps no call of a connection meanwhile. */
    @Test
    void pipelinedCallsAreAllAnswered() throws Exception {
        try (AdminServer server = new AdminServer(new InetSocketAddress("127.0.0.1", 0), source());
                Socket socket = openSocket(server)) {
            for (int i = 1; i <= 20; i++) {
                String close = i == 20 ? "Connection: close\r\n" : "";
                String call = "GET /health/live HTTP/1.1\r\nHost: a\r\n" + close + "\r\n";
                socket.getOutputStream().write(call.getBytes(StandardCharsets.US_ASCII));
            }
            String answers = new String(socket.getInputStream().readAllBytes());
            assertEquals(21, answers.split("HTTP/1.1 200 OK", -1).length, answers);
            assertEquals(21, answers.split("live\n", -1).length, answers);
        }
    }

    private static Socket openSocket(AdminServer server) throws IOException {
        server.start();
        Socket socket = new Socket("127.0.0.1", server.port());
        socket.setSoTimeout(10_000);
        return socket;
    }

    private static void assertQuantile(List<String> lines, String quantile, double expected) {
        String start = "c_seconds{kind=\"x\",quantile=\"" + quantile + "\"} ";
        String line = lines.stream().filter(l -> l.startsWith(start)).findFirst().orElseThrow();
        double found = Double.parseDouble(line.substring(start.length()));
        assertEquals(expected, found, expected * 0.02);
    }

    private AdminSource source() {
        return new AdminSource() {
            @Override
            public boolean isReady() {
                return ready;
            }

            @Override
            public String metrics() {
                return metrics.toPrometheusText();
            }

            @Override
            public JsonNode status() {
                return new ObjectMapper().createObjectNode().put("daemon", "d");
            }

            @Override
            public List<String> explain(String subject) {
                return subject.equals("r1") ? List.of("PC1001 one") : List.of();
            }
        };
    }

    private static HttpResponse<String> get(AdminServer server, String path) throws Exception {
        URI uri = URI.create("http://127.0.0.1:" + server.port() + path);
        return HttpClient.newHttpClient()
                .send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
    }
}
