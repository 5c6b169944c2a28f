package org.peridotcourse.daemon.entry;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.peridotcourse.BackendId;
import org.peridotcourse.Failure;
import org.peridotcourse.daemon.ProcessEvent;
import org.peridotcourse.daemon.http.ChannelFactory;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.ring.EventRing;
import org.peridotcourse.routing.BackendInfo;
import org.peridotcourse.routing.ClaimResult;
import org.peridotcourse.routing.CustomerInfo;
import org.peridotcourse.routing.EntryHosts;
import org.peridotcourse.routing.NotRunReason;
import org.peridotcourse.routing.RequestKind;
import org.peridotcourse.routing.RequestRouter;
import org.peridotcourse.routing.RoutingAction;

/**
 * The thread that owns the router: it takes events from a bounded ring, passes them to the router
 * and executes the resulting actions.
 *
 * <p>Public methods are thread-safe; everything else happens on the one thread.
 */
public final class RouterThread implements RequestSink, AutoCloseable {
    private static final int MAX_EVENTS_PER_TICK = 256;
    private static final long MAX_TICK_INTERVAL_BUSY_MILLIS = 10;
    private static final long MAX_TICK_INTERVAL_IDLE_MILLIS = 50;
    private static final long SWEEP_INTERVAL_MILLIS = 100;

    /** Maximum watch segment of a stopping daemon, so that the stop does not take long. */
    private static final long STOPPING_SEGMENT_MILLIS = 1_000;

    private final RequestRouter router;
    private final RoutingActionExecutor actions;
    private final EventRing<Runnable> ring;
    private final ArrayDeque<Runnable> localEvents = new ArrayDeque<>();
    private final Map<String, PendingRequest> pendingRequests = new HashMap<>();
    private final BackendConnections backendConnections;
    private final Options options;
    private final LongSupplier clock;
    private final EntryMetrics metrics;
    private final EventLog log;
    private final Thread thread;

    private volatile boolean running = true;
    private volatile boolean stopping;
    private volatile int pendingCount;
    private volatile int connectionCount;
    private volatile EntryView view = EntryView.EMPTY;
    private volatile BooleanSupplier isMemoryExhausted = () -> false;
    private volatile Runnable sweepAction = () -> {};
    private long nextSweepMillis;

    RouterThread(
            RequestRouter router,
            ChannelFactory channels,
            RequestKeyStore keys,
            Options options,
            LongSupplier clock,
            EntryMetrics metrics,
            EventLog log,
            Consumer<BackendId> leavingListener) {
        this.router = router;
        this.ring = new EventRing<>(options.ringCapacity());
        this.options = options;
        this.clock = clock;
        this.metrics = metrics;
        this.log = log;
        this.actions = new RoutingActionExecutor(this, router, keys, metrics, log, leavingListener);
        this.backendConnections = new BackendConnections(channels, this::post, actions);
        this.thread = new Thread(this::loop, "router");
    }

    /**
     * Options of the thread.
     *
     * @param maxSegmentMillis the maximum segment of a watch
     * @param ringCapacity the maximum number of queued events
     */
    record Options(long maxSegmentMillis, int ringCapacity) {}

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /**
     * Returns the number of requests without a final response.
     *
     * @return the number of requests, without those in the ring
     */
    public int pendingCount() {
        return pendingCount;
    }

    /**
     * Returns the number of connections to backend servers.
     *
     * @return the number, including those being opened
     */
    public int connections() {
        return connectionCount;
    }

    /**
     * Returns the number of queued events.
     *
     * @return the number
     */
    public int ringSize() {
        return ring.size();
    }

    /** Shortens the watch segments of later requests. */
    public void prepareStop() {
        stopping = true;
    }

    /**
     * Sets an action that the thread runs about every 100 ms. It must not block.
     *
     * @param action the action
     */
    public void setSweepAction(Runnable action) {
        sweepAction = action;
    }

    /** Sets the budget for response bytes; requests are refused while it is exhausted. */
    void setBodyBudget(BodyBudget budget) {
        backendConnections.setByteBudget(budget);
        isMemoryExhausted = budget::isExhausted;
    }

    /**
     * Replaces the view of customers and services.
     *
     * @param next the new view
     */
    public void updateView(EntryView next) {
        view = next;
    }

    /**
     * Returns the view of customers and services.
     *
     * @return the view
     */
    public EntryView view() {
        return view;
    }

    /**
     * Replaces the backend servers.
     *
     * @param backends all backend servers
     * @param addresses their addresses
     */
    public void updateBackends(
            Collection<BackendInfo> backends, Map<BackendId, InetSocketAddress> addresses) {
        post(
                () -> {
                    backendConnections.updateAddresses(Map.copyOf(addresses));
                    runActions(router.updateBackends(now(), backends));
                });
    }

    /**
     * Replaces the customers.
     *
     * @param customers all customers
     */
    public void updateCustomers(Collection<CustomerInfo> customers) {
        post(() -> runActions(router.updateCustomers(now(), customers)));
    }

    /**
     * Changes the number of entry hosts that share the backend servers.
     *
     * @param hosts the live entry hosts
     */
    public void updateEntryHosts(EntryHosts hosts) {
        post(() -> runActions(router.updateEntryHosts(now(), hosts)));
    }

    @Override
    public boolean submit(CallerRequest request, Caller caller) {
        long startNanos = System.nanoTime();
        boolean accepted = ring.offer(() -> beginRequest(request, caller, startNanos));
        if (!accepted) {
            metrics.countRingFull("router");
        }
        return accepted;
    }

    @Override
    public void onCallerDisconnected(String request) {
        post(
                () -> {
                    if (pendingRequests.containsKey(request)) {
                        log.event(RequestEvent.CALLER_GONE)
                                .with("request", request)
                                .forSubject(request)
                                .write();
                        runActions(router.onCallerGone(now(), request));
                    }
                });
    }

    /**
     * Handles the result of a claim.
     *
     * @param request the request
     * @param result the result
     * @param stored the stored response, if there is one
     */
    void onClaimResult(String request, ClaimResult result, Optional<CallerResponse> stored) {
        post(
                () -> {
                    PendingRequest pending = pendingRequests.get(request);
                    if (pending != null) {
                        pending.setStoredResponse(stored);
                        runActions(router.onClaimResult(now(), request, result));
                    }
                });
    }

    /** Stops the thread and closes the connections to backend servers. */
    @Override
    public void close() {
        running = false;
        ring.join(thread, TimeUnit.SECONDS.toMillis(2));
    }

    long now() {
        return clock.getAsLong();
    }

    Map<String, PendingRequest> pendingRequests() {
        return pendingRequests;
    }

    BackendConnections backendConnections() {
        return backendConnections;
    }

    /** Executes the router's actions; must be called on the router thread. */
    void runActions(List<RoutingAction> routingActions) {
        actions.run(routingActions);
    }

    private void post(Runnable event) {
        if (Thread.currentThread() == thread) {
            localEvents.add(event);
        } else if (running) {
            ring.putResult(event);
        }
    }

    private void beginRequest(CallerRequest request, Caller caller, long startNanos) {
        Optional<Failure> refusal = view.refusal(request.customer(), request.service());
        if (refusal.isEmpty() && isMemoryExhausted.getAsBoolean()) {
            refusal = Optional.of(NotRunReason.BUFFERS_FULL);
        }
        if (refusal.isPresent()) {
            actions.refuse(request, caller, refusal.get(), startNanos);
            return;
        }
        long now = now();
        long waitedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        long segmentMillis =
                Math.min(
                        request.timing().segmentMillis().orElse(options.maxSegmentMillis()),
                        stopping ? STOPPING_SEGMENT_MILLIS : options.maxSegmentMillis());
        long deadlineMillis =
                request.timing()
                        .deadlineMillis()
                        .orElseGet(
                                () ->
                                        view.defaultDeadlineMillis(
                                                request.customer(), request.service()));
        long durationMillis =
                request.kind() == RequestKind.WATCH
                        ? segmentMillis + deadlineMillis
                        : deadlineMillis;
        PendingRequest pending =
                new PendingRequest(
                        request,
                        caller,
                        startNanos,
                        now + durationMillis - waitedMillis,
                        segmentMillis);
        pendingRequests.put(request.id(), pending);
        log.event(RequestEvent.REQUEST_ACCEPTED)
                .with("request", request.id())
                .with("customer", request.customer())
                .with("service", request.service())
                .with("kind", request.kind().code())
                .with("key", request.key().map(Object::toString).orElse("none"))
                .with("deadline", durationMillis)
                .forSubject(request.id())
                .write();
        runActions(router.onRequest(now, pending.toInfo()));
    }

    private void loop() {
        long nextTick = 0;
        while (running) {
            try {
                int count = 0;
                for (Runnable event = nextEvent();
                        event != null && count < MAX_EVENTS_PER_TICK;
                        count++) {
                    event.run();
                    event = nextEvent();
                    if (count == MAX_EVENTS_PER_TICK - 1 && event != null) {
                        localEvents.addFirst(event);
                    }
                }
                long now = now();
                if (now >= nextTick) {
                    nextTick = tick(now);
                }
                pendingCount = pendingRequests.size();
                connectionCount = backendConnections.size();
                if (localEvents.isEmpty()) {
                    ring.await(nextTick - now());
                }
            } catch (RuntimeException fault) {
                ProcessEvent.recordFault(log, "router", fault);
            }
        }
        backendConnections.closeAll();
    }

    private Runnable nextEvent() {
        Runnable event = localEvents.poll();
        return event != null ? event : ring.poll();
    }

    private long tick(long now) {
        backendConnections.reportNewBytes();
        runActions(router.onTick(now));
        if (now >= nextSweepMillis) {
            nextSweepMillis = now + SWEEP_INTERVAL_MILLIS;
            sweepAction.run();
        }
        long maxInterval =
                pendingRequests.isEmpty()
                        ? MAX_TICK_INTERVAL_IDLE_MILLIS
                        : MAX_TICK_INTERVAL_BUSY_MILLIS;
        return Math.max(now + 1, Math.min(router.nextTickMillis(now), now + maxInterval));
    }
}
