package org.peridotcourse.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import org.apache.thrift.transport.TTransportException;
import org.peridotcourse.daemon.admin.AdminServer;
import org.peridotcourse.daemon.admin.AdminSource;
import org.peridotcourse.daemon.control.DutyThread;
import org.peridotcourse.daemon.entry.EntryDependencies;
import org.peridotcourse.daemon.entry.EntryService;
import org.peridotcourse.daemon.http.ChannelFactory;
import org.peridotcourse.daemon.log.DecisionRing;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.metrics.DaemonMetrics;
import org.peridotcourse.daemon.platform.HttpObjectStore;
import org.peridotcourse.daemon.settings.SettingKey;
import org.peridotcourse.daemon.settings.Settings;
import org.peridotcourse.routing.RoutingSettings;

/**
 * The daemon: entry service, control duties and admin server, with an orderly stop. It is
 * thread-safe; {@link #stop} may be called once.
 */
public final class Daemon implements AdminSource {
    private static final int DECISION_CAPACITY = 4_096;
    private static final long STOP_POLL_MILLIS = 20;

    /** Part of the stop time-out that is reserved for closing after the wait for requests. */
    private static final long CLOSE_RESERVE_MILLIS = 500;

    private final Settings settings;
    private final LongSupplier clock = DutyThread::monotonicMillis;
    private final DaemonMetrics metrics = new DaemonMetrics(clock);
    private final EventLog log;
    private final ChannelFactory channels;
    private final ControlServices control;
    private final EntryService entry;
    private final HttpObjectStore objects;
    private final AdminServer admin;

    private volatile boolean stopping;

    private Daemon(Settings settings, long incarnation) throws IOException, TTransportException {
        this.settings = settings;
        this.log =
                new EventLog(
                        System.getLogger("org.peridotcourse"), new DecisionRing(DECISION_CAPACITY));
        this.channels = new ChannelFactory(settings.number(SettingKey.MAX_ANSWER));
        this.control = new ControlServices(settings, channels, incarnation, clock, log);
        this.objects =
                new HttpObjectStore(
                        channels,
                        settings.address(SettingKey.PLATFORM_ADDRESS),
                        settings.millis(SettingKey.PLATFORM_TIMEOUT),
                        log);
        this.entry =
                EntryService.of(
                        settings,
                        RoutingSettings.defaults(),
                        new EntryDependencies(
                                channels,
                                control.openTableStore(),
                                objects,
                                metrics,
                                log,
                                clock,
                                incarnation),
                        backend ->
                                control.membership().onLeavingHeader(clock.getAsLong(), backend));
        this.admin = new AdminServer(settings.address(SettingKey.ADMIN_ADDRESS), this);
        metrics.gauge("peridot_config_version", () -> control.config().snapshot().version());
        metrics.gauge(
                "peridot_config_age_millis", () -> control.config().ageMillis(clock.getAsLong()));
        metrics.gauge("peridot_acceptor", () -> control.leaseEpoch().isPresent() ? 1 : 0);
        metrics.gauge("peridot_ready", () -> isReady() ? 1 : 0);
    }

    /**
     * Starts a daemon.
     *
     * @param settings the settings
     * @param incarnation a number that identifies this run, larger than that of all earlier runs of
     *     this daemon
     * @return the running daemon
     * @throws IOException if a port cannot be opened
     */
    public static Daemon start(Settings settings, long incarnation) throws IOException {
        try {
            Daemon daemon = new Daemon(settings, incarnation);
            daemon.entry.start();
            daemon.control.start(daemon.entry.router(), daemon.entryAddress());
            daemon.admin.start();
            daemon.log
                    .event(ProcessEvent.STARTED)
                    .with("daemon", settings.text(SettingKey.DAEMON_NAME))
                    .with("dataCentre", settings.text(SettingKey.DATA_CENTRE))
                    .with("entry", daemon.entryAddress())
                    .with("admin", daemon.adminAddress())
                    .with("peer", daemon.control.peerAddress())
                    .write();
            return daemon;
        } catch (TTransportException failed) {
            throw new IOException("the peer port cannot be opened: " + failed.getMessage(), failed);
        }
    }

    /**
     * Returns the address for callers.
     *
     * @return the address with its actual port
     */
    public InetSocketAddress entryAddress() {
        return new InetSocketAddress(
                settings.address(SettingKey.ENTRY_ADDRESS).getAddress(), entry.port());
    }

    /**
     * Returns the address for operators.
     *
     * @return the address with its actual port
     */
    public InetSocketAddress adminAddress() {
        return new InetSocketAddress(
                settings.address(SettingKey.ADMIN_ADDRESS).getAddress(), admin.port());
    }

    @Override
    public boolean isReady() {
        return !stopping && control.config().snapshot().version() > 0;
    }

    @Override
    public String metrics() {
        return metrics.toPrometheusText();
    }

    @Override
    public JsonNode status() {
        return StatusPage.of(settings, control, entry, stopping, clock.getAsLong());
    }

    @Override
    public List<String> explain(String subject) {
        return log.decisions().linesAbout(subject);
    }

    /**
     * Stops the daemon: reports not ready, waits for the load balancer, closes the entry port,
     * releases leases, waits for pending requests and closes everything. The waits end before the
     * stop time-out, with a reserve for closing.
     */
    public void stop() {
        long start = clock.getAsLong();
        long deadline = start + settings.millis(SettingKey.STOP_TIMEOUT) - CLOSE_RESERVE_MILLIS;
        stopping = true;
        log.event(ProcessEvent.STOPPING).with("held", entry.pending()).write();
        entry.prepareStop();
        waitUntil(Math.min(deadline, start + settings.millis(SettingKey.BALANCER_DELAY)));
        runStep("close-port", entry::closePort);
        runStep("release-leases", control::releaseLeases);
        while (clock.getAsLong() < deadline && (entry.closeIdle() > 0 || entry.pending() > 0)) {
            waitUntil(clock.getAsLong() + STOP_POLL_MILLIS);
        }
        int unfinished = entry.pending();
        runStep("close-entry", entry::close);
        runStep("close-control", control::close);
        runStep("close-admin", admin::close);
        runStep("close-objects", objects::close);
        runStep("close-channels", channels::close);
        log.event(ProcessEvent.STOPPED)
                .with("held", unfinished)
                .with("millis", clock.getAsLong() - start)
                .write();
    }

    private void waitUntil(long millis) {
        for (long left = millis - clock.getAsLong(); left > 0; left = millis - clock.getAsLong()) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(left));
        }
    }

    /** A step of the stop, which may throw. */
    @FunctionalInterface
    private interface Step {
        void run() throws Exception;
    }

    private void runStep(String name, Step step) {
        try {
            step.run();
        } catch (Exception failed) {
            log.event(ProcessEvent.STOP_STEP_FAILED)
                    .with("step", name)
                    .with("fault", failed)
                    .write();
        }
    }
}
