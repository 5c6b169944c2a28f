package org.peridotcourse.daemon.placement;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.Resources;
import org.peridotcourse.daemon.control.DutyThread;
import org.peridotcourse.membership.Host;

/**
 * A worker on loopback that refuses commands with an old epoch and runs tasks until the test lets
 * them finish.
 */
final class FakeWorker implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Whether connections are closed without an answer. */
    volatile boolean dropsCalls;

    /** Whether reports show all tasks as finished. */
    volatile boolean finishesTasks;

    private final String name;
    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Map<String, Integer> attempts = new TreeMap<>();
    private final Map<String, Integer> startCounts = new TreeMap<>();
    private long epoch;
    private int renewalCount;
    private int staleRequests;

    FakeWorker(String name) throws IOException {
        this.name = name;
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.setExecutor(threads);
        server.createContext("/", this::answer);
        server.start();
    }

    Host host() {
        return new Host(
                name,
                Host.Role.WORKER,
                DataCentreId.of("a"),
                "r",
                "127.0.0.1:" + server.getAddress().getPort(),
                false,
                Optional.empty(),
                Resources.of(8_000, 16_000));
    }

    synchronized long epoch() {
        return epoch;
    }

    synchronized int renewalCount() {
        return renewalCount;
    }

    /** Returns the number of requests refused because of their epoch. */
    synchronized int staleRequests() {
        return staleRequests;
    }

    synchronized Map<String, Integer> startCounts() {
        return new TreeMap<>(startCounts);
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }

    private void answer(HttpExchange exchange) throws IOException {
        byte[] request = exchange.getRequestBody().readAllBytes();
        if (dropsCalls) {
            exchange.close();
            return;
        }
        ObjectNode reply = JSON.createObjectNode();
        int status = 200;
        if (exchange.getRequestURI().getPath().equals("/v1/report")) {
            report(reply);
        } else {
            status = execute(JSON.readTree(request), reply);
        }
        byte[] body = JSON.writeValueAsBytes(reply);
        exchange.sendResponseHeaders(status, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    private synchronized void report(ObjectNode reply) {
        reply.put("clock", DutyThread.monotonicMillis()).put("epoch", epoch);
        reply.put("usageAgeMillis", 0);
        ArrayNode tasks = reply.putArray("tasks");
        attempts.forEach(
                (task, attempt) ->
                        tasks.addObject()
                                .put("task", task)
                                .put("attempt", attempt)
                                .put("state", finishesTasks ? "finished" : "running"));
        reply.putArray("services");
    }

    private synchronized int execute(JsonNode request, ObjectNode reply) {
        if (request.path("epoch").asLong() < epoch) {
            staleRequests++;
            reply.put("error", "stale-epoch").put("epoch", epoch);
            return 409;
        }
        epoch = request.path("epoch").asLong();
        reply.put("clock", DutyThread.monotonicMillis()).put("epoch", epoch);
        ArrayNode results = reply.putArray("results");
        for (JsonNode command : request.path("commands")) {
            String task = command.path("task").asText();
            switch (command.path("op").asText()) {
                case "start" -> {
                    startCounts.merge(task, 1, Integer::sum);
                    attempts.put(task, command.path("attempt").asInt());
                }
                case "renew" -> renewalCount++;
                case "stop" -> attempts.remove(task);
                default -> {
                    // The tests need no effect of the other commands.
                }
            }
            results.addObject().put("ok", true);
        }
        return 200;
    }
}
