package org.peridotcourse.standins;

import java.util.concurrent.TimeUnit;

/** Utility methods for the main classes of the stand-ins. Holds no state. */
final class StandInProcess {
    private StandInProcess() {}

    static long monotonicMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    static void printReadyLine(String name, StandInServer server) {
        System.out.println("ready " + name + " " + server.address());
        System.out.flush();
    }

    /**
     * Registers an action that runs when the JVM shuts down; the process then exits with code 0.
     *
     * @param action the action
     */
    static void onStop(Runnable action) {
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    action.run();
                                    // Without halt, the exit code after SIGTERM would be 143.
                                    Runtime.getRuntime().halt(0);
                                },
                                "stop"));
    }
}
