package org.peridotcourse.testkit.scenario;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A process that a scenario started, with its output redirected to a file. Not thread-safe;
 * confined to the thread that runs the scenario.
 */
final class RunningProcess {
    private final Process process;
    private final Path output;

    private RunningProcess(Process process, Path output) {
        this.process = process;
        this.output = output;
    }

    static RunningProcess start(List<String> command, Path output) {
        try {
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.redirectErrorStream(true).redirectOutput(output.toFile());
            return new RunningProcess(builder.start(), output);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Returns what the process has written so far. */
    String output() {
        try {
            return Files.readString(output);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Sends a signal by its name, such as TERM, KILL, STOP or CONT. */
    void signal(String name) {
        List<String> command = List.of("kill", "-" + name, Long.toString(process.pid()));
        try {
            new ProcessBuilder(command).inheritIO().start().waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the exit code, or -1 if the process still runs after the given time. */
    int exitCode(long millis) {
        try {
            return process.waitFor(millis, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return -1;
        }
    }

    void destroy() {
        process.destroyForcibly();
    }
}
