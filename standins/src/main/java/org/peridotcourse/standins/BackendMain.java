package org.peridotcourse.standins;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Stand-in for a backend server of a service.
 *
 * <p>It registers itself in the platform's host list. On SIGTERM it marks itself as leaving, serves
 * requests for another {@code --leave-ms}, then refuses new ones, and exits when no request is in
 * flight.
 */
public final class BackendMain {
    /** Time limit for requests in flight after closing, so that the process always ends. */
    private static final long MAX_DRAIN_MILLIS = 25_000;

    private BackendMain() {}

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
                        .withOption("name", "name of the server")
                        .withOption("platform", "address of the platform")
                        .withOption("service", "service of the server")
                        .withOption("data-centre", "data centre of the server")
                        .withOption("rack", "rack of the server")
                        .withOption("slots", "maximum number of requests that run concurrently")
                        .withOption("queue", "maximum number of requests that wait for a slot")
                        .withOption("connections", "maximum number of connections")
                        .withOption(
                                "service-time", "fixed:MS, exponential:MS or lognormal:MS:SIGMA")
                        .withOption("seed", "seed of the service times")
                        .withOption("watch-event-ms", "interval between two events of a watch")
                        .withOption("leave-ms", "time from SIGTERM until new requests are refused")
                        .parse("backend", arguments);
        BackendLimits limits =
                new BackendLimits(
                        options.text("name", "backend"),
                        (int) options.number("slots", 8),
                        (int) options.number("queue", 4),
                        (int) options.number("connections", 64),
                        options.number("watch-event-ms", 1000));
        ServiceTimes serviceTimes =
                ServiceTimes.parse(
                        options.text("service-time", "lognormal:10:0.5"),
                        options.number("seed", 1));
        BackendHandler handler =
                new BackendHandler(limits, serviceTimes, StandInProcess::monotonicMillis);
        StandInServer server = StandInServer.start((int) options.number("port", 0), handler);
        handler.setServer(server);

        PlatformClient platform = new PlatformClient(options.text("platform", "127.0.0.1:1"));
        ObjectNode host = hostDescription(options, limits, server.address());
        long leaveMillis = options.number("leave-ms", 3000);
        StandInProcess.onStop(
                () -> {
                    handler.leave();
                    platform.register(limits.name(), host.deepCopy().put("state", "leaving"));
                    drain(handler, server, leaveMillis);
                    server.stop();
                });
        platform.registerWithRetry(limits.name(), host, server);
        StandInProcess.printReadyLine(limits.name(), server);
    }

    private static void drain(BackendHandler handler, StandInServer server, long leaveMillis) {
        CountDownLatch idle = new CountDownLatch(1);
        server.schedule(leaveMillis, handler::close);
        // The polling interval gives the last response time to reach the network.
        server.scheduleAtFixedRate(
                200,
                () -> {
                    if (handler.isClosed() && handler.isIdle()) {
                        idle.countDown();
                    }
                });
        try {
            if (!idle.await(leaveMillis + MAX_DRAIN_MILLIS, TimeUnit.MILLISECONDS)) {
                System.err.println("stopped with requests in flight");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static ObjectNode hostDescription(
            CommandLineOptions options, BackendLimits limits, String address) {
        return Json.object()
                .put("role", "backend")
                .put("dataCentre", options.text("data-centre", "dc"))
                .put("rack", options.text("rack", "rack-1"))
                .put("address", address)
                .put("state", "live")
                .put("service", options.text("service", "service"))
                .put("slots", limits.slots())
                .put("connections", limits.maxConnections());
    }
}
