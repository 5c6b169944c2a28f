package org.peridotcourse.daemon.dispatch;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.peridotcourse.daemon.entry.CallServer;
import org.peridotcourse.daemon.entry.CallSink;
import org.peridotcourse.daemon.entry.Caller;
import org.peridotcourse.daemon.entry.CallerResponse;
import org.peridotcourse.daemon.entry.IncomingCall;
import org.peridotcourse.daemon.entry.RequestIds;
import org.peridotcourse.daemon.http.PooledHttpClient;
import org.peridotcourse.daemon.ring.EventLoop;
import org.peridotcourse.dispatch.OwnerMetrics;
import org.peridotcourse.dispatch.OwnerTerm;

/**
 * One host of the job scheduler: serves callers and takes part in the election of the owner. It is
 * thread-safe; {@link #start} and {@link #stop} may be called once.
 */
public final class DispatchHost {
    private static final long SWEEP_PERIOD_MILLIS = 250;
    private static final int MAX_MONITORING_BODY_BYTES = 16 * 1024;
    private static final int MAX_INTERNAL_CONNECTIONS = 200;

    /** Time after which the load balancer sends no new connections to a host that is not ready. */
    private static final long BALANCER_DELAY_MILLIS = 2_300;

    /** Part of the stop time-out that is reserved for closing. */
    private static final long CLOSE_RESERVE_MILLIS = 1_200;

    /** Part of the reserve in which the last responses are sent to their callers. */
    private static final long FLUSH_TIMEOUT_MILLIS = 600;

    private static final long BUSY_POLL_MILLIS = 50;

    /** An owner whose loop lags by more than this for several samples releases the ownership. */
    private static final long MAX_OWNER_LAG_MILLIS = 250;

    private static final int MAX_LATE_SAMPLES = 6;
    private static final long LAG_PERIOD_MILLIS = 200;
    private static final long TAKEOVER_PAUSE_MILLIS = 6_000;
    private static final long OWNER_METRICS_PERIOD_MILLIS = 1_000;
    private static final String PROMETHEUS_CONTENT_TYPE = "text/plain; version=0.0.4";

    private final HostComponents components;
    private final EventLoop loop;
    private final HostSettings settings;
    private final HostDirectory directory;
    private final ConfigTracker config;
    private final OwnerElection election;
    private final CallHandler calls;
    private final PeerHostClient peerClient;
    private final RequestIds ids;
    private final long incarnation;
    private final List<CallServer> servers = new ArrayList<>();

    private Optional<OwnerSession> session = Optional.empty();
    private volatile boolean stopping;
    private volatile boolean configInstalled;
    private volatile OwnerMetrics ownerMetrics = OwnerMetrics.NONE;
    private int lateSamples;

    private DispatchHost(HostComponents components, PooledHttpClient http, long incarnation) {
        this.components = components;
        this.loop = components.loop();
        this.settings = components.settings();
        this.incarnation = incarnation;
        this.ids = new RequestIds(settings.name(), incarnation);
        this.peerClient =
                new PeerHostClient(http, settings.name(), components.format().operatorTable());
        this.directory =
                new HostDirectory(
                        loop, components.store(), components.log(), settings, incarnation);
        this.config =
                new ConfigTracker(
                        loop,
                        components.store(),
                        components.health(),
                        components.format(),
                        peerClient,
                        directory,
                        components.log());
        this.election =
                new OwnerElection(
                        loop,
                        components.store(),
                        components.health(),
                        directory,
                        components.log(),
                        new OwnershipListener());
        JobRequestHandler jobRequests = new JobRequestHandler(components, this::pendingJobs);
        this.calls =
                new CallHandler(components, config, jobRequests, peerClient, directory, election);
        config.onChange(this::onConfig);
        loop.onRound(() -> session.ifPresent(OwnerSession::step));
    }

    /**
     * Creates a host that is not started.
     *
     * @param components the components of the host
     * @param http calls other hosts
     * @param incarnation a number that no other run of this host has, larger than all before
     * @return the host
     */
    public static DispatchHost of(
            HostComponents components, PooledHttpClient http, long incarnation) {
        return new DispatchHost(components, http, incarnation);
    }

    /** Starts and stops the owner session as this host gains and loses the ownership. */
    private final class OwnershipListener implements OwnerElection.Listener {
        @Override
        public Optional<PendingCounts> pendingCounts() {
            return session.flatMap(OwnerSession::pendingCounts);
        }

        @Override
        public void onTaken(
                long epoch,
                long epochVersion,
                long earlierOwnersMayOrderUntil,
                Set<String> unsettledHolders) {
            components.metrics().recordOwnershipChange(true);
            OwnerTerm term =
                    new OwnerTerm(
                            epoch,
                            loop.nowMillis(),
                            earlierOwnersMayOrderUntil,
                            settings.limits().leaseTimes());
            EarlierOwnerTracker earlierOwners =
                    new EarlierOwnerTracker(
                            components,
                            directory,
                            peerClient,
                            term,
                            epochVersion,
                            unsettledHolders);
            OwnerSession newSession =
                    new OwnerSession(
                            components, election, config, earlierOwners, term, epochVersion);
            session = Optional.of(newSession);
            newSession.start();
        }

        @Override
        public void onLost(String reason) {
            components.metrics().recordOwnershipChange(false);
            session.ifPresent(
                    endedSession -> {
                        endedSession.stop();
                        components
                                .log()
                                .event(DispatchEvent.OWNER_LOST)
                                .with("epoch", endedSession.owner().term().epoch())
                                .with("reason", reason)
                                .write();
                    });
            session = Optional.empty();
        }
    }

    /**
     * Opens the ports and starts the event loop.
     *
     * @throws IOException if a port cannot be opened
     */
    public void start() throws IOException {
        long startedAt = loop.nowMillis();
        open(
                settings.callerAddress(),
                settings.limits().maxBodyBytes(),
                settings.limits().maxConnections(),
                calls);
        open(
                settings.peerAddress(),
                settings.limits().maxBodyBytes(),
                MAX_INTERNAL_CONNECTIONS,
                this::servePeer);
        open(
                settings.readinessAddress(),
                MAX_MONITORING_BODY_BYTES,
                MAX_INTERNAL_CONNECTIONS,
                this::serveReadiness);
        if (settings.metricsAddress().isPresent()) {
            open(
                    settings.metricsAddress().get(),
                    MAX_MONITORING_BODY_BYTES,
                    MAX_INTERNAL_CONNECTIONS,
                    this::serveMetrics);
        }
        addGauges();
        loop.start();
        loop.post(
                () -> {
                    config.start();
                    directory.start();
                    election.start();
                    new OwnershipHandover(loop, election, directory, peerClient, components.log())
                            .start();
                    loop.scheduleRepeating(
                            SWEEP_PERIOD_MILLIS, () -> servers.forEach(CallServer::sweep));
                    loop.scheduleRepeating(LAG_PERIOD_MILLIS, this::checkLag);
                    loop.scheduleRepeating(OWNER_METRICS_PERIOD_MILLIS, this::refreshOwnerMetrics);
                });
        components
                .log()
                .event(DispatchEvent.STARTED)
                .with("host", settings.name())
                .with("dataCentre", settings.dataCentre())
                .with("callers", settings.callerAddress())
                .with("peers", settings.peerAddress())
                .with("incarnation", incarnation)
                .with("millis", loop.nowMillis() - startedAt)
                .write();
    }

    /**
     * Stops the host: reports not ready, releases the ownership, answers calls, closes connections.
     */
    public void stop() {
        long startedAt = loop.nowMillis();
        long deadline = startedAt + settings.limits().stopTimeoutMillis() - CLOSE_RESERVE_MILLIS;
        stopping = true;
        CountDownLatch released = new CountDownLatch(1);
        loop.post(
                () -> {
                    components
                            .log()
                            .event(DispatchEvent.STOPPING)
                            .with("host", settings.name())
                            .with("owner", election.isOwner())
                            .write();
                    election.release(true, Long.MAX_VALUE);
                    released.countDown();
                });
        awaitRelease(released);
        pauseUntil(startedAt + BALANCER_DELAY_MILLIS);
        servers.forEach(CallServer::closeConnections);
        pauseWhileBusy(deadline);
        loop.post(calls::stop);
        pauseWhileBusy(loop.nowMillis() + FLUSH_TIMEOUT_MILLIS);
        servers.forEach(CallServer::close);
        loop.close();
        components
                .log()
                .event(DispatchEvent.STOPPED)
                .with("host", settings.name())
                .with("millis", loop.nowMillis() - startedAt)
                .write();
    }

    private void pauseWhileBusy(long deadline) {
        while (loop.nowMillis() < deadline && isBusy()) {
            pauseUntil(loop.nowMillis() + BUSY_POLL_MILLIS);
        }
    }

    private boolean isBusy() {
        int open = 0;
        for (CallServer server : servers) {
            open += server.closeIdle();
        }
        return open > 0 || calls.activeCallCount() > 0;
    }

    private static void awaitRelease(CountDownLatch latch) {
        try {
            latch.await(BALANCER_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void pauseUntil(long deadline) {
        for (long remaining = deadline - loop.nowMillis();
                remaining > 0;
                remaining = deadline - loop.nowMillis()) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(remaining));
        }
    }

    private void open(InetSocketAddress address, int maxBody, int maxConnections, CallSink sink)
            throws IOException {
        servers.add(CallServer.open(address, maxBody, maxConnections, ids, loop::nowMillis, sink));
    }

    private boolean servePeer(IncomingCall call, Caller caller) {
        if (call.path().equals(PeerHostClient.CONFIG_PATH)) {
            return loop.offer(
                    () -> PeerHostClient.serveConfig(config, call, caller, loop.nowMillis()));
        }
        if (call.path().equals(PeerHostClient.ACCEPTS_OWNERSHIP_PATH)) {
            return loop.offer(
                    () ->
                            PeerHostClient.serveAcceptsOwnership(
                                    election.acceptsOwnership(loop.nowMillis()), caller));
        }
        if (call.path().equals(PeerHostClient.STAND_DOWN_PATH)) {
            return loop.offer(() -> PeerHostClient.serveStandDown(election, call, caller));
        }
        return calls.submit(call, caller);
    }

    private boolean serveReadiness(IncomingCall call, Caller caller) {
        caller.respond(components.format().readiness(!stopping && configInstalled));
        return true;
    }

    private boolean serveMetrics(IncomingCall call, Caller caller) {
        byte[] body = components.metrics().toText().getBytes(StandardCharsets.UTF_8);
        caller.respond(
                new CallerResponse(
                        200, List.of(Map.entry("Content-Type", PROMETHEUS_CONTENT_TYPE)), body));
        return true;
    }

    private void onConfig() {
        configInstalled = config.config().isLoaded();
        session.ifPresent(OwnerSession::onConfig);
    }

    private OptionalInt pendingJobs(String queue) {
        Optional<PendingCounts> counts =
                session.flatMap(OwnerSession::pendingCounts)
                        .or(() -> election.recentCounts(loop.nowMillis()));
        return counts.map(pending -> OptionalInt.of(pending.of(queue)))
                .orElseGet(OptionalInt::empty);
    }

    /** Releases the ownership if the event loop lags, since a slow host delays all decisions. */
    private void checkLag() {
        lateSamples = loop.lagMillis() > MAX_OWNER_LAG_MILLIS ? lateSamples + 1 : 0;
        if (lateSamples >= MAX_LATE_SAMPLES && election.isOwner()) {
            lateSamples = 0;
            election.release(false, loop.nowMillis() + TAKEOVER_PAUSE_MILLIS);
        }
    }

    private void addGauges() {
        DispatchMetrics metrics = components.metrics();
        metrics.gauge("peridot_config_version", () -> config.config().version());
        metrics.gauge(
                "peridot_config_age_millis", () -> config.configAge().ageMillis(loop.nowMillis()));
        metrics.gauge("peridot_owner", () -> election.isOwner() ? 1 : 0);
        metrics.gauge("peridot_store_away", () -> components.health().isUnavailable() ? 1 : 0);
        metrics.gauge("peridot_loop_lag_millis", loop::lagMillis);
        metrics.gauge("peridot_calls_outstanding", calls::activeCallCount);
        metrics.gauge("peridot_waiting_tasks", () -> ownerMetrics().waitingTasks());
        metrics.gauge("peridot_active_jobs", () -> ownerMetrics().activeJobs());
        metrics.gauge("peridot_active_runs", () -> ownerMetrics().activeRuns());
        metrics.gauge("peridot_usable_workers", () -> ownerMetrics().usableWorkers());
        metrics.gauge("peridot_known_workers", () -> ownerMetrics().knownWorkers());
        metrics.gauge("peridot_customers_at_limit", () -> ownerMetrics().customersAtLimit());
        metrics.gauge("peridot_order_window", () -> ownerMetrics().orderWindow());
        metrics.gauge("peridot_orders_outstanding", () -> ownerMetrics().outstandingOrders());
        metrics.gauge("peridot_used_share", () -> ownerMetrics().usedShare());
    }

    private OwnerMetrics ownerMetrics() {
        return ownerMetrics;
    }

    /** Publishes the metrics of the owner, since gauges are read on other threads. */
    private void refreshOwnerMetrics() {
        ownerMetrics = session.map(OwnerSession::metrics).orElse(OwnerMetrics.NONE);
    }
}
