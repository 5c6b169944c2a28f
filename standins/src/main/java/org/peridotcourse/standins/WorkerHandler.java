package org.peridotcourse.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Implements the HTTP interface of a worker, with its event record at {@code /v1/record} and fault
 * injection at {@code /fault} ({@code failEveryTask}, {@code noiseFactor}, {@code silent}). This
 * class is thread-safe.
 */
final class WorkerHandler implements Handler {
    private final WorkerState state;
    private final PlatformClient platform;
    private final LongSupplier clock;
    private volatile boolean silent;

    /**
     * Creates the handler.
     *
     * @param state the state of the worker
     * @param platform the client for the object store, which holds the checkpoints
     * @param clock the worker's own monotonic clock in milliseconds
     */
    WorkerHandler(WorkerState state, PlatformClient platform, LongSupplier clock) {
        this.state = state;
        this.platform = platform;
        this.clock = clock;
    }

    @Override
    public void handle(IncomingRequest request, Responder responder) {
        if (request.path().equals("/fault")) {
            JsonNode changes = request.method().equals("GET") ? Json.object() : request.jsonBody();
            silent = changes.path("silent").asBoolean(silent);
            responder.send(Reply.json(200, state.applyFaults(changes).put("silent", silent)));
        } else if (request.path().equals("/v1/record")) {
            ObjectNode body = Json.object().put("clock", clock.getAsLong());
            body.set("record", state.record());
            responder.send(Reply.json(200, body));
        } else if (silent) {
            // The connection stays open, but the client receives no response.
            return;
        } else if (request.path().equals("/v1/report")) {
            responder.send(Reply.json(200, state.report(clock.getAsLong())));
        } else if (request.matches("POST", "/v1/commands")) {
            responder.send(commands(request.jsonBody()));
        } else {
            responder.send(Reply.error(404, "no-such-path"));
        }
    }

    private Reply commands(JsonNode body) {
        String group = Json.text(body, "group");
        long epoch = Json.number(body, "epoch");
        ObjectNode response = Json.object().put("clock", clock.getAsLong()).put("epoch", epoch);
        ArrayNode results = response.putArray("results");
        if (body.path("clock").asLong() > clock.getAsLong()) {
            // The leases were computed from the clock of an earlier process of this worker.
            return Reply.json(412, Json.object().put("error", "restarted"));
        }
        Optional<Long> higher = state.higherEpoch(group, epoch);
        if (higher.isPresent()) {
            return Reply.json(
                    409, Json.object().put("error", "stale-epoch").put("epoch", higher.get()));
        }
        for (JsonNode command : body.path("commands")) {
            // Commands of a newer owner may have arrived while an earlier command waited for the
            // object store.
            ObjectNode result =
                    state.higherEpoch(group, epoch).isPresent()
                            ? Json.object().put("error", "stale-epoch")
                            : execute(group, command);
            results.add(result);
        }
        return Reply.json(200, response);
    }

    private ObjectNode execute(String group, JsonNode command) {
        String op = Json.text(command, "op");
        switch (op) {
            case "start":
                return start(group, command);
            case "renew":
                state.renew(
                        group,
                        Json.number(command, "batchUntil"),
                        Json.number(command, "serviceUntil"),
                        clock.getAsLong());
                return ok();
            case "stop":
                return state.stop(
                                Json.text(command, "task"),
                                Json.number(command, "attempt"),
                                command.path("release").asBoolean(),
                                clock.getAsLong())
                        .map(WorkerHandler::error)
                        .orElseGet(WorkerHandler::ok);
            case "checkpoint":
            case "throttle":
                return state.findRunning(
                                Json.text(command, "task"),
                                Json.number(command, "attempt"),
                                clock.getAsLong())
                        .map(
                                task ->
                                        op.equals("throttle")
                                                ? throttle(task, command)
                                                : checkpoint(task))
                        .orElseGet(() -> error("not-running"));
            default:
                return error("unknown-command");
        }
    }

    private ObjectNode start(String group, JsonNode command) {
        long doneMillis = 0;
        String checkpoint = command.path("checkpoint").asText("");
        if (!checkpoint.isEmpty() && !checkpoint.equals("null")) {
            Optional<JsonNode> content = platform.object(checkpoint);
            if (content.isEmpty()) {
                return error("checkpoint-unavailable");
            }
            doneMillis = content.get().path("doneMillis").asLong();
        }
        return state.start(group, command, doneMillis, clock.getAsLong())
                .map(WorkerHandler::error)
                .orElseGet(WorkerHandler::ok);
    }

    private ObjectNode checkpoint(WorkerTask task) {
        long doneMillis = state.doneMillis(task);
        String name = "checkpoints/" + task.id() + "/" + task.attempt() + "-" + doneMillis;
        if (!platform.putObject(name, Json.object().put("doneMillis", doneMillis))) {
            return error("checkpoint-failed");
        }
        state.recordCheckpoint(task, name, clock.getAsLong());
        return ok().put("checkpoint", name).put("progress", doneMillis);
    }

    private ObjectNode throttle(WorkerTask task, JsonNode command) {
        state.throttle(task, Json.number(command, "percent"), clock.getAsLong());
        return ok();
    }

    private static ObjectNode ok() {
        return Json.object().put("ok", true);
    }

    private static ObjectNode error(String code) {
        return Json.object().put("error", code);
    }
}
