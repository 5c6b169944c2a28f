package org.peridotcourse.standins;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Stand-in for the platform: table service, object store and host list, in memory.
 *
 * <p>Options: {@code --port} (0 for a free one), {@code --name}, {@code --host-lag-ms}.
 */
public final class PlatformMain {
    private PlatformMain() {}

    /**
     * Runs the stand-in until SIGTERM.
     *
     * @param arguments the options
     * @throws IOException if the port is taken
     */
    public static void main(String... arguments) throws IOException {
        CommandLineOptions options =
                new CommandLineOptions()
                        .withOption("port", "port on 127.0.0.1, 0 for a free one")
                        .withOption("name", "name in the line that says ready")
                        .withOption("host-lag-ms", "delay of the host list")
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
