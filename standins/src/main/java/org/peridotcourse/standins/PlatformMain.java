package org.peridotcourse.standins;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Stand-in for the platform: an in-memory table service, object store and host list.
 *
 * <p>Options: {@code --port} (0 selects a free port), {@code --name}, {@code --host-lag-ms}.
 */
public final class PlatformMain {
    private PlatformMain() {}

    /**
     * Runs the stand-in until SIGTERM.
     *
     * @param arguments the command-line options
     * @throws IOException if the port is in use
     */
    public static void main(String... arguments) throws IOException {
        CommandLineOptions options =
                new CommandLineOptions()
                        .withOption("port", "port on 127.0.0.1; 0 selects a free port")
                        .withOption("name", "name printed in the ready line")
                        .withOption(
                                "host-lag-ms", "time until changes of the host list become visible")
                        .parse("platform", arguments);
        StandInServer server =
                start((int) options.number("port", 0), options.number("host-lag-ms", 500));
        StandInProcess.onStop(server::stop);
        StandInProcess.printReadyLine(options.text("name", "platform"), server);
    }

    static StandInServer start(int port, long hostLagMillis) throws IOException {
        AtomicReference<StandInServer> server = new AtomicReference<>();
        PlatformHandler handler =
                new PlatformHandler(
                        new HostList(hostLagMillis),
                        StandInProcess::monotonicMillis,
                        (delay, action) -> server.get().schedule(delay, action));
        server.set(StandInServer.start(port, handler));
        return server.get();
    }
}
