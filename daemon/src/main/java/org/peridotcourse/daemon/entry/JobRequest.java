package org.peridotcourse.daemon.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Iterator;
import java.util.Optional;
import java.util.Set;
import org.peridotcourse.CustomerId;
import org.peridotcourse.Result;
import org.peridotcourse.base.StringId;

/**
 * Parses and validates calls about jobs.
 *
 * <p>It holds no state and is thread-safe.
 */
final class JobRequest {
    /** The columns that the customer sets; two submissions are the same job if all are equal. */
    static final Set<String> COLUMNS =
            Set.of(
                    "workload",
                    "tasks",
                    "milliCores",
                    "memoryMiB",
                    "accelerators",
                    "urgent",
                    "payload");

    private static final int MAX_TASKS = 10_000;
    private static final int MAX_MILLI_CORES = 1_000_000;
    private static final int MAX_MEMORY_MIB = 16_000_000;
    private static final int MAX_ACCELERATORS = 64;

    /** Keeps the row small enough for the table service. */
    private static final int MAX_PAYLOAD_CHARS = 64 * 1024;

    /** Prefix of the job names under which the placement owner stores replicas of services. */
    private static final String RESERVED_PREFIX = "service.";

    private JobRequest() {}

    /**
     * The name of a job.
     *
     * @param customer the customer
     * @param job the name within the customer
     */
    record Name(CustomerId customer, String job) {
        String rowKey() {
            return customer + "/" + job;
        }
    }

    /** Parses the path {@code /jobs/<customer>/<job>}. */
    static Result<Name> parsePath(String path) {
        String[] parts = path.split("/", -1);
        if (parts.length != 4 || !StringId.isValid(parts[2]) || !StringId.isValid(parts[3])) {
            return malformed("the path must be /jobs/<customer>/<job>");
        }
        if (parts[3].startsWith(RESERVED_PREFIX)) {
            return malformed("job names that begin with " + RESERVED_PREFIX + " are reserved");
        }
        return Result.ok(new Name(CustomerId.of(parts[2]), parts[3]));
    }

    /** Parses the body of a submission into the columns of a row. */
    static Result<ObjectNode> parseSubmission(Name name, byte[] body) {
        JsonNode json;
        try {
            json = Responses.JSON.readTree(body);
        } catch (IOException e) {
            return malformed("the body must be a JSON object");
        }
        if (json == null || !json.isObject()) {
            return malformed("the body must be a JSON object");
        }
        for (Iterator<String> names = json.fieldNames(); names.hasNext(); ) {
            String column = names.next();
            if (!COLUMNS.contains(column)) {
                return malformed("unknown field " + column);
            }
        }
        JsonNode workload = json.path("workload");
        JsonNode payload = json.path("payload");
        if (!workload.isTextual() || !StringId.isValid(workload.asText())) {
            return malformed("workload must be the name of a workload of the customer");
        }
        if (!payload.isMissingNode()
                && (!payload.isTextual() || payload.asText().length() > MAX_PAYLOAD_CHARS)) {
            return malformed(
                    "payload must be a text of at most " + MAX_PAYLOAD_CHARS + " characters");
        }
        if (json.has("urgent") && !json.get("urgent").isBoolean()) {
            return malformed("urgent must be true or false");
        }
        ObjectNode row = Responses.JSON.createObjectNode();
        row.put("workload", name.customer() + "/" + workload.asText());
        Optional<MalformedRequest> fault =
                copyNumber(json, row, "tasks", 1, MAX_TASKS)
                        .or(() -> copyNumber(json, row, "milliCores", 1, MAX_MILLI_CORES))
                        .or(() -> copyNumber(json, row, "memoryMiB", 1, MAX_MEMORY_MIB))
                        .or(() -> copyNumber(json, row, "accelerators", 0, MAX_ACCELERATORS));
        if (fault.isPresent()) {
            return Result.failed(fault.get());
        }
        row.put("urgent", json.path("urgent").asBoolean(false));
        row.put("payload", payload.asText(""));
        return Result.ok(row);
    }

    /** Returns whether two rows have the same specification. */
    static boolean hasSameSpecification(JsonNode one, JsonNode other) {
        return COLUMNS.stream().allMatch(column -> one.path(column).equals(other.path(column)));
    }

    private static Optional<MalformedRequest> copyNumber(
            JsonNode json, ObjectNode row, String column, int min, int max) {
        JsonNode value = json.path(column);
        boolean optional = value.isMissingNode() && min == 0;
        boolean valid = value.canConvertToInt() && value.isIntegralNumber();
        if (!optional && !(valid && value.asInt() >= min && value.asInt() <= max)) {
            return Optional.of(
                    new MalformedRequest(column + " must be a number from " + min + " to " + max));
        }
        row.put(column, value.asInt(0));
        return Optional.empty();
    }

    private static <T> Result<T> malformed(String detail) {
        return Result.failed(new MalformedRequest(detail));
    }
}
