package org.peridotcourse.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.Iterator;
import java.util.Map;

/**
 * Writes results as text or, with {@code --json}, as one JSON value. Not thread-safe.
 *
 * <p>Text output of JSON has one {@code name: value} line for each scalar; nested values are
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

    void printLine(String text) {
        out.println(text);
    }

    void printError(String text) {
        err.println(text);
    }

    void printValue(JsonNode node) {
        if (json) {
            out.println(node.toPrettyString());
        } else {
            printFields(node, "");
        }
    }

    private void printFields(JsonNode node, String indent) {
        Iterator<Map.Entry<String, JsonNode>> fields = node.fields();
        while (fields.hasNext()) {
            Map.Entry<String, JsonNode> field = fields.next();
            JsonNode value = field.getValue();
            if (value.isContainerNode() && !value.isEmpty()) {
                out.println(indent + field.getKey() + ":");
                printNested(value, indent + "  ");
            } else {
                out.println(indent + field.getKey() + ": " + scalarText(value));
            }
        }
    }

    private void printNested(JsonNode value, String indent) {
        if (!value.isArray()) {
            printFields(value, indent);
            return;
        }
        for (JsonNode element : value) {
            out.println(
                    indent + (element.isObject() ? toInlineText(element) : scalarText(element)));
        }
    }

    private static String toInlineText(JsonNode object) {
        StringBuilder line = new StringBuilder();
        object.fields()
                .forEachRemaining(
                        field ->
                                line.append(line.length() == 0 ? "" : " ")
                                        .append(field.getKey())
                                        .append('=')
                                        .append(scalarText(field.getValue())));
        return line.toString();
    }

    private static String scalarText(JsonNode value) {
        return value.isTextual() ? value.textValue() : value.toString();
    }
}
