package org.peridotcourse.placement;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.Resources;
import org.peridotcourse.WorkerId;
import org.peridotcourse.base.LeaseChallenger;
import org.peridotcourse.base.LeaseHolder;
import org.peridotcourse.base.LeaseRow;

/** Drives one placement owner as the daemon does, with messages that can be late or lost. */
final class FakeDaemon {
    static final long LEASE_MILLIS = 9_000;
    private static final long POLL_MILLIS = 1_000;
    private static final long TIMEOUT_MILLIS = 500;

    final DataCentreId dataCentre;
    final PlacementOwner owner;
    boolean alive = true;
    long pausedUntil;
    long storeCutOffUntil;
    final Map<WorkerId, Long> unreachableUntil = new HashMap<>();
    private final FaultSimulation simulation;
    private final String name;
    private final Set<SafetyMechanism> disabled;
    private final LeaseChallenger challenger;
    private final long clockOffset;
    private final List<Runnable> deferredSteps = new ArrayList<>();
    private Optional<LeaseHolder> holder = Optional.empty();
    private boolean leasePending;
    private long nextPoll;
    private PlacementConfig lastConfig = PlacementConfig.EMPTY;

    FakeDaemon(
            FaultSimulation simulation,
            DataCentreId dataCentre,
            String name,
            Set<SafetyMechanism> disabled) {
        this.simulation = simulation;
        this.dataCentre = dataCentre;
        this.name = name;
        this.disabled = disabled;
        this.clockOffset = simulation.random.nextInt(1_000_000);
        long margin = disabled.contains(SafetyMechanism.MARGIN) ? 0 : LeaseChallenger.MARGIN_MILLIS;
        this.challenger = new LeaseChallenger(name, margin);
        OwnerSettings settings =
                new OwnerSettings(
                        dataCentre, name, FaultSimulation.TICK_MILLIS, 2_000, 8_000, margin, true);
        this.owner = new PlacementOwner(settings, PlacementPolicy.LEAST_INTERFERENCE);
    }

    long clock() {
        return simulation.now + clockOffset;
    }

    boolean isHolder() {
        return alive && holder.isPresent() && holder.get().isHeld(clock());
    }

    private boolean isPaused() {
        return simulation.now < pausedUntil;
    }

    /** Runs a step of this process now, or once its pause has ended; never after it was killed. */
    private void run(Runnable step) {
        if (!alive) {
            return;
        }
        if (isPaused()) {
            deferredSteps.add(step);
        } else {
            step.run();
        }
    }

    void step() {
        if (!alive || isPaused()) {
            return;
        }
        List<Runnable> resumed = List.copyOf(deferredSteps);
        deferredSteps.clear();
        resumed.forEach(Runnable::run);
        if (simulation.now >= nextPoll) {
            nextPoll = simulation.now + POLL_MILLIS;
            poll();
        }
        maintainLease();
        feed(new PlacementEvent.Tick());
    }

    private void feed(PlacementEvent event) {
        for (PlacementAction action : owner.handle(clock(), event)) {
            // The process may be paused between a decision and its execution.
            simulation.after(simulation.random.nextInt(5), () -> run(() -> perform(action)));
        }
    }

    private void perform(PlacementAction action) {
        if (action instanceof PlacementAction.WriteRows write) {
            write(write);
        } else if (action instanceof PlacementAction.ReadRows read) {
            read(
                    table -> {
                        List<TaskRow> tasks = new ArrayList<>();
                        for (String key : read.taskKeys()) {
                            tasks.addAll(
                                    table.tasks(key).stream()
                                            .filter(row -> row.key().equals(key))
                                            .toList());
                        }
                        List<JobRow> jobs = new ArrayList<>(table.jobs());
                        jobs.removeIf(row -> !read.jobKeys().contains(row.spec().id().value()));
                        return new PlacementEvent.RowsRead(
                                read.number(), read.taskKeys(), read.jobKeys(), tasks, jobs);
                    });
        } else if (action instanceof PlacementAction.ReadTasks read) {
            read(table -> rows(table, read.dataCentre(), true));
        } else if (action instanceof PlacementAction.SendCommands send) {
            send(send);
        } else if (action instanceof PlacementAction.FetchReport fetch) {
            fetch(fetch.worker(), fetch.number());
        }
    }

    private static PlacementEvent rows(FakeTable table, DataCentreId id, boolean complete) {
        return new PlacementEvent.TaskRowsSeen(
                id, table.tasks(id.value() + "/"), complete, table.commit());
    }

    private void read(Function<FakeTable, PlacementEvent> query) {
        simulation.toStore(
                this,
                table -> {
                    PlacementEvent answer = query.apply(table);
                    simulation.after(simulation.delay(), () -> run(() -> feed(answer)));
                });
    }

    private void write(PlacementAction.WriteRows write) {
        boolean[] answered = new boolean[1];
        simulation.toStore(
                this,
                table -> {
                    long commit = table.write(write);
                    if (simulation.losesAnswer()) {
                        return;
                    }
                    PlacementEvent answer =
                            commit > 0
                                    ? new PlacementEvent.WriteCommitted(write.id(), commit)
                                    : new PlacementEvent.WriteConflict(write.id());
                    simulation.after(
                            simulation.delay(),
                            () ->
                                    run(
                                            () -> {
                                                if (!answered[0]) {
                                                    answered[0] = true;
                                                    feed(answer);
                                                }
                                            }));
                });
        PlacementEvent unknown = new PlacementEvent.WriteUnknown(write.id());
        simulation.after(
                TIMEOUT_MILLIS,
                () ->
                        run(
                                () -> {
                                    if (!answered[0]) {
                                        answered[0] = true;
                                        feed(unknown);
                                    }
                                }));
    }

    private void send(PlacementAction.SendCommands send) {
        boolean[] done = new boolean[1];
        simulation.toWorker(
                this,
                send.worker(),
                worker -> {
                    if (worker.hasRestartedSince(simulation.now, send.clockMillis())) {
                        return;
                    }
                    PlacementEvent answer =
                            worker.execute(simulation.now, send)
                                    .map(found -> (PlacementEvent) found)
                                    .orElse(
                                            new PlacementEvent.CommandsFailed(
                                                    send.worker(), send.number(), true));
                    simulation.fromWorker(this, worker, () -> feedOnce(done, answer));
                });
        simulation.after(
                TIMEOUT_MILLIS * 2,
                () ->
                        run(
                                () ->
                                        feedOnce(
                                                done,
                                                new PlacementEvent.CommandsFailed(
                                                        send.worker(), send.number(), false))));
    }

    private void feedOnce(boolean[] done, PlacementEvent event) {
        run(
                () -> {
                    if (!done[0]) {
                        done[0] = true;
                        feed(event);
                    }
                });
    }

    private void fetch(WorkerId id, long number) {
        boolean[] done = new boolean[1];
        simulation.toWorker(
                this,
                id,
                worker -> {
                    WorkerReport report = worker.report(simulation.now);
                    long extraDelayMillis = simulation.now < worker.reportsLateUntil ? 3_000 : 0;
                    simulation.after(
                            extraDelayMillis,
                            () ->
                                    simulation.fromWorker(
                                            this,
                                            worker,
                                            () ->
                                                    feedOnce(
                                                            done,
                                                            new PlacementEvent.ReportReceived(
                                                                    number, report))));
                });
        simulation.after(
                TIMEOUT_MILLIS * 8,
                () -> run(() -> feedOnce(done, new PlacementEvent.ReportFailed(id, number))));
    }

    private void poll() {
        long sent = clock();
        read(table -> new PlacementEvent.JobsSeen(table.jobs()));
        read(table -> rows(table, dataCentre, false));
        if (disabled.contains(SafetyMechanism.CONFIG_FRESHNESS)) {
            feed(new PlacementEvent.ConfigSeen(lastConfig, clock()));
        }
        simulation.toStore(
                this,
                table -> {
                    if (!simulation.readsConfig(dataCentre)) {
                        return;
                    }
                    PlacementConfig config = simulation.config;
                    lastConfig = config;
                    simulation.after(
                            simulation.delay(),
                            () -> run(() -> feed(new PlacementEvent.ConfigSeen(config, sent))));
                });
        feed(
                new PlacementEvent.WorkersSeen(
                        simulation.hosts(disabled.contains(SafetyMechanism.CAPACITY))));
        for (DataCentreId other : simulation.dataCentres) {
            simulation.toStore(this, table -> readLease(other, table.row("leases", key(other))));
        }
    }

    private void readLease(DataCentreId other, FakeTable.Stored stored) {
        simulation.after(
                simulation.delay(),
                () ->
                        run(
                                () -> {
                                    if (other.equals(dataCentre)) {
                                        ownLease(stored);
                                    } else if (stored != null) {
                                        FakeTable.Lease lease = (FakeTable.Lease) stored.value();
                                        feed(
                                                new PlacementEvent.PeerLeaseSeen(
                                                        other,
                                                        shortenHoldIfDisabled(lease.row()),
                                                        stored.commit(),
                                                        lease.free()));
                                    }
                                }));
    }

    /** Returns a row that was read, with a hold of only 4 s if {@code HOLD} is disabled. */
    private LeaseRow shortenHoldIfDisabled(LeaseRow row) {
        return disabled.contains(SafetyMechanism.HOLD)
                ? new LeaseRow(
                        row.holder(), row.epoch(), row.leaseMillis(), 4_000, row.writeNumber())
                : row;
    }

    private void ownLease(FakeTable.Stored stored) {
        Optional<LeaseRow> row =
                Optional.ofNullable(stored).map(found -> ((FakeTable.Lease) found.value()).row());
        challenger.observe(clock(), row, stored == null ? 0 : stored.commit());
        if (holder.isPresent() && row.isPresent() && row.get().epoch() > holder.get().epoch()) {
            leaseLost();
        }
    }

    private void leaseLost() {
        holder.ifPresent(LeaseHolder::onSuperseded);
        holder = Optional.empty();
        feed(new PlacementEvent.LeaseLost());
    }

    private static String key(DataCentreId id) {
        return "placement/" + id.value();
    }

    private void maintainLease() {
        if (leasePending) {
            return;
        }
        if (holder.isPresent()) {
            holder.get()
                    .renewal(clock(), simulation.holdMillis)
                    .ifPresent(row -> writeLease(row, holder.get().commit(), clock(), 0));
        } else {
            long earlier = challenger.row().map(LeaseRow::holdMillis).orElse(0L);
            challenger
                    .takeover(clock(), LEASE_MILLIS, simulation.holdMillis)
                    .ifPresent(row -> writeLease(row, challenger.commit(), clock(), earlier));
        }
    }

    private void writeLease(LeaseRow row, long expected, long sent, long earlierHold) {
        leasePending = true;
        Resources free = owner.freeCapacity(clock());
        String id = name + "." + row.epoch() + "." + row.writeNumber();
        boolean[] answered = new boolean[1];
        simulation.toStore(
                this,
                table -> {
                    long commit =
                            table.writeLease(
                                    key(dataCentre), expected, new FakeTable.Lease(row, free), id);
                    if (!simulation.losesAnswer()) {
                        simulation.after(
                                simulation.delay(),
                                () ->
                                        run(
                                                () -> {
                                                    if (!answered[0]) {
                                                        answered[0] = true;
                                                        leaseWritten(
                                                                row, commit, sent, earlierHold);
                                                    }
                                                }));
                    }
                });
        simulation.after(
                TIMEOUT_MILLIS,
                () ->
                        run(
                                () -> {
                                    if (!answered[0]) {
                                        answered[0] = true;
                                        writeLease(row, expected, sent, earlierHold);
                                    }
                                }));
    }

    private void leaseWritten(LeaseRow row, long commit, long sent, long earlierHold) {
        leasePending = false;
        if (commit == 0) {
            leaseLost();
            return;
        }
        if (holder.isPresent() && holder.get().epoch() == row.epoch()) {
            holder.get().onRenewalConfirmed(row, commit, sent);
        } else {
            holder = Optional.of(new LeaseHolder(row, commit, sent));
        }
        feed(new PlacementEvent.LeaseConfirmed(row, commit, sent, earlierHold));
    }

    static Set<SafetyMechanism> noneDisabled() {
        return EnumSet.noneOf(SafetyMechanism.class);
    }
}
