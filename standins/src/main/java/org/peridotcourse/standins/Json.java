package org.peridotcourse.standins;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Utility methods for reading and writing JSON. Thread-safe, as the mapper is. */
final class Json {
    static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    static byte[] bytes(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new MalformedRequestException("the value has no JSON form");
        }
    }

    static JsonNode parse(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw new MalformedRequestException("the text is not JSON");
        }
    }

    static String text(JsonNode node, String field) {
        JsonNode value = node.get(field);
        if (value == null || !value.isTextual()) {
            throw new MalformedRequestException("the field " + field + " is not a string");
        }
        return value.textValue();
    }

    static long number(JsonNode node, String field) {
        JsonNode value = node.get(field);
        if (value == null || !value.isIntegralNumber()) {
            throw new MalformedRequestException("the field " + field + " is not a whole number");
        }
        return value.longValue();
    }
}
