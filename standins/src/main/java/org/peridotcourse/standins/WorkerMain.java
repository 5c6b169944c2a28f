package org.peridotcourse.standins;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.function.LongSupplier;
import org.peridotcourse.Resources;

/**
 * Stand-in for a worker. Tasks make progress over time without using the processor.
 *
 * <p>It registers itself in the platform's host list and leaves it on SIGTERM. The options are in
 * {@link #main}.
 */
public final class WorkerMain {
    private WorkerMain() {}

    /**
     * Runs the stand-in until SIGTERM.
     *
     * @param arguments the options
     * @throws IOException if the port is taken
     */
    public static void main(String... arguments) throws IOException {
        CommandLineOptions options =
                new CommandLineOptions()
                        .with("port", "port on 127.0.0.1, 0 for a free one")
                        .with("name", "name of the worker")
                        .with("platform", "address of the platform")
                        .with("data-centre", "data centre of the worker")
                        .with("rack", "rack of the worker")
                        .with("milli-cores", "capacity in thousandths of a core")
                        .with("memory-mib", "capacity in MiB")
                        .with("accelerators", "capacity in accelerators")
                        .with("usage-lag-ms", "delay of usage reports")
                        .with("clock-offset-ms", "reading of the worker's clock at its start")
                        .parse("worker", arguments);
        Resources capacity =
                Resources.of(
                        options.number("milli-cores", 16_000),
                        options.number("memory-mib", 61_440),
                        options.number("accelerators", 0));
        long begin = StandInProcess.monotonicMillis() - options.number("clock-offset-ms", 0);
        LongSupplier clock = () -> StandInProcess.monotonicMillis() - begin;
        WorkerState state = new WorkerState(capacity, options.number("usage-lag-ms", 2000));
        PlatformLink platform = new PlatformLink(options.text("platform", "127.0.0.1:1"));
        StandInServer server =
                StandInServer.start(
                        (int) options.number("port", 0), new WorkerHandler(state, platform, clock));
        server.every(20, () -> state.advance(clock.getAsLong()));
        server.every(500, () -> state.measure(clock.getAsLong()));

        String name = options.text("name", "worker");
        ObjectNode host = host(options, capacity, server.address());
        StandInProcess.onStop(
                () -> {
                    platform.register(name, host.deepCopy().put("state", "leaving"));
                    state.stopAll(clock.getAsLong());
                    server.stop();
                });
        platform.keepRegistering(name, host, server);
        StandInProcess.ready(name, server);
    }

    private static ObjectNode host(CommandLineOptions options, Resources capacity, String address) {
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
