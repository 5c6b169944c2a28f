package org.peridotcourse.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

/**
 * Implements the HTTP interface of the platform, with fault injection at {@code /fault} and
 * counters at {@code /counters}.
 *
 * <p>Faults: {@code down} closes each connection without a response; {@code refuse} responds with
 * status 503; {@code slowMillis} delays each response after the request took effect; {@code
 * loseAnswers} drops the responses to the next N writes after they took effect. This class is
 * thread-safe.
 */
final class PlatformHandler implements Handler {
    private static final String ROWS = "/v1/rows/";
    private static final String OBJECTS = "/v1/objects/";
    private static final String HOSTS = "/v1/hosts";
    private static final long MAX_PAGE_ROWS = 10_000;

    private final TableState tables = new TableState();
    private final Map<String, byte[]> objects = new ConcurrentHashMap<>();
    private final HostList hosts;
    private final LongSupplier clock;
    private final BiConsumer<Long, Runnable> scheduler;
    private final AtomicLong reads = new AtomicLong();
    private final AtomicLong writes = new AtomicLong();
    private final AtomicLong conflicts = new AtomicLong();
    private final AtomicLong rowsWritten = new AtomicLong();
    private final AtomicLong responsesToDrop = new AtomicLong();
    private volatile boolean down;
    private volatile boolean refusing;
    private volatile long slowMillis;

    /**
     * Creates the handler.
     *
     * @param hosts the host list
     * @param clock a monotonic clock in milliseconds
     * @param scheduler runs an action after a delay in milliseconds
     */
    PlatformHandler(HostList hosts, LongSupplier clock, BiConsumer<Long, Runnable> scheduler) {
        this.hosts = hosts;
        this.clock = clock;
        this.scheduler = scheduler;
    }

    @Override
    public void handle(IncomingRequest request, Responder responder) {
        if (request.path().equals("/fault")) {
            responder.send(applyFaults(request));
        } else if (request.path().equals("/counters")) {
            responder.send(Reply.json(200, counters()));
        } else if (down) {
            responder.abort();
        } else if (refusing) {
            responder.send(Reply.error(503, "unavailable"));
        } else {
            boolean write = !request.method().equals("GET");
            (write ? writes : reads).incrementAndGet();
            Reply reply = execute(request);
            boolean dropResponse =
                    write
                            && responsesToDrop.getAndUpdate(remaining -> Math.max(0, remaining - 1))
                                    > 0;
            scheduler.accept(slowMillis, () -> endRequest(responder, reply, dropResponse));
        }
    }

    private static void endRequest(Responder responder, Reply reply, boolean dropResponse) {
        if (dropResponse) {
            responder.abort();
        } else {
            responder.send(reply);
        }
    }

    private Reply execute(IncomingRequest request) {
        if (request.method().equals("POST") && request.path().equals("/v1/transactions")) {
            JsonNode transaction = request.jsonBody();
            Reply reply = tables.commit(transaction);
            if (reply.status() == 409) {
                conflicts.incrementAndGet();
            } else {
                rowsWritten.addAndGet(
                        transaction.path("puts").size() + transaction.path("deletes").size());
            }
            return reply;
        }
        if (request.matches("GET", ROWS)) {
            return Reply.json(200, rows(request));
        }
        if (request.path().startsWith(OBJECTS)) {
            return handleObject(request, request.pathAfter(OBJECTS));
        }
        if (request.path().startsWith(HOSTS)) {
            return handleHost(request);
        }
        return Reply.error(404, "no-such-path");
    }

    private ObjectNode rows(IncomingRequest request) {
        String table = request.pathAfter(ROWS);
        Optional<String> key = request.parameter("key");
        if (key.isPresent()) {
            return tables.row(table, key.get());
        }
        long limit = Math.min(request.longParameter("limit", MAX_PAGE_ROWS), MAX_PAGE_ROWS);
        return tables.rows(
                table,
                request.parameter("prefix").orElse(""),
                request.longParameter("since", 0),
                limit);
    }

    private Reply handleObject(IncomingRequest request, String name) {
        switch (request.method()) {
            case "PUT":
                objects.put(name, request.body());
                return Reply.json(200, Json.object().put("bytes", request.body().length));
            case "DELETE":
                objects.remove(name);
                return Reply.json(200, Json.object());
            case "GET":
                byte[] content = objects.get(name);
                return content == null
                        ? Reply.error(404, "no-such-object")
                        : new Reply(
                                200, Map.of("Content-Type", "application/octet-stream"), content);
            default:
                return Reply.error(405, "no-such-method");
        }
    }

    private Reply handleHost(IncomingRequest request) {
        if (request.method().equals("GET")) {
            return Reply.json(200, hosts.list(clock.getAsLong()));
        }
        if (!request.path().startsWith(HOSTS + "/")) {
            return Reply.error(404, "no-such-path");
        }
        JsonNode description = request.method().equals("DELETE") ? null : request.jsonBody();
        hosts.put(request.pathAfter(HOSTS + "/"), description, clock.getAsLong());
        return Reply.json(200, Json.object());
    }

    private Reply applyFaults(IncomingRequest request) {
        if (!request.method().equals("GET")) {
            JsonNode changes = request.jsonBody();
            down = changes.path("down").asBoolean(down);
            refusing = changes.path("refuse").asBoolean(refusing);
            slowMillis = changes.path("slowMillis").asLong(slowMillis);
            responsesToDrop.set(changes.path("loseAnswers").asLong(responsesToDrop.get()));
        }
        ObjectNode state = Json.object().put("down", down).put("refuse", refusing);
        state.put("slowMillis", slowMillis).put("loseAnswers", responsesToDrop.get());
        return Reply.json(200, state);
    }

    private ObjectNode counters() {
        return Json.object()
                .put("reads", reads.get())
                .put("writes", writes.get())
                .put("conflicts", conflicts.get())
                .put("rowsWritten", rowsWritten.get())
                .put("objects", objects.size());
    }
}
