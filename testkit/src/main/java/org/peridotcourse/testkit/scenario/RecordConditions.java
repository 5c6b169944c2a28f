package org.peridotcourse.testkit.scenario;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Evaluates conditions on records, which are JSON arrays of objects.
 *
 * <p>A filter is {@code FIELD=VALUE}, {@code FIELD>=N}, {@code FIELD<=N} or {@code FIELD~PREFIX}.
 * Conditions: {@code count OPERATOR N FILTER...}; {@code distinct FIELD FILTER...}, no two matching
 * entries have the same value of the field; {@code exclusive}, no two attempts of a task overlap in
 * the records of workers. It holds no state and is thread-safe.
 */
final class RecordConditions {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Set<String> END_EVENTS =
            Set.of("finished", "failed", "stopped", "lease-expired");

    private RecordConditions() {}

    /**
     * Concatenates the arrays at a JSON pointer in several JSON texts, and returns them as text.
     */
    static String join(List<String> bodies, String pointer) {
        ArrayNode all = JSON.createArrayNode();
        for (String body : bodies) {
            JsonNode array = tree(body).at(pointer);
            if (!array.isArray()) {
                return body + " has no array at " + pointer;
            }
            array.forEach(all::add);
        }
        return all.toString();
    }

    static boolean count(String body, List<String> condition) {
        JsonNode entries = tree(body);
        long matchCount = matchingEntries(entries, condition.subList(3, condition.size())).size();
        return entries.isArray()
                && compare(matchCount, condition.get(1), Long.parseLong(condition.get(2)));
    }

    static boolean distinct(String body, List<String> condition) {
        JsonNode entries = tree(body);
        Set<String> values = new HashSet<>();
        return entries.isArray()
                && matchingEntries(entries, condition.subList(2, condition.size())).stream()
                        .allMatch(entry -> values.add(entry.path(condition.get(1)).asText()));
    }

    /** Orders the entries by the wall clock, which all workers on one machine share. */
    static boolean exclusive(String body) {
        JsonNode entries = tree(body);
        List<JsonNode> ordered = new ArrayList<>();
        entries.forEach(ordered::add);
        // Within one millisecond, the end of an attempt sorts before the start of the next one.
        ordered.sort(
                (one, other) ->
                        one.path("at").asLong() != other.path("at").asLong()
                                ? Long.compare(one.path("at").asLong(), other.path("at").asLong())
                                : Boolean.compare(isStart(one), isStart(other)));
        Map<String, Integer> runningAttempts = new HashMap<>();
        for (JsonNode entry : ordered) {
            String task = entry.path("task").asText();
            if (isStart(entry) && runningAttempts.merge(task, 1, Integer::sum) > 1) {
                return false;
            }
            if (END_EVENTS.contains(entry.path("event").asText())) {
                runningAttempts.merge(task, -1, Integer::sum);
            }
        }
        return entries.isArray();
    }

    private static boolean isStart(JsonNode entry) {
        return entry.path("event").asText().equals("started");
    }

    private static List<JsonNode> matchingEntries(JsonNode entries, List<String> filters) {
        List<JsonNode> found = new ArrayList<>();
        for (JsonNode entry : entries) {
            if (filters.stream().allMatch(filter -> matches(entry, filter))) {
                found.add(entry);
            }
        }
        return found;
    }

    private static boolean matches(JsonNode entry, String filter) {
        String[] parts = filter.split(">=|<=|=|~", 2);
        JsonNode value = entry.path(parts[0]);
        String operator = filter.substring(parts[0].length(), filter.length() - parts[1].length());
        return switch (operator) {
            case "=" -> value.asText().equals(parts[1]);
            case "~" -> value.asText().startsWith(parts[1]);
            default -> compare(value.asLong(), operator, Long.parseLong(parts[1]));
        };
    }

    private static boolean compare(long actual, String operator, long expected) {
        return switch (operator) {
            case "==" -> actual == expected;
            case ">=" -> actual >= expected;
            case "<=" -> actual <= expected;
            default -> false;
        };
    }

    private static JsonNode tree(String body) {
        try {
            return JSON.readTree(body);
        } catch (JsonProcessingException e) {
            return JSON.nullNode();
        }
    }
}
