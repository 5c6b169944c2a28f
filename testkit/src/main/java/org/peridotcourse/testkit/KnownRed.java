package org.peridotcourse.testkit;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The tests that fail because of a known fault, as listed in KNOWN-RED.txt.
 *
 * <p>An entry begins with a line {@code test: package.Class#method}; the other lines of the entry
 * are documentation and are ignored. Instances are immutable and thread-safe.
 */
public final class KnownRed {
    private static final String PREFIX = "test:";

    private final Set<String> tests;

    private KnownRed(Set<String> tests) {
        this.tests = Set.copyOf(tests);
    }

    /**
     * Reads the list.
     *
     * @param file the file; a missing file is treated as an empty list
     * @return the list
     * @throws UncheckedIOException if the file cannot be read
     */
    public static KnownRed read(Path file) {
        if (!Files.exists(file)) {
            return new KnownRed(Set.of());
        }
        try {
            return parse(Files.readAllLines(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Parses the lines of the list.
     *
     * @param lines the lines of the file
     * @return the list
     */
    public static KnownRed parse(List<String> lines) {
        Set<String> tests = new LinkedHashSet<>();
        for (String line : lines) {
            if (line.startsWith(PREFIX)) {
                tests.add(line.substring(PREFIX.length()).strip());
            }
        }
        return new KnownRed(tests);
    }

    /**
     * Returns whether a test is on the list.
     *
     * @param className the fully qualified name of its class
     * @param methodName the name of its method
     * @return true if it is listed
     */
    public boolean isListed(String className, String methodName) {
        return tests.contains(className + "#" + methodName);
    }
}
