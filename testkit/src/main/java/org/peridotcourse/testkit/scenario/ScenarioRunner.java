package org.peridotcourse.testkit.scenario;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.locks.LockSupport;
import org.peridotcourse.testkit.scenario.HttpStep.StepResponse;

/**
 * Runs a scenario with separate processes on the loopback interface.
 *
 * <p>Keywords: {@code include FILE}, {@code port NAME...}, {@code let NAME VALUE}, {@code file NAME
 * <<}, {@code start NAME PROGRAM ARGUMENT...}, {@code output NAME SECONDS TEXT}, {@code signal NAME
 * SIGNAL}, {@code exit NAME SECONDS CODE}, {@code call METHOD URL ... => CONDITION}, {@code await
 * SECONDS METHOD URL ... => CONDITION}, {@code async LABEL METHOD URL ...}, {@code join LABEL =>
 * CONDITION}, {@code save NAME POINTER METHOD URL}, {@code records SECONDS POINTER URL... =>
 * CONDITION}, {@code result NAME SECONDS => CONDITION}, {@code raw ADDRESS SECONDS TEXT =>
 * CONDITION}, {@code mark NAME}, {@code repeat NAME COUNT TEXT}, {@code pause MILLIS}, {@code say
 * TEXT}. {@code ${NAME}} is replaced by the value of the variable, such as a port, the path of a
 * file, or a saved value. Use a new runner for each scenario; closing it ends every process that it
 * started. Not thread-safe.
 */
public final class ScenarioRunner implements AutoCloseable {
    private static final long POLL_NANOS = 50_000_000;
    private static final int FIRST_PORT = 10_000;
    private static final int LAST_PORT = 32_000;

    private final Path root;
    private final Path scenarioDirectory;
    private final Path workDirectory;
    private final Map<String, String> variables = new LinkedHashMap<>();
    private final Map<String, RunningProcess> processes = new LinkedHashMap<>();
    private final Map<String, CompletableFuture<StepResponse>> pendingResponses =
            new LinkedHashMap<>();
    private final HttpStep http = new HttpStep();
    private final StringBuilder transcript = new StringBuilder();
    private String displayText = "";
    private int includeDepth;

    /**
     * Creates a runner.
     *
     * @param root the root directory of the build
     * @param scenarioDirectory the directory of scenario files
     * @param workDirectory an empty directory for settings files and output
     */
    public ScenarioRunner(Path root, Path scenarioDirectory, Path workDirectory) {
        this.root = root;
        this.scenarioDirectory = scenarioDirectory;
        this.workDirectory = workDirectory;
    }

    /**
     * Runs a scenario file.
     *
     * @param file the name of the file
     * @return the transcript, with variables shown by their names
     * @throws ScenarioFailure if a step is malformed or a condition is not met
     */
    public String run(String file) {
        for (Step step : Step.parse(readLines(scenarioDirectory.resolve(file)))) {
            execute(step);
        }
        return transcript.toString();
    }

    /**
     * Returns the output of every process, for the report of a failure.
     *
     * @return the name and the output of each process
     */
    public String outputs() {
        StringBuilder all = new StringBuilder();
        processes.forEach(
                (name, process) ->
                        all.append("--- ")
                                .append(name)
                                .append('\n')
                                .append(process.output())
                                .append('\n'));
        return all.toString();
    }

    @Override
    public void close() {
        processes.values().forEach(RunningProcess::destroy);
        processes.values().forEach(process -> process.exitCode(5_000));
    }

    private void execute(Step unexpanded) {
        Step step = new Step(unexpanded.line(), expand(unexpanded.text()), unexpanded.block());
        displayText = displayText(unexpanded.text());
        List<String> words = step.arguments();
        switch (step.keyword()) {
            case "include" -> include(words.get(0));
            case "port" -> words.forEach(name -> variables.put(name, Integer.toString(freePort())));
            case "let" -> variables.put(words.get(0), words.get(1));
            case "file" -> writeFile(words.get(0), step.block());
            case "start" -> start(words);
            case "output" -> awaitOutput(step, words);
            case "signal" -> {
                processes.get(words.get(0)).signal(words.get(1));
                appendToTranscript(displayText);
            }
            case "exit" -> checkExit(step, words);
            case "call" -> check(step, words, http.send(words).join());
            case "await" -> awaitResponse(step, words);
            case "async" -> {
                pendingResponses.put(words.get(0), http.send(words.subList(1, words.size())));
                appendToTranscript(displayText);
            }
            case "join" -> check(step, words, pendingResponses.remove(words.get(0)).join());
            case "save" -> save(words);
            case "records" -> awaitRecords(step, words);
            case "result" -> checkResult(step, words);
            case "raw" -> {
                int millis = (int) (Double.parseDouble(words.get(1)) * 1_000);
                check(step, words, RawStep.send(words.get(0), millis, words.get(2)));
            }
            case "mark" -> variables.put(words.get(0), Long.toString(System.currentTimeMillis()));
            case "repeat" ->
                    variables.put(
                            words.get(0), words.get(2).repeat(Integer.parseInt(words.get(1))));
            case "pause" -> LockSupport.parkNanos(Long.parseLong(words.get(0)) * 1_000_000);
            case "say" -> transcript.append(String.join(" ", words)).append('\n');
            default -> throw new ScenarioFailure(step, "unknown keyword");
        }
    }

    /** Included files are setup, so only their {@code say} lines appear in the transcript. */
    private void include(String file) {
        includeDepth++;
        run(file);
        includeDepth--;
    }

    private void start(List<String> words) {
        String name = words.get(0);
        List<String> command =
                Program.of(words.get(1)).command(root, words.subList(2, words.size()));
        Path output = workDirectory.resolve(name + ".out");
        processes.put(name, RunningProcess.start(command, output));
        appendToTranscript("start " + name);
    }

    private void awaitOutput(Step step, List<String> words) {
        RunningProcess process = processes.get(words.get(0));
        String text = String.join(" ", words.subList(2, words.size()));
        long deadlineNanos = deadlineNanos(words.get(1));
        while (!process.output().contains(text)) {
            if (System.nanoTime() > deadlineNanos) {
                throw new ScenarioFailure(step, process.output());
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    private void checkExit(Step step, List<String> words) {
        long millis = (long) (Double.parseDouble(words.get(1)) * 1_000);
        int code = processes.get(words.get(0)).exitCode(millis);
        if (code != Integer.parseInt(words.get(2))) {
            throw new ScenarioFailure(step, "exit code " + code);
        }
        appendToTranscript("exit " + words.get(0) + " " + code);
    }

    private void check(Step step, List<String> words, StepResponse response) {
        for (List<String> condition : step.conditions()) {
            if (!HttpStep.holds(response, condition)) {
                throw new ScenarioFailure(step, response.status() + " " + response.body());
            }
        }
        appendRequest(response);
    }

    private void awaitResponse(Step step, List<String> words) {
        long deadlineNanos = deadlineNanos(words.get(0));
        List<String> request = words.subList(1, words.size());
        while (true) {
            StepResponse response = http.send(request).join();
            if (step.conditions().stream()
                    .allMatch(condition -> HttpStep.holds(response, condition))) {
                appendRequest(response);
                return;
            }
            if (System.nanoTime() > deadlineNanos) {
                throw new ScenarioFailure(step, response.status() + " " + response.body());
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    /** Requests and concatenates several records repeatedly until the conditions hold. */
    private void awaitRecords(Step step, List<String> words) {
        long deadlineNanos = deadlineNanos(words.get(0));
        while (true) {
            List<String> bodies =
                    words.subList(2, words.size()).stream()
                            .map(url -> http.send(List.of("GET", url)).join().body())
                            .toList();
            StepResponse response = StepResponse.of(RecordConditions.join(bodies, words.get(1)));
            if (step.conditions().stream()
                    .allMatch(condition -> HttpStep.holds(response, condition))) {
                appendRequest(response);
                return;
            }
            if (System.nanoTime() > deadlineNanos) {
                throw new ScenarioFailure(step, response.body());
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    /** Checks the line of JSON that the load client prints before it exits. */
    private void checkResult(Step step, List<String> words) {
        RunningProcess process = processes.get(words.get(0));
        process.exitCode((long) (Double.parseDouble(words.get(1)) * 1_000));
        String output = process.output();
        String line = output.substring(Math.max(0, output.indexOf("{\"sent\""))).strip();
        check(step, words, StepResponse.of(line));
    }

    private void save(List<String> words) {
        StepResponse response = http.send(words.subList(2, words.size())).join();
        variables.put(words.get(0), HttpStep.value(response, words.get(1)));
    }

    private void appendRequest(StepResponse response) {
        String outcome = response.header("Peridot-Outcome");
        appendToTranscript(displayText + (outcome.isEmpty() ? "" : "  [" + outcome + "]"));
    }

    /** Replaces variables by their names, because their values differ between runs. */
    private static String displayText(String text) {
        return text.replaceAll("(http://)?127[.]0[.]0[.]1:[$][{]([^}]+)[}]", "$2")
                .replaceAll("[$][{]([^}]+)[}]", "$1");
    }

    private void appendToTranscript(String line) {
        if (includeDepth == 0) {
            transcript.append("    ").append(line).append('\n');
        }
    }

    private void writeFile(String name, List<String> block) {
        Path file = workDirectory.resolve(name);
        try {
            Files.writeString(file, expand(String.join("\n", block)) + "\n");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        variables.put(name, file.toString());
    }

    private String expand(String text) {
        String expanded = text;
        for (Map.Entry<String, String> variable : variables.entrySet()) {
            expanded = expanded.replace("${" + variable.getKey() + "}", variable.getValue());
        }
        return expanded;
    }

    private static long deadlineNanos(String seconds) {
        return System.nanoTime() + (long) (Double.parseDouble(seconds) * 1e9);
    }

    /**
     * Returns a free port below the ephemeral port range. A port that the system chose could become
     * the local port of an outgoing connection before the process binds it.
     */
    private int freePort() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            if (variables.containsValue(Integer.toString(port))) {
                continue;
            }
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (BindException e) {
                continue;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    private static List<String> readLines(Path file) {
        try {
            return Files.readAllLines(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
