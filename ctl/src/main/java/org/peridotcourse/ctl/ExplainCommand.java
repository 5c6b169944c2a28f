package org.peridotcourse.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apache.commons.cli.CommandLine;

/**
 * Shows what daemons decided about a request or task. Each daemon records only its own decisions,
 * so all daemons in the options are queried. It holds no state.
 */
final class ExplainCommand implements Subcommand {
    @Override
    public ExitCode run(CommandLine line, Console console) throws CtlException {
        if (line.hasOption("request") == line.hasOption("task")) {
            throw new CtlException(CtlFailure.usage("either --request or --task is required"));
        }
        String kind = line.hasOption("request") ? "request" : "task";
        String id = line.getOptionValue(kind);
        ObjectNode result = JsonHttp.MAPPER.createObjectNode().put(kind, id);
        ArrayNode decisions = result.putArray("decisions");
        CtlException lastFailure = null;
        for (String address : DaemonOption.requireAddresses(line)) {
            try {
                JsonHttp.Response response =
                        new JsonHttp(address).get("/explain?" + kind + "=" + JsonHttp.encode(id));
                if (response.status() != 404) {
                    add(response.requireStatus(address, 200), decisions);
                }
            } catch (CtlException e) {
                lastFailure = e;
            }
        }
        if (decisions.isEmpty() && lastFailure != null) {
            throw lastFailure;
        }
        if (lastFailure != null) {
            console.printError("peridotctl explain: " + lastFailure.failure().message());
        }
        console.printValue(result);
        return decisions.isEmpty() ? ExitCode.NOT_FOUND : ExitCode.OK;
    }

    private static void add(JsonNode body, ArrayNode decisions) {
        JsonNode list = body.isArray() ? body : body.path("decisions");
        list.forEach(decisions::add);
    }
}
