package org.peridotcourse.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.approvaltests.Approvals;
import org.approvaltests.core.Options;
import org.approvaltests.reporters.JunitReporter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Compares the output of the tool with golden files. */
class MainTest {
    private static final String GET_ACCEPTANCE = "GET /v1/rows/acceptance?key=datacentres%2Fxela";
    private static final String GET_XELA = "GET /v1/rows/datacentres?key=xela";
    private static final String FIRST_PAGE_QUERY = "?prefix=&since=0&limit=500";

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    @TempDir private Path directory;

    /** Guards against undocumented changes of subcommands, options and exit codes. */
    @Test
    void help() {
        runAndRecord(ExitCode.OK, "--help");
        runAndRecord(ExitCode.OK, "rows", "--help");
        runAndRecord(ExitCode.USAGE, "roes");
        runAndRecord(ExitCode.USAGE, "rows", "put", "customers", "--platform", "127.0.0.1:1");
        verifyOutput();
    }

    /** Guards against a check that stops at the first fault or does not say where it is. */
    @Test
    void faultsOfFiles() throws IOException {
        Path rows = directory.resolve("rows.json");
        Files.writeString(
                rows,
                "{\"datacentres\":{\"xela\":{\"region\":\"altiplano\",\"state\":\"inn\"}},"
                        + "\"customers\":{\"rutas\":{\"weight\":2000,\"colour\":1}},"
                        + "\"shops\":{},\"workloads\":{\"rutas/x\":5}}");
        runAndRecord(ExitCode.FAULTS, "check", "--rows", rows.toString());
        runAndRecord(ExitCode.FAULTS, "check", "--json", "--rows", rows.toString());
        verifyOutput();
    }

    /** Guards against a settings file that passes the check and stops a daemon at its start. */
    @Test
    void faultsOfSettings() throws IOException {
        Path settings = directory.resolve("daemon.ini");
        Files.writeString(settings, "[daemon]\nname = a b\nbogus = 1\n");
        runAndRecord(ExitCode.FAULTS, "check", "--settings", settings.toString());
        // The other lines depend on the schema, which grows with the daemon.
        List<String> lines = output.toString(StandardCharsets.UTF_8).lines().toList();
        String name = settings + ": [daemon] name: found 'a b'; allowed: ";
        String bogus = settings + ": [daemon] bogus: found an unknown key; allowed: name, ";
        assertEquals(1, lines.stream().filter(line -> line.startsWith(name)).count());
        assertEquals(1, lines.stream().filter(line -> line.startsWith(bogus)).count());
    }

    /** Guards against a refused row that looks accepted. */
    @Test
    void rowsShowTheirAcceptance() throws IOException {
        try (FakeServer platform = new FakeServer()) {
            platform.on(
                    "GET /v1/rows/customers" + FIRST_PAGE_QUERY,
                    "200 {'commit':9,'more':false,'rows':["
                            + "{'key':'b','commit':7,'writer':'w','value':{'weight':5}},"
                            + "{'key':'a','commit':8,'writer':'w','value':{}},"
                            + "{'key':'c','commit':9,'writer':'w','value':{}}]}");
            platform.on(
                    "GET /v1/rows/acceptance?prefix=customers%2F&since=0&limit=500",
                    "200 {'commit':9,'more':false,'rows':["
                            + "{'key':'customers/a','commit':9,'value':{'rowCommit':8,"
                            + "'status':'accepted'}},"
                            + "{'key':'customers/b','commit':9,'value':{'rowCommit':7,"
                            + "'status':'refused','code':'invalid-value','message':'why'}},"
                            + "{'key':'customers/c','commit':9,'value':{'rowCommit':3,"
                            + "'status':'accepted'}}]}");
            runAndRecord(
                    ExitCode.OK, "rows", "list", "customers", "--platform", platform.address());
        }
        verifyOutput();
    }

    /** Guards against an edit that overwrites a newer row or loses columns of the row. */
    @Test
    void conflictShowsTheNewerRow() throws IOException {
        try (FakeServer platform = new FakeServer()) {
            platform.on(GET_XELA, row(4, "r1")).on(GET_XELA, row(6, "r2"));
            platform.on(GET_ACCEPTANCE, "200 {'commit':6,'row':null}");
            platform.on("POST /v1/transactions", "409 {'conflicts':[]}");
            putOut(platform, ExitCode.CONFLICT, "--merge");
            appendSentBodies(platform);
        }
        verifyOutput();
    }

    /** Guards against a write that is reported as failed or repeated under another id. */
    @Test
    void lostResponseIsSettledByRepeating() throws IOException {
        try (FakeServer platform = new FakeServer()) {
            platform.on(GET_XELA, row(4, "r1"));
            platform.on("POST /v1/transactions", "LOST");
            platform.on("POST /v1/transactions", "200 {'commit':5}");
            platform.on(GET_ACCEPTANCE, "200 {'commit':5,'row':{'value':{'rowCommit':4}}}");
            platform.on(
                    GET_ACCEPTANCE, "200 {'row':{'value':{'rowCommit':5,'status':'accepted'}}}");
            putOut(platform, ExitCode.OK, "--wait", "5");
            appendSentBodies(platform);
        }
        verifyOutput();
    }

    /** Guards against an unreachable daemon that hides the decisions of another daemon. */
    @Test
    void explainQueriesEveryDaemon() throws IOException {
        try (FakeServer daemon = new FakeServer()) {
            daemon.on(
                    "GET /explain?request=r7",
                    "200 {'decisions':['PC1001 request.routed request=r7 backend=b1']}");
            String address = daemon.address();
            runAndRecord(ExitCode.OK, "explain", "--daemon", address, "--request", "r7");
            runAndRecord(ExitCode.NOT_FOUND, "explain", "--daemon", address, "--request", "r8");
            runAndRecord(
                    ExitCode.OK,
                    "explain",
                    "--daemon",
                    address,
                    "--daemon",
                    "127.0.0.1:1",
                    "--request",
                    "r7");
        }
        verifyOutput();
    }

    private void putOut(FakeServer platform, ExitCode expected, String... options) {
        List<String> arguments = new ArrayList<>();
        arguments.addAll(List.of("rows", "put", "datacentres", "xela", "region=r1", "state=out"));
        arguments.addAll(List.of("--platform", platform.address()));
        arguments.addAll(List.of(options));
        runAndRecord(expected, arguments.toArray(String[]::new));
    }

    private static String row(long commit, String region) {
        return "200 {'commit':9,'row':{'key':'xela','commit':"
                + commit
                + ",'writer':'w','value':{'region':'"
                + region
                + "','state':'in'}}}";
    }

    private void appendSentBodies(FakeServer platform) {
        PrintStream out = new PrintStream(output, true, StandardCharsets.UTF_8);
        platform.requestBodies.forEach(body -> out.println("sent " + body));
    }

    private void runAndRecord(ExitCode expected, String... arguments) {
        PrintStream out = new PrintStream(output, true, StandardCharsets.UTF_8);
        out.println("$ peridotctl " + String.join(" ", arguments));
        ExitCode code = Main.run(out, out, arguments);
        out.println("exit code " + code.code());
        assertEquals(expected, code);
    }

    private void verifyOutput() {
        String text = output.toString(StandardCharsets.UTF_8);
        text = text.replace(directory.toString(), "DIR");
        text = text.replaceAll("127\\.0\\.0\\.1:[0-9]{2,5}", "127.0.0.1:PORT");
        Approvals.verify(text, new Options().withReporter(new JunitReporter()));
    }
}
