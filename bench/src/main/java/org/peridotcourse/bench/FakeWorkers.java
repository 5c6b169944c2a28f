package org.peridotcourse.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.peridotcourse.TaskId;
import org.peridotcourse.WorkerId;
import org.peridotcourse.placement.PlacementAction;
import org.peridotcourse.placement.WorkerCommand;

/** Fake workers of a data centre. They execute commands at once and report their tasks as JSON. */
final class FakeWorkers {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Map<WorkerId, Map<TaskId, Running>> workers = new HashMap<>();
    private long starts;

    private record Running(int attempt, WorkerCommand.Start start, boolean finished) {}

    long starts() {
        return starts;
    }

    /** Executes commands and returns the number of results in the reply. */
    int execute(PlacementAction.SendCommands send) {
        Map<TaskId, Running> tasks = tasks(send.worker());
        for (WorkerCommand command : send.commands()) {
            if (command instanceof WorkerCommand.Start start) {
                starts++;
                tasks.put(start.task(), new Running(start.attempt(), start, false));
            } else if (command instanceof WorkerCommand.Stop stop) {
                tasks.remove(stop.task());
            }
        }
        return send.commands().size();
    }

    /** Finishes all batch tasks whose names start with a prefix and returns their number. */
    int finish(String prefix) {
        int finished = 0;
        for (Map<TaskId, Running> tasks : workers.values()) {
            for (Map.Entry<TaskId, Running> entry : tasks.entrySet()) {
                Running task = entry.getValue();
                if (entry.getKey().value().startsWith(prefix)) {
                    entry.setValue(new Running(task.attempt(), task.start(), true));
                    finished++;
                }
            }
        }
        return finished;
    }

    /** Returns a report in the JSON format of the worker's interface. */
    byte[] report(WorkerId worker, long clock) {
        ObjectNode json =
                JSON.createObjectNode()
                        .put("clock", clock)
                        .put("epoch", 1)
                        .put("usageAgeMillis", 5);
        ArrayNode tasks = json.putArray("tasks");
        ArrayNode services = json.putArray("services");
        tasks(worker)
                .forEach(
                        (id, task) -> {
                            ObjectNode object = tasks.addObject().put("task", id.value());
                            object.put("attempt", task.attempt());
                            object.put("state", task.finished() ? "finished" : "running");
                            object.put("progress", clock);
                            object.put("usedMilliCores", task.start().size().milliCores() / 2);
                            object.put("usedMemoryMiB", task.start().size().memoryMib());
                            if (task.start().latencyCritical()) {
                                services.addObject()
                                        .put("workload", task.start().workload().value())
                                        .put("p99Millis", 21.5);
                            }
                        });
        return toJsonBytes(json);
    }

    /** Serializes a value as JSON. */
    static byte[] toJsonBytes(Object value) {
        try {
            return JSON.writeValueAsBytes(value);
        } catch (JsonProcessingException impossible) {
            throw new IllegalArgumentException(impossible);
        }
    }

    private Map<TaskId, Running> tasks(WorkerId worker) {
        return workers.computeIfAbsent(worker, id -> new LinkedHashMap<>());
    }
}
