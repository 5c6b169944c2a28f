package org.peridotcourse.standins;

import java.util.concurrent.TimeUnit;

/** What the main classes of stand-ins share. Holds no state. */
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
     * Runs an action when the process is asked to stop, then ends it with code 0.
     *
     * @param action the action
     */
    static void onStop(Runnable action) {
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    action.run();
                                    // Without halt, the exit code after SIGTERM is 143.
                                    Runtime.getRuntime().halt(0);
                                },
                                "stop"));
    }
}
