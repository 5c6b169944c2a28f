package org.peridotcourse.testkit.scenario;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import org.peridotcourse.testkit.scenario.HttpStep.Answer;

/**
 * Runs a scenario against separate processes on loopback.
 *
 * <p>Verbs: {@code include FILE}, {@code port NAME...}, {@code let NAME VALUE}, {@code file NAME
 * <<}, {@code start NAME PROGRAM ARGUMENT...}, {@code output NAME SECONDS TEXT}, {@code signal NAME
 * SIGNAL}, {@code exit NAME SECONDS CODE}, {@code call METHOD URL ... => CONDITION}, {@code await
 * SECONDS METHOD URL ... => CONDITION}, {@code async LABEL METHOD URL ...}, {@code join LABEL =>
 * CONDITION}, {@code save NAME POINTER METHOD URL}, {@code pause MILLIS}, {@code say TEXT}. {@code
 * ${NAME}} stands for a port, a file, or a saved value. Use one runner for one scenario; close it
 * to end every process that it started. Not thread-safe.
 */
public final class ScenarioRunner implements AutoCloseable {
    private static final long POLL_NANOS = 50_000_000;

    private final Path root;
    private final Path scenarios;
    private final Path work;
    private final Map<String, String> names = new LinkedHashMap<>();
    private final Map<String, RunningProcess> processes = new LinkedHashMap<>();
    private final Map<String, CompletableFuture<Answer>> pending = new LinkedHashMap<>();
    private final HttpStep http = new HttpStep();
    private final StringBuilder transcript = new StringBuilder();

    /**
     * Creates a runner.
     *
     * @param root the root of the build
     * @param scenarios the directory of scenario files
     * @param work an empty directory for settings files and output
     */
    public ScenarioRunner(Path root, Path scenarios, Path work) {
        this.root = root;
        this.scenarios = scenarios;
        this.work = work;
    }

    /**
     * Runs a scenario file.
     *
     * @param file the name of the file
     * @return the transcript, with ports replaced by their names
     * @throws ScenarioFailure if a step is malformed or an expectation is not met
     */
    public String run(String file) {
        for (Step step : Step.parse(readLines(scenarios.resolve(file)))) {
            perform(step);
        }
        return transcript.toString();
    }

    /**
     * Returns the output of every process, for a report about a failure.
     *
     * @return the names of the processes and what they wrote
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

    private void perform(Step raw) {
        Step step = new Step(raw.line(), expand(raw.text()), raw.block());
        List<String> words = step.arguments();
        switch (step.verb()) {
            case "include" -> run(words.get(0));
            case "port" -> words.forEach(name -> names.put(name, Integer.toString(freePort())));
            case "let" -> names.put(words.get(0), words.get(1));
            case "file" -> writeFile(words.get(0), step.block());
            case "start" -> start(words);
            case "output" -> awaitOutput(step, words);
            case "signal" -> processes.get(words.get(0)).signal(words.get(1));
            case "exit" -> checkExit(step, words);
            case "call" -> check(step, words, http.send(words).join());
            case "await" -> awaitAnswer(step, words);
            case "async" -> pending.put(words.get(0), http.send(words.subList(1, words.size())));
            case "join" -> check(step, words, pending.remove(words.get(0)).join());
            case "save" -> save(words);
            case "pause" -> LockSupport.parkNanos(Long.parseLong(words.get(0)) * 1_000_000);
            case "say" -> note(String.join(" ", words));
            default -> throw new ScenarioFailure(step, "unknown verb");
        }
    }

    private void start(List<String> words) {
        String name = words.get(0);
        List<String> command =
                Program.of(words.get(1)).command(root, words.subList(2, words.size()));
        Path output = work.resolve(name + ".out");
        processes.put(name, RunningProcess.start(command, output));
        note("start " + name);
    }

    private void awaitOutput(Step step, List<String> words) {
        RunningProcess process = processes.get(words.get(0));
        String text = String.join(" ", words.subList(2, words.size()));
        long end = deadline(words.get(1));
        while (!process.output().contains(text)) {
            if (System.nanoTime() > end) {
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
        note("exit " + words.get(0) + " " + code);
    }

    private void check(Step step, List<String> words, Answer answer) {
        for (List<String> condition : step.conditions()) {
            if (!HttpStep.holds(answer, condition)) {
                throw new ScenarioFailure(step, answer.status() + " " + answer.body());
            }
        }
        record(step, answer);
    }

    private void awaitAnswer(Step step, List<String> words) {
        long end = deadline(words.get(0));
        List<String> request = words.subList(1, words.size());
        while (true) {
            Answer answer = http.send(request).join();
            if (step.conditions().stream().allMatch(c -> HttpStep.holds(answer, c))) {
                record(step, answer);
                return;
            }
            if (System.nanoTime() > end) {
                throw new ScenarioFailure(step, answer.status() + " " + answer.body());
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    private void save(List<String> words) {
        Answer answer = http.send(words.subList(2, words.size())).join();
        names.put(words.get(0), HttpStep.value(answer, words.get(1)));
    }

    private void record(Step step, Answer answer) {
        String outcome = answer.header("Peridot-Outcome");
        note(step.text() + (outcome.isEmpty() ? "" : "  [" + outcome + "]"));
    }

    /** Ports differ in each run, so the transcript names them. */
    private void note(String line) {
        String text = line;
        for (Map.Entry<String, String> name : names.entrySet()) {
            if (name.getValue().length() > 3) {
                text = text.replace(name.getValue(), name.getKey());
            }
        }
        transcript.append(text).append('\n');
    }

    private void writeFile(String name, List<String> block) {
        Path file = work.resolve(name);
        try {
            Files.writeString(file, expand(String.join("\n", block)) + "\n");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        names.put(name, file.toString());
    }

    private String expand(String text) {
        String expanded = text;
        for (Map.Entry<String, String> name : names.entrySet()) {
            expanded = expanded.replace("${" + name.getKey() + "}", name.getValue());
        }
        return expanded;
    }

    private static long deadline(String seconds) {
        return System.nanoTime() + (long) (Double.parseDouble(seconds) * 1e9);
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
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
