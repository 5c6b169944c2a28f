package org.peridotcourse.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;
import org.apache.commons.cli.CommandLine;
import org.peridotcourse.config.ConfigTable;
import org.peridotcourse.config.RowFault;

/** Shows and edits the rows that operators own. It holds no state. */
final class RowsCommand implements Subcommand {
    private static final String ACCEPTANCE_TABLE = "acceptance";
    private static final long POLL_MILLIS = 200;

    @Override
    public ExitCode run(CommandLine line, Console console) throws CtlException {
        List<String> arguments = line.getArgList();
        String platform = line.getOptionValue("platform", System.getenv("PERIDOT_PLATFORM"));
        if (platform == null) {
            throw new CtlException(CtlFailure.usage("--platform is missing"));
        }
        RowStore store = new RowStore(new JsonHttp(platform));
        String action = arguments.isEmpty() ? "" : arguments.get(0);
        boolean isList = action.equals("list");
        boolean hasFixedCount = isList || action.equals("get") || action.equals("delete");
        int expectedCount = isList ? 2 : 3;
        if (action.equals("put")
                ? arguments.size() < 4
                : !hasFixedCount || arguments.size() != expectedCount) {
            throw new CtlException(CtlFailure.usage("list, get, put or delete is required"));
        }
        String table = arguments.get(1);
        switch (action) {
            case "list":
                return list(store, table, line.getOptionValue("prefix", ""), console);
            case "get":
                return get(store, table, arguments.get(2), console);
            default:
                return write(store, line, console);
        }
    }

    private static ExitCode list(RowStore store, String table, String prefix, Console console)
            throws CtlException {
        Map<String, JsonNode> acceptances = new HashMap<>();
        for (JsonNode acceptance : store.rows(ACCEPTANCE_TABLE, table + "/" + prefix)) {
            acceptances.put(acceptance.path("key").asText(), acceptance.path("value"));
        }
        ArrayNode rows = JsonHttp.MAPPER.createArrayNode();
        for (JsonNode row : store.rows(table, prefix)) {
            JsonNode acceptance = acceptances.get(table + "/" + row.path("key").asText());
            rows.add(rowView(table, row, Optional.ofNullable(acceptance)));
        }
        if (console.isJson()) {
            console.printValue(rows);
        } else {
            rows.forEach(row -> console.printLine(line(row)));
        }
        return ExitCode.OK;
    }

    private static ExitCode get(RowStore store, String table, String key, Console console)
            throws CtlException {
        JsonNode row = store.row(table, key).orElseThrow(() -> notFound(table, key));
        console.printValue(rowView(table, row, acceptance(store, table, key)));
        return ExitCode.OK;
    }

    private static ExitCode write(RowStore store, CommandLine line, Console console)
            throws CtlException {
        List<String> arguments = line.getArgList();
        String table = arguments.get(1);
        String key = arguments.get(2);
        boolean put = arguments.get(0).equals("put");
        if (ConfigTable.parse(table).isEmpty()) {
            String tableNames =
                    Arrays.stream(ConfigTable.values())
                            .map(ConfigTable::tableName)
                            .collect(Collectors.joining(", "));
            throw new CtlException(
                    CtlFailure.usage("operators edit only the tables " + tableNames));
        }
        Optional<JsonNode> currentRow = store.row(table, key);
        if (!put && currentRow.isEmpty()) {
            throw notFound(table, key);
        }
        Optional<JsonNode> value = Optional.empty();
        if (put) {
            ObjectNode columns = JsonHttp.MAPPER.createObjectNode();
            if (line.hasOption("merge")) {
                currentRow.ifPresent(row -> columns.setAll((ObjectNode) row.get("value")));
            }
            columns.setAll(RowColumns.parse(arguments.subList(3, arguments.size())));
            value = Optional.of(columns);
            if (!line.hasOption("unchecked") && hasFaults(table, key, columns, console)) {
                return ExitCode.FAULTS;
            }
        }
        long commit = currentRow.map(row -> row.path("commit").asLong()).orElse(0L);
        long expected = line.hasOption("expect") ? number(line, "expect") : commit;
        String id = "peridotctl-" + UUID.randomUUID();
        Optional<Long> newCommit = store.write(id, table, key, value, expected);
        if (newCommit.isEmpty()) {
            console.printError("the row has changed meanwhile; it is now:");
            Optional<JsonNode> changedRow = store.row(table, key);
            console.printValue(
                    changedRow.isPresent()
                            ? rowView(table, changedRow.get(), acceptance(store, table, key))
                            : JsonHttp.MAPPER.createObjectNode().put("key", key).put("commit", 0));
            return ExitCode.CONFLICT;
        }
        long waitSeconds = line.hasOption("wait") ? number(line, "wait") : 0;
        return awaitAcceptance(store, table, key, newCommit.get(), waitSeconds, console);
    }

    private static boolean hasFaults(
            String table, String key, ObjectNode columns, Console console) {
        List<RowFault> faults = RowsFile.faultsOf(table, key, columns);
        if (console.isJson() && !faults.isEmpty()) {
            ObjectNode result = JsonHttp.MAPPER.createObjectNode().put("error", "faults");
            ArrayNode list = result.putArray("faults");
            for (RowFault fault : faults) {
                list.addObject()
                        .put("column", fault.column())
                        .put("code", fault.kind().code())
                        .put("found", fault.found())
                        .put("allowed", fault.allowed());
            }
            console.printValue(result);
        } else {
            faults.forEach(fault -> console.printLine(fault.toString()));
        }
        return !faults.isEmpty();
    }

    /** Prints the acceptance of a written row after waiting for it up to the given time. */
    private static ExitCode awaitAcceptance(
            RowStore store,
            String table,
            String key,
            long commit,
            long waitSeconds,
            Console console)
            throws CtlException {
        ObjectNode result = JsonHttp.MAPPER.createObjectNode();
        result.put("table", table).put("key", key).put("commit", commit);
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(waitSeconds);
        Optional<JsonNode> acceptance = acceptance(store, table, key);
        while (isPending(acceptance, commit) && System.nanoTime() < deadline) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_MILLIS));
            acceptance = acceptance(store, table, key);
        }
        putAcceptance(result, commit, acceptance);
        console.printValue(result);
        if (isPending(acceptance, commit)) {
            return waitSeconds > 0 ? ExitCode.PENDING : ExitCode.OK;
        }
        return acceptance.get().path("status").asText().equals("accepted")
                ? ExitCode.OK
                : ExitCode.FAULTS;
    }

    private static boolean isPending(Optional<JsonNode> acceptance, long commit) {
        return acceptance.map(value -> value.path("rowCommit").asLong() < commit).orElse(true);
    }

    private static Optional<JsonNode> acceptance(RowStore store, String table, String key)
            throws CtlException {
        return store.row(ACCEPTANCE_TABLE, table + "/" + key).map(row -> row.path("value"));
    }

    /** Returns a row as it is printed. Only tables that operators edit have an acceptance. */
    private static ObjectNode rowView(String table, JsonNode row, Optional<JsonNode> acceptance) {
        ObjectNode node = JsonHttp.MAPPER.createObjectNode();
        node.put("key", row.path("key").asText()).put("commit", row.path("commit").asLong());
        if (ConfigTable.parse(table).isPresent()) {
            putAcceptance(node, row.path("commit").asLong(), acceptance);
        }
        node.set("columns", row.path("value"));
        return node;
    }

    private static void putAcceptance(ObjectNode node, long commit, Optional<JsonNode> acceptance) {
        if (isPending(acceptance, commit)) {
            node.put("acceptance", "pending");
            return;
        }
        JsonNode value = acceptance.get();
        node.put("acceptance", value.path("status").asText());
        if (value.path("status").asText().equals("refused")) {
            node.put("code", value.path("code").asText());
            node.put("message", value.path("message").asText());
        }
    }

    private static String line(JsonNode row) {
        String line =
                row.path("key").asText()
                        + " commit="
                        + row.path("commit")
                        + (row.has("acceptance") ? " " + row.path("acceptance").asText() : "")
                        + " "
                        + row.path("columns");
        return row.has("message") ? line + "\n    " + row.path("message").asText() : line;
    }

    private static long number(CommandLine line, String option) throws CtlException {
        String text = line.getOptionValue(option);
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new CtlException(
                    CtlFailure.usage("--" + option + " needs a whole number, found " + text));
        }
    }

    private static CtlException notFound(String table, String key) {
        return new CtlException(
                new CtlFailure(ExitCode.NOT_FOUND, "not-found", "no row " + table + "/" + key));
    }
}
