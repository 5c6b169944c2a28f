package org.peridotcourse.daemon.placement;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.function.Supplier;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.JobId;
import org.peridotcourse.Resources;
import org.peridotcourse.TaskId;
import org.peridotcourse.WorkerId;
import org.peridotcourse.WorkloadId;
import org.peridotcourse.daemon.platform.Row;
import org.peridotcourse.placement.JobRow;
import org.peridotcourse.placement.JobState;
import org.peridotcourse.placement.TaskRow;
import org.peridotcourse.placement.TaskState;

/**
 * Converts rows of the tables {@code jobs} and {@code tasks} between JSON and typed values.
 *
 * <p>A malformed row yields an empty result, so that it does not stop the load of other rows. It
 * holds no state and is thread-safe.
 */
public final class RowJson {
    private RowJson() {}

    static Optional<JobRow> job(Row row) {
        return row.value().flatMap(value -> parseOrEmpty(() -> job(row, value)));
    }

    /**
     * Decodes a row of the table {@code tasks}.
     *
     * @param row the row
     * @return the task, or empty if the row was removed or is malformed
     */
    public static Optional<TaskRow> task(Row row) {
        return row.value().flatMap(value -> parseOrEmpty(() -> task(row, value)));
    }

    /**
     * Encodes a row of the table {@code jobs}.
     *
     * @param row the job
     * @return the value of the row
     */
    public static ObjectNode toJson(JobRow row) {
        JobRow.Spec spec = row.spec();
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("workload", spec.workload().value());
        json.put("tasks", spec.tasks());
        json.put("milliCores", spec.size().milliCores());
        json.put("memoryMiB", spec.size().memoryMib());
        json.put("accelerators", spec.size().accelerators());
        json.put("urgent", spec.urgent());
        json.put("payload", spec.payload());
        json.put("cancel", row.cancel());
        JobRow.Progress progress = row.progress();
        json.put("state", progress.state().code());
        progress.dataCentre().ifPresent(id -> json.put("dataCentre", id.value()));
        json.put("created", progress.created());
        json.put("finished", progress.finished());
        json.put("cancelled", progress.cancelled());
        progress.reason().ifPresent(reason -> json.put("reason", reason));
        return json;
    }

    /**
     * Encodes a row of the table {@code tasks}.
     *
     * @param row the task
     * @return the value of the row
     */
    public static ObjectNode toJson(TaskRow row) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("state", row.state().code());
        json.put("attempt", row.attempt());
        row.worker().ifPresent(id -> json.put("worker", id.value()));
        row.checkpoint().ifPresent(name -> json.put("checkpoint", name));
        json.put("epoch", row.epoch());
        row.size()
                .ifPresent(
                        size -> {
                            json.put("milliCores", size.milliCores());
                            json.put("memoryMiB", size.memoryMib());
                            json.put("accelerators", size.accelerators());
                        });
        return json;
    }

    static Resources resources(JsonNode json) {
        return Resources.of(
                json.path("milliCores").asLong(),
                json.path("memoryMiB").asLong(),
                json.path("accelerators").asLong());
    }

    static Optional<String> nonEmptyText(JsonNode json, String name) {
        JsonNode value = json.path(name);
        return value.isTextual() && !value.asText().isEmpty()
                ? Optional.of(value.asText())
                : Optional.empty();
    }

    private static JobRow job(Row row, JsonNode json) {
        JobRow.Spec spec =
                new JobRow.Spec(
                        JobId.of(row.key()),
                        WorkloadId.of(json.path("workload").asText()),
                        json.path("tasks").asInt(),
                        resources(json),
                        json.path("urgent").asBoolean(),
                        json.path("payload").asText());
        JobRow.Progress progress =
                new JobRow.Progress(
                        JobState.parse(json.path("state").asText()),
                        nonEmptyText(json, "dataCentre").map(DataCentreId::of),
                        json.path("created").asInt(),
                        json.path("finished").asInt(),
                        json.path("cancelled").asInt(),
                        nonEmptyText(json, "reason"));
        return new JobRow(spec, json.path("cancel").asBoolean(), progress, row.commit());
    }

    private static TaskRow task(Row row, JsonNode json) {
        int slash = row.key().indexOf('/');
        TaskId id = TaskId.of(row.key().substring(slash + 1));
        int index = Integer.parseInt(id.value().substring(id.value().lastIndexOf('/') + 1));
        TaskState state = TaskState.parse(json.path("state").asText());
        Optional<WorkerId> worker = nonEmptyText(json, "worker").map(WorkerId::of);
        if (index < 0 || state.isPlaced() && worker.isEmpty()) {
            throw new IllegalArgumentException(
                    "task has a negative index or is placed without a worker");
        }
        return new TaskRow(
                DataCentreId.of(row.key().substring(0, slash)),
                id,
                state,
                json.path("attempt").asInt(),
                worker,
                nonEmptyText(json, "checkpoint"),
                json.has("milliCores") ? Optional.of(resources(json)) : Optional.empty(),
                json.path("epoch").asLong(),
                row.commit());
    }

    private static <T> Optional<T> parseOrEmpty(Supplier<T> parser) {
        try {
            return Optional.of(parser.get());
        } catch (IllegalArgumentException | StringIndexOutOfBoundsException malformed) {
            return Optional.empty();
        }
    }
}
