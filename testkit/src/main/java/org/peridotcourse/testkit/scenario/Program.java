package org.peridotcourse.testkit.scenario;

import java.io.File;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * A program that a scenario can start; each constant builds its command line. The constants are
 * immutable.
 */
public enum Program {
    /** The daemon. */
    DAEMON("daemon", "org.peridotcourse.daemon.Main"),
    /** The stand-in for the platform. */
    PLATFORM("standins", "org.peridotcourse.standins.PlatformMain"),
    /** The stand-in for a worker. */
    WORKER("standins", "org.peridotcourse.standins.WorkerMain"),
    /** The stand-in for a backend server. */
    BACKEND("standins", "org.peridotcourse.standins.BackendMain"),
    /** The load client. */
    LOAD("standins", "org.peridotcourse.standins.LoadMain"),
    /** The command-line tool. */
    CTL("ctl", "org.peridotcourse.ctl.Main");

    /**
     * Limits the memory of each process of a test run; the daemon's own flags are in bin/peridotd.
     */
    private static final List<String> JVM_FLAGS =
            List.of(
                    "-Xmx48m",
                    "-XX:+UseSerialGC",
                    "-Xss256k",
                    "-XX:TieredStopAtLevel=1",
                    "-XX:ReservedCodeCacheSize=16m");

    private final String module;
    private final String mainClass;

    Program(String module, String mainClass) {
        this.module = module;
        this.mainClass = mainClass;
    }

    /**
     * Returns the program with the given name.
     *
     * @param name the name in lower case
     * @return the program
     */
    public static Program of(String name) {
        return valueOf(name.toUpperCase(Locale.ROOT));
    }

    /**
     * Returns the command line.
     *
     * @param root the root of the build
     * @param arguments the arguments of the program
     * @return the command and its arguments
     */
    public List<String> command(Path root, List<String> arguments) {
        Path target = root.resolve(module).resolve("target");
        String classPath =
                target.resolve("classes") + File.pathSeparator + target.resolve("lib") + "/*";
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JVM_FLAGS);
        command.addAll(List.of("-cp", classPath, mainClass));
        command.addAll(arguments);
        return command;
    }
}
