package org.peridotcourse.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * Reads columns from arguments: {@code weight=200 data-centres=xela,huehue}, or one JSON object.
 *
 * <p>It holds no state and is thread-safe.
 */
final class RowColumns {
    private static final String LIST_COLUMN = "data-centres";

    private RowColumns() {}

    static ObjectNode parse(List<String> arguments) throws CtlException {
        if (arguments.size() == 1 && arguments.get(0).startsWith("{")) {
            return object(arguments.get(0));
        }
        ObjectNode columns = JsonHttp.MAPPER.createObjectNode();
        for (String argument : arguments) {
            int separator = argument.indexOf('=');
            if (separator <= 0) {
                throw new CtlException(
                        CtlFailure.usage("expected COLUMN=VALUE, found " + argument));
            }
            String name = argument.substring(0, separator);
            if (columns.has(name)) {
                throw new CtlException(CtlFailure.usage("the column " + name + " is given twice"));
            }
            columns.set(name, value(name, argument.substring(separator + 1)));
        }
        return columns;
    }

    private static JsonNode value(String name, String text) {
        if (name.equals(LIST_COLUMN)) {
            ArrayNode list = JsonHttp.MAPPER.createArrayNode();
            for (String part : text.split(",")) {
                list.add(part.trim());
            }
            return list;
        }
        if (text.matches("-?[0-9]{1,18}")) {
            return JsonHttp.MAPPER.getNodeFactory().numberNode(Long.parseLong(text));
        }
        return JsonHttp.MAPPER.getNodeFactory().textNode(text);
    }

    private static ObjectNode object(String text) throws CtlException {
        try {
            return (ObjectNode) JsonHttp.MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw new CtlException(CtlFailure.usage("not a JSON object: " + text));
        }
    }
}
