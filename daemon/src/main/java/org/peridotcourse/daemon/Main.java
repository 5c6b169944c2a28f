package org.peridotcourse.daemon;

import java.io.IOException;
import java.nio.file.Path;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.peridotcourse.Result;
import org.peridotcourse.daemon.log.DecisionRing;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.settings.SettingFault;
import org.peridotcourse.daemon.settings.SettingFaults;
import org.peridotcourse.daemon.settings.Settings;
import org.peridotcourse.daemon.settings.SettingsReader;

/**
 * Starts the daemon from a settings file and stops it on SIGTERM.
 *
 * <p>Exit codes: 0 after a stop, 1 if the start failed, 2 for wrong arguments or settings.
 */
public final class Main {
    private static final String LOG_FORMAT_KEY = "java.util.logging.SimpleFormatter.format";
    private static final String LOG_FORMAT = "%1$tFT%1$tT.%1$tL %4$s %5$s%n";

    private static final String LOG_MANAGER_KEY = "java.util.logging.manager";

    /**
     * A strong reference: the log manager holds loggers weakly, so the level would be lost when the
     * logger is garbage collected.
     */
    private static Logger grizzlyLogger;

    private Main() {}

    /**
     * Runs the daemon until SIGTERM.
     *
     * @param arguments the path of the settings file
     */
    public static void main(String... arguments) {
        if (System.getProperty(LOG_FORMAT_KEY) == null) {
            System.setProperty(LOG_FORMAT_KEY, LOG_FORMAT);
        }
        if (System.getProperty(LOG_MANAGER_KEY) == null) {
            System.setProperty(LOG_MANAGER_KEY, NonResettingLogManager.class.getName());
        }
        grizzlyLogger = Logger.getLogger("org.glassfish.grizzly");
        grizzlyLogger.setLevel(Level.WARNING);
        EventLog log = new EventLog(System.getLogger("org.peridotcourse"), new DecisionRing(1));
        if (arguments.length != 1) {
            System.err.println("usage: peridotd SETTINGS.ini");
            exit(2);
            return;
        }
        Result<Settings> settings = SettingsReader.read(Path.of(arguments[0]));
        if (!(settings instanceof Result.Ok<Settings> ok)) {
            SettingFaults faults = (SettingFaults) settings.failure().orElseThrow();
            for (SettingFault fault : faults.faults()) {
                log.event(ProcessEvent.SETTINGS_REFUSED).with("fault", fault.toLine()).write();
            }
            exit(2);
            return;
        }
        try {
            Daemon daemon = Daemon.start(ok.value(), System.currentTimeMillis());
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon), "stop"));
        } catch (IOException failed) {
            log.event(ProcessEvent.START_FAILED).with("fault", failed).write();
            exit(1);
        }
    }

    private static void stop(Daemon daemon) {
        daemon.stop();
        exit(0);
    }

    /** Ends the process at once. Without {@code halt}, the exit code after SIGTERM would be 143. */
    private static void exit(int code) {
        System.err.flush();
        Runtime.getRuntime().halt(code);
    }
}
