import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/** One process of the system, started with the command of the deploy file. */
final class Host {
    private static final int FRONTEND = 8161;
    private static final int READINESS = 8167;
    private static final int CONTROL = 8166;

    final int number;
    final String zone;
    final String ip;
    private final Path settings;
    private final Path log;
    private final List<String> command;
    private Process process;

    Host(int number, String zone, String ip, String storeAddress, Path folder, Path deployFile)
            throws IOException {
        this.number = number;
        this.zone = zone;
        this.ip = ip;
        this.settings = folder.resolve("host-" + number + ".toml");
        this.log = folder.resolve("host-" + number + ".log");
        String run =
                Files.readAllLines(deployFile).stream()
                        .filter(line -> line.startsWith("run = "))
                        .findFirst()
                        .orElseThrow();
        this.command =
                Arrays.asList(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" "));
        Files.writeString(settings, text(storeAddress));
    }

    /** Settings like those of DEPLOY.md, with the bounds of the site rutas-flipper. */
    private String text(String storeAddress) {
        return String.format(
                Locale.ROOT,
                "node_name = \"edge-%1$s-%2$d\"%n"
                        + "role = \"host\"%nmachine_class = \"edge\"%n"
                        + "serves = [\"edge\",\"control\"]%n"
                        + "ip = \"%3$s\"%nzone = \"%1$s\"%nregion = \"altiplano\"%n"
                        + "seeds = []%nbootstrap = true%nheartbeat_ms = 1500%n"
                        + "commands = \"invocation\"%n"
                        + "[listen_addrs]%nfrontend = \"%3$s:%5$d\"%n"
                        + "readiness = \"%3$s:%6$d\"%ncontrol_plane = \"%3$s:%7$d\"%n"
                        + "[limits]%ncpu_share = 1.0%ncores = 1%nmemory_mb = 430%n"
                        + "max_fds = 4100%n"
                        + "[bounds]%ncontact_ms = 3000%ngrace_s = 6%nconfig_apply_ms = 2500%n"
                        + "hold_max_ms = 6000%nstop_ms = 200%ngang_timeout_ms = 3000%n"
                        + "cancel_ms = 3000%nvisible_ms = 3000%nfinish_s = 14%nstatus_s = 120%n"
                        + "[platform]%naddress = \"%4$s\"%nform = \"table\"%n"
                        + "writes_per_s = 600%nreads_per_s = 2000%nrow_bytes = 65536%n",
                zone,
                number,
                ip,
                storeAddress,
                FRONTEND,
                READINESS,
                CONTROL);
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("PERIDOTCOURSE_SETTINGS", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.redirectInput(new File("/dev/null"));
        process = builder.start();
    }

    /** SIGKILL. */
    void kill() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    String frontend() {
        return ip + ":" + FRONTEND;
    }

    String readiness() {
        return ip + ":" + READINESS;
    }

    InetSocketAddress control() {
        return new InetSocketAddress(ip, CONTROL);
    }
}
