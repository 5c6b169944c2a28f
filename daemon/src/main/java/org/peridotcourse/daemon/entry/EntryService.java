package org.peridotcourse.daemon.entry;

import java.io.IOException;
import java.util.Random;
import java.util.function.Consumer;
import org.peridotcourse.BackendId;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.daemon.settings.SettingKey;
import org.peridotcourse.daemon.settings.Settings;
import org.peridotcourse.routing.RequestRouter;
import org.peridotcourse.routing.RoutingSettings;

/**
 * Serves callers, with an HTTP server, a router thread, a request key thread and a job thread.
 *
 * <p>To stop, call in this order: {@link #prepareStop}, {@link #closePort}, {@link #closeIdle}
 * until {@link #pending} is 0, {@link #close}. It is thread-safe.
 */
public final class EntryService implements AutoCloseable {
    private final EntryServer server;
    private final RouterThread router;
    private final RequestKeyThread keys;
    private final JobThread jobs;

    private EntryService(
            EntryServer server, RouterThread router, RequestKeyThread keys, JobThread jobs) {
        this.server = server;
        this.router = router;
        this.keys = keys;
        this.jobs = jobs;
    }

    /**
     * Creates a service that is not started.
     *
     * @param settings the settings
     * @param routing limits and policies of routing
     * @param dependencies the dependencies of the service
     * @param leavingListener is notified of backend servers that announce that they leave, on the
     *     router thread
     * @return the service
     */
    public static EntryService of(
            Settings settings,
            RoutingSettings routing,
            EntryDependencies dependencies,
            Consumer<BackendId> leavingListener) {
        String name = settings.text(SettingKey.DAEMON_NAME);
        RequestIds requestIds = new RequestIds(name, dependencies.incarnation());
        RequestIds transactionIds = new RequestIds(name + "-entry", dependencies.incarnation());
        EntryMetrics metrics = new EntryMetrics(dependencies.metrics());
        RequestKeyThread keys =
                new RequestKeyThread(
                        new RequestKeyThread.Options(
                                name,
                                transactionIds,
                                settings.millis(SettingKey.CLAIM_INTERVAL),
                                settings.number(SettingKey.KEY_RING_CAPACITY)),
                        dependencies.store(),
                        dependencies.objects(),
                        dependencies.clock(),
                        dependencies.log());
        RouterThread router =
                new RouterThread(
                        new RequestRouter(
                                DataCentreId.of(settings.text(SettingKey.DATA_CENTRE)),
                                settings.text(SettingKey.REGION),
                                routing,
                                new Random(dependencies.incarnation())),
                        dependencies.channels(),
                        keys,
                        new RouterThread.Options(
                                settings.millis(SettingKey.WATCH_SEGMENT),
                                settings.number(SettingKey.RING_CAPACITY)),
                        dependencies.clock(),
                        metrics,
                        dependencies.log(),
                        leavingListener);
        keys.setListener(router::onClaimResult);
        JobThread jobs =
                new JobThread(
                        dependencies.store(),
                        transactionIds,
                        customer -> router.view().customers().contains(customer),
                        dependencies.clock(),
                        dependencies.log());
        EntryServer server = server(settings, requestIds, router, jobs, dependencies);
        router.setSweepAction(() -> sweep(server, metrics, dependencies));
        EntryService service = new EntryService(server, router, keys, jobs);
        service.registerGauges(dependencies);
        return service;
    }

    private static EntryServer server(
            Settings settings,
            RequestIds requestIds,
            RouterThread router,
            JobThread jobs,
            EntryDependencies dependencies) {
        EntryHandler.Limits limits =
                new EntryHandler.Limits(
                        settings.number(SettingKey.MAX_HEAD),
                        settings.number(SettingKey.MAX_BODY),
                        settings.number(SettingKey.MAX_CONNECTIONS),
                        settings.millis(SettingKey.READ_TIMEOUT));
        BodyBudget budget = new BodyBudget(settings.number(SettingKey.MAX_BUFFERED));
        router.setBodyBudget(budget);
        dependencies.metrics().gauge("peridot_buffered_bytes", budget::usedBytes);
        EntryHandler handler =
                new EntryHandler(requestIds, router, jobs, budget, dependencies.clock());
        return new EntryServer(
                settings.address(SettingKey.ENTRY_ADDRESS),
                handler,
                limits,
                budget,
                requestIds,
                dependencies.clock());
    }

    /**
     * Returns the router thread, which receives updates of customers and backend servers.
     *
     * @return the router thread
     */
    public RouterThread router() {
        return router;
    }

    /**
     * Returns the port for callers.
     *
     * @return the port
     */
    public int port() {
        return server.port();
    }

    /**
     * Returns the number of connections of callers.
     *
     * @return the number
     */
    public int callerConnections() {
        return server.connections();
    }

    /**
     * Returns the number of requests, jobs and writes that are not finished.
     *
     * @return the number
     */
    public int pending() {
        return router.pendingCount() + router.ringSize() + keys.pending() + jobs.pending();
    }

    /** Returns the bytes of requests and responses in memory. */
    long bufferedBytes() {
        return server.bufferedBytes();
    }

    /**
     * Starts the threads and opens the port.
     *
     * @throws IOException if the port cannot be opened
     */
    public void start() throws IOException {
        keys.start();
        jobs.start();
        router.start();
        server.start();
    }

    /**
     * Adds {@code Connection: close} to the responses to all later requests, and shortens their
     * watch segments.
     */
    public void prepareStop() {
        server.closeConnections();
        router.prepareStop();
    }

    /**
     * Refuses new connections.
     *
     * @throws IOException if the port cannot be closed
     */
    public void closePort() throws IOException {
        server.closePort();
    }

    /**
     * Closes idle connections of callers.
     *
     * @return the number of connections that remain
     */
    public int closeIdle() {
        return server.closeIdle();
    }

    @Override
    public void close() {
        server.close();
        router.close();
        jobs.close();
        keys.close();
    }

    private void registerGauges(EntryDependencies dependencies) {
        dependencies.metrics().gauge("peridot_requests_held", router::pendingCount);
        dependencies.metrics().gauge("peridot_router_ring", router::ringSize);
        dependencies.metrics().gauge("peridot_backend_connections", router::connections);
        dependencies.metrics().gauge("peridot_caller_connections", server::connections);
        dependencies.metrics().gauge("peridot_key_writes_pending", keys::pending);
        dependencies.metrics().gauge("peridot_jobs_pending", jobs::pending);
        dependencies.metrics().gauge("peridot_store_away", () -> keys.isStoreUnavailable() ? 1 : 0);
    }

    private static void sweep(
            EntryServer server, EntryMetrics metrics, EntryDependencies dependencies) {
        int slow = server.sweep();
        if (slow > 0) {
            metrics.countSlowCallers(slow);
            dependencies.log().event(RequestEvent.CALLER_SLOW).with("count", slow).write();
        }
    }
}
