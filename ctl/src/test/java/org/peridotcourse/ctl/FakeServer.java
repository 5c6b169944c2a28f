package org.peridotcourse.ctl;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Answers each method and path with scripted responses in turn; the last one is repeated. */
final class FakeServer implements AutoCloseable {
    final List<String> requestBodies = new ArrayList<>();
    private final Map<String, Deque<String>> scripts = new HashMap<>();
    private final HttpServer server;

    FakeServer() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.createContext("/", this::answer);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Adds a response, {@code LOST} for a closed connection, or a status and a body. */
    synchronized FakeServer on(String call, String response) {
        scripts.computeIfAbsent(call, unused -> new ArrayDeque<>())
                .add(response.replace('\'', '"'));
        return this;
    }

    @Override
    public void close() {
        server.stop(0);
    }

    private synchronized void answer(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        if (!body.isEmpty()) {
            requestBodies.add(body.replaceAll("peridotctl-[0-9a-f-]{36}", "ID"));
        }
        String call = exchange.getRequestMethod() + " " + exchange.getRequestURI();
        Deque<String> script = scripts.getOrDefault(call, new ArrayDeque<>(List.of("404 {}")));
        String response = script.size() > 1 ? script.remove() : script.element();
        if (!response.equals("LOST")) {
            byte[] bytes = response.substring(4).getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(Integer.parseInt(response.substring(0, 3)), bytes.length);
            exchange.getResponseBody().write(bytes);
        }
        exchange.close();
    }
}
