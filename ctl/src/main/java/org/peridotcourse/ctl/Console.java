package org.peridotcourse.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.Iterator;
import java.util.Map;

/**
 * Writes results as text or, with {@code --json}, as one JSON value. Not thread-safe.
 *
 * <p>Text output of JSON has one {@code name: value} line for each scalar; nested parts are
 * indented.
 */
final class Console {
    private final PrintStream out;
    private final PrintStream err;
    private final boolean json;

    Console(PrintStream out, PrintStream err, boolean json) {
        this.out = out;
        this.err = err;
        this.json = json;
    }

    boolean isJson() {
        return json;
    }

    void line(String text) {
        out.println(text);
    }

    void error(String text) {
        err.println(text);
    }

    void value(JsonNode node) {
        if (json) {
            out.println(node.toPrettyString());
        } else {
            tree(node, "");
        }
    }

    private void tree(JsonNode node, String indent) {
        Iterator<Map.Entry<String, JsonNode>> fields = node.fields();
        while (fields.hasNext()) {
            Map.Entry<String, JsonNode> field = fields.next();
            JsonNode value = field.getValue();
            if (value.isContainerNode() && !value.isEmpty()) {
                out.println(indent + field.getKey() + ":");
                part(value, indent + "  ");
            } else {
                out.println(indent + field.getKey() + ": " + scalar(value));
            }
        }
    }

    private void part(JsonNode value, String indent) {
        if (!value.isArray()) {
            tree(value, indent);
            return;
        }
        for (JsonNode element : value) {
            out.println(indent + (element.isObject() ? flat(element) : scalar(element)));
        }
    }

    private static String flat(JsonNode object) {
        StringBuilder line = new StringBuilder();
        object.fields()
                .forEachRemaining(
                        field ->
                                line.append(line.length() == 0 ? "" : " ")
                                        .append(field.getKey())
                                        .append('=')
                                        .append(scalar(field.getValue())));
        return line.toString();
    }

    private static String scalar(JsonNode value) {
        return value.isTextual() ? value.textValue() : value.toString();
    }
}
