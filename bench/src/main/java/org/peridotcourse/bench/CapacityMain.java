package org.peridotcourse.bench;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.apache.thrift.transport.TTransportException;

/** Measures all roles, prints the tables and writes them to the capacity page. */
public final class CapacityMain {
    private static final String BEGIN = "<!-- begin of the output of bin/capacity -->";
    private static final String END = "<!-- end of the output of bin/capacity -->";

    private CapacityMain() {}

    /**
     * Runs the measurement.
     *
     * @param arguments the page in which the text between the marker lines is replaced, or none
     * @throws IOException if the page cannot be read or written, or a loopback call fails
     * @throws TTransportException if the peer port cannot be opened
     */
    public static void main(String... arguments) throws IOException, TTransportException {
        Measurements measurements =
                new Measurements(
                        step ->
                                System.err.printf(
                                        "%5.1f s of CPU  %s%n",
                                        ResourceMeter.processCpuMicros() / 1e6, step));
        measurements.measure();
        String output = new CapacityReport(measurements).toText();
        System.out.println(output);
        if (arguments.length > 0) {
            replace(Path.of(arguments[0]), output);
        }
    }

    /** Replaces the text of a page between the marker lines. */
    static void replace(Path page, String output) throws IOException {
        List<String> lines = Files.readAllLines(page, StandardCharsets.UTF_8);
        int from = lines.indexOf(BEGIN);
        int to = lines.indexOf(END);
        if (from < 0 || to < from) {
            throw new IOException(page + " has no marker lines");
        }
        String text =
                String.join("\n", lines.subList(0, from + 1))
                        + "\n"
                        + output
                        + "\n"
                        + String.join("\n", lines.subList(to, lines.size()))
                        + "\n";
        Files.writeString(page, text, StandardCharsets.UTF_8);
    }
}
