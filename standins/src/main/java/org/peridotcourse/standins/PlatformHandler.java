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
 * The platform's interface, with faults that {@code /fault} controls and counters at {@code
 * /counters}.
 *
 * <p>Faults: {@code down} closes each connection without a response, {@code refuse} answers 503,
 * {@code slowMillis} delays each response after the call took effect, {@code loseAnswers} drops the
 * responses of the next writes after they took effect. It is thread-safe.
 */
final class PlatformHandler implements Handler {
    private static final String ROWS = "/v1/rows/";
    private static final String OBJECTS = "/v1/objects/";
    private static final String HOSTS = "/v1/hosts";
    private static final long LARGEST_PAGE = 10_000;

    private final TableState tables = new TableState();
    private final Map<String, byte[]> objects = new ConcurrentHashMap<>();
    private final HostList hosts;
    private final LongSupplier clock;
    private final BiConsumer<Long, Runnable> later;
    private final AtomicLong reads = new AtomicLong();
    private final AtomicLong writes = new AtomicLong();
    private final AtomicLong conflicts = new AtomicLong();
    private final AtomicLong rowsWritten = new AtomicLong();
    private final AtomicLong answersToLose = new AtomicLong();
    private volatile boolean down;
    private volatile boolean refusing;
    private volatile long slowMillis;

    /**
     * Creates the handler.
     *
     * @param hosts the host list
     * @param clock monotonic milliseconds
     * @param later runs an action after a delay in milliseconds
     */
    PlatformHandler(HostList hosts, LongSupplier clock, BiConsumer<Long, Runnable> later) {
        this.hosts = hosts;
        this.clock = clock;
        this.later = later;
    }

    @Override
    public void handle(Call call, Responder responder) {
        if (call.path().equals("/fault")) {
            responder.send(fault(call));
        } else if (call.path().equals("/counters")) {
            responder.send(Reply.json(200, counters()));
        } else if (down) {
            responder.abort();
        } else if (refusing) {
            responder.send(Reply.error(503, "unavailable"));
        } else {
            boolean write = !call.method().equals("GET");
            (write ? writes : reads).incrementAndGet();
            Reply reply = reply(call);
            boolean lost = write && answersToLose.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
            later.accept(slowMillis, () -> end(responder, reply, lost));
        }
    }

    private static void end(Responder responder, Reply reply, boolean lost) {
        if (lost) {
            responder.abort();
        } else {
            responder.send(reply);
        }
    }

    private Reply reply(Call call) {
        if (call.method().equals("POST") && call.path().equals("/v1/transactions")) {
            JsonNode transaction = call.json();
            Reply reply = tables.commit(transaction);
            if (reply.status() == 409) {
                conflicts.incrementAndGet();
            } else {
                rowsWritten.addAndGet(
                        transaction.path("puts").size() + transaction.path("deletes").size());
            }
            return reply;
        }
        if (call.is("GET", ROWS)) {
            return Reply.json(200, rows(call));
        }
        if (call.path().startsWith(OBJECTS)) {
            return object(call, call.rest(OBJECTS));
        }
        if (call.path().startsWith(HOSTS)) {
            return host(call);
        }
        return Reply.error(404, "no-such-path");
    }

    private ObjectNode rows(Call call) {
        String table = call.rest(ROWS);
        Optional<String> key = call.parameter("key");
        if (key.isPresent()) {
            return tables.row(table, key.get());
        }
        long limit = Math.min(call.number("limit", LARGEST_PAGE), LARGEST_PAGE);
        return tables.rows(
                table, call.parameter("prefix").orElse(""), call.number("since", 0), limit);
    }

    private Reply object(Call call, String name) {
        switch (call.method()) {
            case "PUT":
                objects.put(name, call.body());
                return Reply.json(200, Json.object().put("bytes", call.body().length));
            case "DELETE":
                objects.remove(name);
                return Reply.json(200, Json.object());
            case "GET":
                byte[] found = objects.get(name);
                return found == null
                        ? Reply.error(404, "no-such-object")
                        : new Reply(200, Map.of("Content-Type", "application/octet-stream"), found);
            default:
                return Reply.error(405, "no-such-method");
        }
    }

    private Reply host(Call call) {
        if (call.method().equals("GET")) {
            return Reply.json(200, hosts.list(clock.getAsLong()));
        }
        if (!call.path().startsWith(HOSTS + "/")) {
            return Reply.error(404, "no-such-path");
        }
        JsonNode description = call.method().equals("DELETE") ? null : call.json();
        hosts.put(call.rest(HOSTS + "/"), description, clock.getAsLong());
        return Reply.json(200, Json.object());
    }

    private Reply fault(Call call) {
        if (!call.method().equals("GET")) {
            JsonNode wanted = call.json();
            down = wanted.path("down").asBoolean(down);
            refusing = wanted.path("refuse").asBoolean(refusing);
            slowMillis = wanted.path("slowMillis").asLong(slowMillis);
            answersToLose.set(wanted.path("loseAnswers").asLong(answersToLose.get()));
        }
        ObjectNode state = Json.object().put("down", down).put("refuse", refusing);
        state.put("slowMillis", slowMillis).put("loseAnswers", answersToLose.get());
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
