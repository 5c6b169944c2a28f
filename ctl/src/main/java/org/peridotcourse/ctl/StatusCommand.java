package org.peridotcourse.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apache.commons.cli.CommandLine;

/** Shows the status page of each named daemon. It holds no state. */
final class StatusCommand implements Subcommand {
    @Override
    public ExitCode run(CommandLine line, Console console) throws CtlException {
        ExitCode code = ExitCode.OK;
        ObjectNode result = JsonHttp.MAPPER.createObjectNode();
        for (String address : DaemonOption.requireAddresses(line)) {
            try {
                JsonHttp http = new JsonHttp(address);
                JsonNode status = http.get("/status").requireStatus(address, 200);
                result.set(address, status);
            } catch (CtlException e) {
                result.putObject(address).put("error", e.failure().message());
                code = e.failure().exitCode();
            }
        }
        console.printValue(result);
        return code;
    }
}
