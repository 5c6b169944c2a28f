package org.peridotcourse.standins;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.function.LongSupplier;
import org.peridotcourse.Resources;

/**
 * Stand-in for a worker. The progress of tasks is simulated; they use no processor time.
 *
 * <p>It registers itself in the platform's host list and marks itself as leaving on SIGTERM. The
 * options are defined in {@link #main}.
 */
public final class WorkerMain {
    private WorkerMain() {}

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
                        .withOption("name", "name of the worker")
                        .withOption("platform", "address of the platform")
                        .withOption("data-centre", "data centre of the worker")
                        .withOption("rack", "rack of the worker")
                        .withOption("milli-cores", "processor capacity in thousandths of a core")
                        .withOption("memory-mib", "memory capacity in MiB")
                        .withOption("accelerators", "number of accelerators")
                        .withOption("usage-lag-ms", "delay of usage reports")
                        .withOption("clock-offset-ms", "initial value of the worker's clock")
                        .parse("worker", arguments);
        Resources capacity =
                Resources.of(
                        options.number("milli-cores", 16_000),
                        options.number("memory-mib", 61_440),
                        options.number("accelerators", 0));
        long clockOriginMillis =
                StandInProcess.monotonicMillis() - options.number("clock-offset-ms", 0);
        LongSupplier clock = () -> StandInProcess.monotonicMillis() - clockOriginMillis;
        WorkerState state = new WorkerState(capacity, options.number("usage-lag-ms", 2000));
        PlatformClient platform = new PlatformClient(options.text("platform", "127.0.0.1:1"));
        StandInServer server =
                StandInServer.start(
                        (int) options.number("port", 0), new WorkerHandler(state, platform, clock));
        server.scheduleAtFixedRate(20, () -> state.advance(clock.getAsLong()));
        server.scheduleAtFixedRate(500, () -> state.measure(clock.getAsLong()));

        String name = options.text("name", "worker");
        ObjectNode host = hostDescription(options, capacity, server.address());
        StandInProcess.onStop(
                () -> {
                    platform.register(name, host.deepCopy().put("state", "leaving"));
                    state.stopAll(clock.getAsLong());
                    server.stop();
                });
        platform.registerWithRetry(name, host, server);
        StandInProcess.printReadyLine(name, server);
    }

    private static ObjectNode hostDescription(
            CommandLineOptions options, Resources capacity, String address) {
        return Json.object()
                .put("role", "worker")
                .put("dataCentre", options.text("data-centre", "dc"))
                .put("rack", options.text("rack", "rack-1"))
                .put("address", address)
                .put("state", "live")
                .put("milliCores", capacity.milliCores())
                .put("memoryMiB", capacity.memoryMib())
                .put("accelerators", capacity.accelerators());
    }
}
