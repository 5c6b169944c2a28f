package org.peridotcourse.daemon.placement;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.peridotcourse.TaskId;
import org.peridotcourse.WorkerId;
import org.peridotcourse.WorkloadId;
import org.peridotcourse.placement.PlacementAction.SendCommands;
import org.peridotcourse.placement.PlacementEvent;
import org.peridotcourse.placement.PlacementEvent.CommandResult;
import org.peridotcourse.placement.WorkerCommand;
import org.peridotcourse.placement.WorkerReport;

/**
 * Converts commands and reports of workers between JSON and typed values.
 *
 * <p>It holds no state and is thread-safe.
 */
public final class WorkerJson {
    private static final ObjectMapper JSON = new ObjectMapper();

    private WorkerJson() {}

    /**
     * Encodes a request of several commands for a group of workers.
     *
     * @param group the group of workers to which the epoch belongs
     * @param send the commands
     * @return the body in JSON
     */
    public static byte[] encodeCommands(String group, SendCommands send) {
        ObjectNode body = JSON.createObjectNode();
        body.put("group", group);
        body.put("epoch", send.epoch());
        body.put("clock", send.clockMillis());
        ArrayNode list = body.putArray("commands");
        send.commands().forEach(command -> encode(list.addObject(), command));
        try {
            return JSON.writeValueAsBytes(body);
        } catch (JsonProcessingException impossible) {
            throw new IllegalArgumentException(impossible);
        }
    }

    /** Decodes the answer to commands, or returns empty if it is malformed. */
    static Optional<PlacementEvent> decodeCommandsAnswer(SendCommands send, byte[] body) {
        return parseTree(body)
                .filter(json -> json.path("clock").isNumber())
                .filter(json -> json.path("results").size() == send.commands().size())
                .map(
                        json ->
                                new PlacementEvent.CommandsAnswered(
                                        send.worker(),
                                        send.number(),
                                        json.path("clock").asLong(),
                                        decodeResults(json.path("results"))));
    }

    /**
     * Decodes a report.
     *
     * @param worker the worker that sent it
     * @param body the body in JSON
     * @return the report, or empty if it is malformed
     */
    public static Optional<WorkerReport> decodeReport(WorkerId worker, byte[] body) {
        try {
            return parseTree(body)
                    .filter(json -> json.path("clock").isNumber())
                    .map(
                            json ->
                                    new WorkerReport(
                                            worker,
                                            json.path("clock").asLong(),
                                            json.path("epoch").asLong(),
                                            json.path("usageAgeMillis").asLong(),
                                            decodeTasks(json.path("tasks")),
                                            decodeServices(json.path("services"))));
        } catch (IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }

    private static void encode(ObjectNode json, WorkerCommand command) {
        if (command instanceof WorkerCommand.Start start) {
            encodeStart(json, start);
        } else if (command instanceof WorkerCommand.Renew renew) {
            json.put("op", "renew");
            json.put("batchUntil", renew.batchUntilMillis());
            json.put("serviceUntil", renew.serviceUntilMillis());
        } else if (command instanceof WorkerCommand.Stop stop) {
            json.put("op", "stop").put("task", stop.task().value());
            json.put("attempt", stop.attempt()).put("release", stop.release());
        } else if (command instanceof WorkerCommand.Checkpoint checkpoint) {
            json.put("op", "checkpoint").put("task", checkpoint.task().value());
            json.put("attempt", checkpoint.attempt());
        } else if (command instanceof WorkerCommand.Throttle throttle) {
            json.put("op", "throttle").put("task", throttle.task().value());
            json.put("attempt", throttle.attempt()).put("percent", throttle.percent());
        }
    }

    private static void encodeStart(ObjectNode json, WorkerCommand.Start start) {
        json.put("op", "start");
        json.put("task", start.task().value());
        json.put("attempt", start.attempt());
        json.put("leaseUntil", start.leaseUntilMillis());
        json.put("workload", start.workload().value());
        json.put("class", start.latencyCritical() ? "latency-critical" : "batch");
        json.put("milliCores", start.size().milliCores());
        json.put("memoryMiB", start.size().memoryMib());
        json.put("accelerators", start.size().accelerators());
        start.checkpoint().ifPresent(name -> json.put("checkpoint", name));
        json.put("payload", start.payload());
    }

    private static List<CommandResult> decodeResults(JsonNode list) {
        List<CommandResult> results = new ArrayList<>(list.size());
        for (JsonNode element : list) {
            results.add(
                    new CommandResult(
                            RowJson.nonEmptyText(element, "error"),
                            RowJson.nonEmptyText(element, "checkpoint")));
        }
        return results;
    }

    private static List<WorkerReport.TaskReport> decodeTasks(JsonNode list) {
        List<WorkerReport.TaskReport> tasks = new ArrayList<>(list.size());
        for (JsonNode element : list) {
            String state = element.path("state").asText().toUpperCase(Locale.ROOT);
            tasks.add(
                    new WorkerReport.TaskReport(
                            TaskId.of(element.path("task").asText()),
                            element.path("attempt").asInt(),
                            WorkerReport.AttemptState.valueOf(state),
                            RowJson.nonEmptyText(element, "checkpoint"),
                            element.path("progress").asLong(),
                            element.path("usedMilliCores").asLong(),
                            element.path("usedMemoryMiB").asLong()));
        }
        return tasks;
    }

    private static List<WorkerReport.ServiceReport> decodeServices(JsonNode list) {
        List<WorkerReport.ServiceReport> services = new ArrayList<>(list.size());
        for (JsonNode element : list) {
            services.add(
                    new WorkerReport.ServiceReport(
                            WorkloadId.of(element.path("workload").asText()),
                            element.path("p99Millis").asDouble()));
        }
        return services;
    }

    private static Optional<JsonNode> parseTree(byte[] body) {
        try {
            return Optional.ofNullable(JSON.readTree(body));
        } catch (IOException malformed) {
            return Optional.empty();
        }
    }
}
