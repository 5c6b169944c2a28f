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
import org.peridotcourse.testkit.scenario.HttpStep.Answer;

/**
 * Runs a scenario against separate processes on loopback.
 *
 * <p>Verbs: {@code include FILE}, {@code port NAME...}, {@code let NAME VALUE}, {@code file NAME
 * <<}, {@code start NAME PROGRAM ARGUMENT...}, {@code output NAME SECONDS TEXT}, {@code signal NAME
 * SIGNAL}, {@code exit NAME SECONDS CODE}, {@code call METHOD URL ... => CONDITION}, {@code await
 * SECONDS METHOD URL ... => CONDITION}, {@code async LABEL METHOD URL ...}, {@code join LABEL =>
 * CONDITION}, {@code save NAME POINTER METHOD URL}, {@code records SECONDS POINTER URL... =>
 * CONDITION}, {@code result NAME SECONDS => CONDITION}, {@code raw ADDRESS SECONDS TEXT =>
 * CONDITION}, {@code mark NAME}, {@code repeat NAME COUNT TEXT}, {@code pause MILLIS}, {@code say
 * TEXT}. {@code ${NAME}} stands for a port, a file, or a saved value. Use one runner for one
 * scenario; close it to end every process that it started. Not thread-safe.
 */
public final class ScenarioRunner implements AutoCloseable {
    private static final long POLL_NANOS = 50_000_000;
    private static final int FIRST_PORT = 10_000;
    private static final int LAST_PORT = 32_000;

    private final Path root;
    private final Path scenarios;
    private final Path work;
    private final Map<String, String> names = new LinkedHashMap<>();
    private final Map<String, RunningProcess> processes = new LinkedHashMap<>();
    private final Map<String, CompletableFuture<Answer>> pending = new LinkedHashMap<>();
    private final HttpStep http = new HttpStep();
    private final StringBuilder transcript = new StringBuilder();
    private String shown = "";
    private int included;

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
        shown = shown(raw.text());
        List<String> words = step.arguments();
        switch (step.verb()) {
            case "include" -> include(words.get(0));
            case "port" -> words.forEach(name -> names.put(name, Integer.toString(freePort())));
            case "let" -> names.put(words.get(0), words.get(1));
            case "file" -> writeFile(words.get(0), step.block());
            case "start" -> start(words);
            case "output" -> awaitOutput(step, words);
            case "signal" -> {
                processes.get(words.get(0)).signal(words.get(1));
                note(shown);
            }
            case "exit" -> checkExit(step, words);
            case "call" -> check(step, words, http.send(words).join());
            case "await" -> awaitAnswer(step, words);
            case "async" -> {
                pending.put(words.get(0), http.send(words.subList(1, words.size())));
                note(shown);
            }
            case "join" -> check(step, words, pending.remove(words.get(0)).join());
            case "save" -> save(words);
            case "records" -> awaitRecords(step, words);
            case "result" -> checkResult(step, words);
            case "raw" -> {
                int millis = (int) (Double.parseDouble(words.get(1)) * 1_000);
                check(step, words, RawStep.send(words.get(0), millis, words.get(2)));
            }
            case "mark" -> names.put(words.get(0), Long.toString(System.currentTimeMillis()));
            case "repeat" ->
                    names.put(words.get(0), words.get(2).repeat(Integer.parseInt(words.get(1))));
            case "pause" -> LockSupport.parkNanos(Long.parseLong(words.get(0)) * 1_000_000);
            case "say" -> transcript.append(String.join(" ", words)).append('\n');
            default -> throw new ScenarioFailure(step, "unknown verb");
        }
    }

    /** Included files are the surroundings of the story, so only what they say is shown. */
    private void include(String file) {
        included++;
        run(file);
        included--;
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
        record(answer);
    }

    private void awaitAnswer(Step step, List<String> words) {
        long end = deadline(words.get(0));
        List<String> request = words.subList(1, words.size());
        while (true) {
            Answer answer = http.send(request).join();
            if (step.conditions().stream().allMatch(c -> HttpStep.holds(answer, c))) {
                record(answer);
                return;
            }
            if (System.nanoTime() > end) {
                throw new ScenarioFailure(step, answer.status() + " " + answer.body());
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    /** Joins the arrays of several records, and repeats that until the conditions hold. */
    private void awaitRecords(Step step, List<String> words) {
        long end = deadline(words.get(0));
        while (true) {
            List<String> bodies =
                    words.subList(2, words.size()).stream()
                            .map(url -> http.send(List.of("GET", url)).join().body())
                            .toList();
            Answer joined = Answer.of(Records.join(bodies, words.get(1)));
            if (step.conditions().stream().allMatch(c -> HttpStep.holds(joined, c))) {
                record(joined);
                return;
            }
            if (System.nanoTime() > end) {
                throw new ScenarioFailure(step, joined.body());
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    /** Checks the JSON line that the load client prints at its end. */
    private void checkResult(Step step, List<String> words) {
        RunningProcess process = processes.get(words.get(0));
        process.exitCode((long) (Double.parseDouble(words.get(1)) * 1_000));
        String output = process.output();
        String line = output.substring(Math.max(0, output.indexOf("{\"sent\""))).strip();
        check(step, words, Answer.of(line));
    }

    private void save(List<String> words) {
        Answer answer = http.send(words.subList(2, words.size())).join();
        names.put(words.get(0), HttpStep.value(answer, words.get(1)));
    }

    private void record(Answer answer) {
        String outcome = answer.header("Peridot-Outcome");
        note(shown + (outcome.isEmpty() ? "" : "  [" + outcome + "]"));
    }

    /** Values differ in each run, so the transcript has their names. */
    private static String shown(String text) {
        return text.replaceAll("(http://)?127[.]0[.]0[.]1:[$][{]([^}]+)[}]", "$2")
                .replaceAll("[$][{]([^}]+)[}]", "$1");
    }

    private void note(String line) {
        if (included == 0) {
            transcript.append("    ").append(line).append('\n');
        }
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

    /**
     * Ports below the range of outgoing connections: a port that the system chose may become the
     * local port of a connection before the process binds it.
     */
    private int freePort() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            if (names.containsValue(Integer.toString(port))) {
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
