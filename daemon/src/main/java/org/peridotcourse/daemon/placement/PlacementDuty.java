package org.peridotcourse.daemon.placement;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import org.peridotcourse.Resources;
import org.peridotcourse.daemon.control.LeaseKeeper;
import org.peridotcourse.daemon.control.SnapshotHolder;
import org.peridotcourse.daemon.http.ChannelFactory;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.placement.WorkerCalls.Answered;
import org.peridotcourse.daemon.platform.TableStore;
import org.peridotcourse.daemon.ring.EventRing;
import org.peridotcourse.membership.Peer;
import org.peridotcourse.placement.OwnerSettings;
import org.peridotcourse.placement.OwnerStatus;
import org.peridotcourse.placement.PlacementAction;
import org.peridotcourse.placement.PlacementConfig;
import org.peridotcourse.placement.PlacementEvent;
import org.peridotcourse.placement.PlacementOwner;
import org.peridotcourse.placement.PlacementPolicy;
import org.peridotcourse.placement.WorkerCommand;

/**
 * Places the tasks of one data centre while this daemon holds its placement lease.
 *
 * <p>It runs two threads that exchange work through bounded rings: the placement thread drives
 * {@link PlacementOwner} and calls workers, the store thread calls the table service. Start it once
 * and close it once; {@link #status} may be called from any thread.
 */
public final class PlacementDuty implements AutoCloseable {
    /**
     * Has room for one answer of each worker and of each store call at the cluster size expected in
     * two years.
     */
    private static final int EVENT_RING_CAPACITY = 4096;

    private static final int STORE_RING_CAPACITY = 1024;

    /** Time that {@link #close} waits for each of the two threads to end. */
    private static final long STOP_TIMEOUT_MILLIS = 5_000;

    /** Duration of the placement lease, counted from its last confirmed write. */
    private static final long LEASE_MILLIS = 9_000;

    private static final long CONFIG_REFRESH_MILLIS = 250;
    private static final long CAPACITY_PUBLISH_MILLIS = 5_000;
    private static final long STORE_STEP_INTERVAL_MILLIS = 100;

    private final SnapshotHolder config;
    private final WorkerDirectory workers;
    private final Peer self;
    private final LongSupplier clock;
    private final EventLog log;
    private final OwnerSettings settings;
    private final PlacementOwner owner;
    private final PlacementStore store;
    private final WorkerCalls workerCalls;
    private final EventRing<Object> events = new EventRing<>(EVENT_RING_CAPACITY);
    private final EventRing<StoreWork> storeWork = new EventRing<>(STORE_RING_CAPACITY);
    private final Thread placementThread = new Thread(this::runPlacementLoop, "placement");
    private final Thread storeThread = new Thread(this::runStoreLoop, "placement-store");

    private volatile boolean running = true;
    private volatile boolean releaseRequested;
    private volatile LeaseWindow leaseWindow = LeaseWindow.NONE;
    private volatile OwnerStatus status = new OwnerStatus(0, false, 0, 0, 0, 0, 0, 0, 0, 0);
    private PlacementConfig placementConfig = PlacementConfig.EMPTY;
    private long placementConfigVersion = -1;
    private long workersVersion = -1;
    private long nextConfigRefreshMillis;
    private long nextCapacityPublishMillis;
    private Resources publishedCapacity;
    private long publishedEpoch;

    /**
     * Creates the duty without starting it.
     *
     * @param self this daemon
     * @param table the table service, used by the store thread alone
     * @param channels opens connections to workers
     * @param config the configuration in force
     * @param workers the workers of the host list
     * @param clock monotonic milliseconds
     * @param log receives {@link PlacementLogEvent} records
     */
    public PlacementDuty(
            Peer self,
            TableStore table,
            ChannelFactory channels,
            SnapshotHolder config,
            WorkerDirectory workers,
            LongSupplier clock,
            EventLog log) {
        this.self = self;
        this.config = config;
        this.workers = workers;
        this.clock = clock;
        this.log = log;
        String dataCentre = self.dataCentre().value();
        settings = OwnerSettings.of(self.dataCentre(), self.daemon().value());
        owner = new PlacementOwner(settings, PlacementPolicy.LEAST_INTERFERENCE);
        workerCalls =
                new WorkerCalls(
                        channels, dataCentre, this::sendAllowedUntil, clock, this::offerEvent, log);
        LeaseKeeper.Durations durations =
                new LeaseKeeper.Durations(
                        LEASE_MILLIS, () -> ConfigView.maxHoldMillis(config.snapshot()));
        LeaseKeeper lease =
                new LeaseKeeper(table, "placement/" + dataCentre, self, durations, clock, log);
        store =
                new PlacementStore(
                        table, lease, config, self.dataCentre(), clock, this::putEvent, log);
    }

    /** Epoch, lease end and hold end after the last event that the owner handled. */
    private record LeaseWindow(long epoch, long leaseEndMillis, long holdEndMillis) {
        static final LeaseWindow NONE = new LeaseWindow(0, Long.MIN_VALUE, Long.MIN_VALUE);
    }

    /** Starts both threads. */
    public void start() {
        placementThread.setDaemon(true);
        storeThread.setDaemon(true);
        storeThread.start();
        placementThread.start();
    }

    /**
     * Returns the counts and the lease epoch of the placement owner.
     *
     * @return the status, with epoch 0 while this daemon does not hold the lease
     */
    public OwnerStatus status() {
        return status;
    }

    /** Stops placement, releases the lease and ends both threads. Running tasks continue. */
    @Override
    public void close() {
        running = false;
        events.join(placementThread, STOP_TIMEOUT_MILLIS);
        leaseWindow = LeaseWindow.NONE;
        releaseRequested = true;
        storeWork.join(storeThread, STOP_TIMEOUT_MILLIS);
        workerCalls.close();
    }

    private boolean offerEvent(Object event) {
        if (!running || events.offerResult(event)) {
            return true;
        }
        log.event(PlacementLogEvent.RING_FULL)
                .with("event", event.getClass().getSimpleName())
                .write();
        return false;
    }

    /**
     * Adds an event of the store thread to the ring and waits while the ring is full. If the
     * outcome of a write were dropped, the owner would wait for it forever.
     */
    private boolean putEvent(PlacementEvent event) {
        boolean fullLogged = false;
        while (running && !events.offerResult(event)) {
            if (!fullLogged) {
                fullLogged = true;
                log.event(PlacementLogEvent.RING_FULL)
                        .with("event", event.getClass().getSimpleName())
                        .write();
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
        }
        return true;
    }

    /**
     * Returns the time until which commands may be sent: renewals until the hold ends, all other
     * commands only while the lease of their epoch is held.
     */
    private long sendAllowedUntil(PlacementAction.SendCommands send) {
        LeaseWindow window = leaseWindow;
        boolean onlyRenewals =
                send.commands().stream().allMatch(WorkerCommand.Renew.class::isInstance);
        if (onlyRenewals) {
            return window.holdEndMillis();
        }
        return send.epoch() == window.epoch() ? window.leaseEndMillis() : Long.MIN_VALUE;
    }

    private void runPlacementLoop() {
        AtomicLong nextTick = new AtomicLong(clock.getAsLong());
        while (running) {
            runSafely(() -> runPlacementStep(nextTick));
            events.await(Math.max(1, nextTick.get() - clock.getAsLong()));
        }
    }

    private void runPlacementStep(AtomicLong nextTick) {
        Object event = events.poll();
        while (event != null) {
            Object polled = event;
            runSafely(() -> processEvent(polled));
            event = events.poll();
        }
        long now = clock.getAsLong();
        if (now >= nextTick.get()) {
            nextTick.set(now + settings.tickMillis());
            tick(now);
        }
    }

    /**
     * Runs a step and logs an unexpected exception. If the exception ended the thread, this daemon
     * would keep the lease without placing tasks.
     */
    private void runSafely(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException unexpected) {
            log.event(PlacementLogEvent.STEP_FAILED)
                    .with("thread", Thread.currentThread().getName())
                    .with("error", unexpected)
                    .write();
        }
    }

    private void processEvent(Object event) {
        long now = clock.getAsLong();
        if (event instanceof PlacementEvent placementEvent) {
            handle(now, placementEvent);
        } else if (event instanceof Answered answered) {
            workerCalls.complete(now, answered).ifPresent(result -> handle(now, result));
        }
    }

    private void tick(long now) {
        workerCalls.expireCalls(now).forEach(event -> handle(now, event));
        if (now >= nextConfigRefreshMillis) {
            nextConfigRefreshMillis = now + CONFIG_REFRESH_MILLIS;
            refreshInputs(now);
        }
        handle(now, new PlacementEvent.Tick());
        status = owner.status(now);
        if (status.epoch() > 0 && now >= nextCapacityPublishMillis) {
            nextCapacityPublishMillis = now + CAPACITY_PUBLISH_MILLIS;
            publishCapacity(owner.freeCapacity(now));
        }
    }

    private void refreshInputs(long now) {
        SnapshotHolder.AgedSnapshot agedConfig = config.agedSnapshot(now);
        if (agedConfig.snapshot().version() != placementConfigVersion) {
            placementConfigVersion = agedConfig.snapshot().version();
            placementConfig = ConfigView.of(agedConfig.snapshot());
        }
        long confirmedMillis =
                Math.min(now - agedConfig.ageMillis(), store.dataCentreRowConfirmedMillis());
        handle(now, new PlacementEvent.ConfigSeen(placementConfig, confirmedMillis));
        long version = workers.version();
        if (version != workersVersion) {
            workersVersion = version;
            workerCalls.updateAddresses(workers.addresses(self.dataCentre()));
            handle(now, new PlacementEvent.WorkersSeen(workers.hostsForPlacement()));
        }
    }

    private void publishCapacity(Resources freeCapacity) {
        // Another owner may have published its value since the last epoch of this one.
        boolean changed =
                !freeCapacity.equals(publishedCapacity) || publishedEpoch != status.epoch();
        if (changed && storeWork.offer(new StoreWork.PublishCapacity(freeCapacity))) {
            publishedCapacity = freeCapacity;
            publishedEpoch = status.epoch();
        }
    }

    private void handle(long now, PlacementEvent event) {
        List<PlacementAction> actions = owner.handle(now, event);
        leaseWindow =
                owner.lease()
                        .map(
                                lease ->
                                        new LeaseWindow(
                                                lease.epoch(),
                                                lease.leaseEndMillis(),
                                                lease.holdEndMillis()))
                        .orElse(LeaseWindow.NONE);
        actions.forEach(action -> runSafely(() -> perform(action)));
    }

    private void perform(PlacementAction action) {
        long now = clock.getAsLong();
        if (action instanceof PlacementAction.SendCommands send) {
            workerCalls.send(now, send);
        } else if (action instanceof PlacementAction.FetchReport fetch) {
            workerCalls.fetch(now, fetch);
        } else if (action instanceof PlacementAction.Decided decided) {
            logDecision(decided);
        } else if (!storeWork.offerResult(new StoreWork.Perform(action))) {
            reportUnsentWrite(action);
        }
    }

    /**
     * Reports a write that the full ring of the store thread rejected as unknown, so that the owner
     * returns it again.
     */
    private void reportUnsentWrite(PlacementAction action) {
        if (action instanceof PlacementAction.WriteRows write) {
            handle(clock.getAsLong(), new PlacementEvent.WriteUnknown(write.id()));
        }
    }

    private void logDecision(PlacementAction.Decided decided) {
        EventLog.Line line =
                log.event(PlacementLogEvent.DECIDED)
                        .with("subject", decided.subject())
                        .with("decision", decided.decision());
        decided.worker().ifPresent(worker -> line.with("worker", worker));
        line.with("reason", decided.reason())
                .with("epoch", status.epoch())
                .forSubject(decided.subject())
                .write();
    }

    private void runStoreLoop() {
        while (!releaseRequested) {
            Optional<StoreWork> work = Optional.ofNullable(storeWork.poll());
            while (work.isPresent() && !releaseRequested) {
                StoreWork current = work.get();
                runSafely(() -> store.perform(current));
                runSafely(() -> store.step(clock.getAsLong()));
                work = Optional.ofNullable(storeWork.poll());
            }
            runSafely(() -> store.step(clock.getAsLong()));
            storeWork.await(STORE_STEP_INTERVAL_MILLIS);
        }
        runSafely(store::release);
    }
}
