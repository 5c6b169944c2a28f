import java.io.File;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process of the project, started with the command of its deploy file. */
final class Host2 {
    final String name;
    final int frontend;
    private final int readiness;
    final int controlPlane;
    private final Path folder;
    private final Path settings;
    private Process process;

    Host2(Path folder, String name, String zone, Store2 store, List<Integer> seeds)
            throws IOException {
        this.folder = folder;
        this.name = name;
        frontend = freePort();
        readiness = freePort();
        controlPlane = freePort();
        settings = folder.resolve(name + ".toml");
        StringBuilder seedList = new StringBuilder();
        for (int seed : seeds) {
            seedList.append(seedList.length() == 0 ? "" : ",").append("\"127.0.0.1:" + seed + "\"");
        }
        Files.writeString(
                settings,
                String.join(
                        "\n",
                        "node_name = \"" + name + "\"",
                        "role = \"host\"",
                        "machine_class = \"edge\"",
                        "serves = [\"edge\",\"control\"]",
                        "ip = \"127.0.0.1\"",
                        "zone = \"" + zone + "\"",
                        "region = \"one\"",
                        "seeds = [" + seedList + "]",
                        "bootstrap = true",
                        "heartbeat_ms = 1500",
                        "commands = \"invocation\"",
                        "[listen_addrs]",
                        "frontend = \"127.0.0.1:" + frontend + "\"",
                        "readiness = \"127.0.0.1:" + readiness + "\"",
                        "control_plane = \"127.0.0.1:" + controlPlane + "\"",
                        "[limits]",
                        "cpu_share = 0.3",
                        "cores = 1",
                        "memory_mb = 430",
                        "max_fds = 4100",
                        "[bounds]",
                        "grace_s = 6",
                        "hold_max_ms = 6000",
                        "status_s = 120",
                        "[platform]",
                        "address = \"" + store.address() + "\"",
                        "form = \"table\"",
                        "row_bytes = 65536",
                        ""));
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    void start() throws IOException {
        String run = "";
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        List<String> words = new ArrayList<>(List.of(run.split(" ")));
        int port = words.indexOf("--metrics-port");
        if (port >= 0) {
            words.set(port + 1, Integer.toString(freePort()));
        }
        ProcessBuilder builder = new ProcessBuilder(words);
        builder.environment().put("PERIDOTCOURSE_SETTINGS", settings.toString());
        File log = folder.resolve(name + ".log").toFile();
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        process = builder.start();
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    int exitCode() {
        return process.isAlive() ? -1 : process.exitValue();
    }

    void kill() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly();
            process.waitFor(5, TimeUnit.SECONDS);
        }
    }

    void terminate() {
        process.destroy();
    }
}
