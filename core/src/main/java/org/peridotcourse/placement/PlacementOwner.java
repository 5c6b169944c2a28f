package org.peridotcourse.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.peridotcourse.CustomerId;
import org.peridotcourse.Resources;
import org.peridotcourse.base.LeaseHolder;

/**
 * Decides on the tasks of one data centre while its daemon holds the placement lease.
 *
 * <p>Feed it every event through {@link #handle} and perform the returned actions. The daemon reads
 * and writes the lease row with {@link LeaseHolder} and {@link
 * org.peridotcourse.base.LeaseChallenger}, polls the tables {@code jobs} and {@code tasks} (the own
 * prefix), the lease rows of other data centres and the host list about once a second, and sends a
 * tick every {@link OwnerSettings#tickMillis}. The owner survives the loss of its lease: with the
 * next epoch it reads all rows again.
 *
 * <p>Confined to one thread.
 */
public final class PlacementOwner {
    private static final long INTAKE_MILLIS = 200;
    private static final long UPKEEP_MILLIS = 500;
    private static final long REPLICAS_MILLIS = 1_000;
    private static final long LOAD_AGAIN_MILLIS = 2_000;

    private final Book book;
    private final WriteBuffer writes;
    private final Outbox outbox;
    private final WorkerChoice choice;
    private final FairOrder order;
    private final Scheduler scheduler;
    private final Reconciler reconciler;
    private final JobIntake intake;
    private final Replicas replicas;
    private final Evacuation evacuation;
    private final Rebalancing rebalancing;
    private final Upkeep upkeep;
    private final Commits commits;
    private long loadCommit;
    private long loadAskedMillis;
    private long nextIntakeMillis;
    private long nextUpkeepMillis;
    private long nextReplicasMillis;

    /**
     * Creates an owner without a lease.
     *
     * @param settings its settings
     * @param policy strategy for the choice of worker
     */
    public PlacementOwner(OwnerSettings settings, PlacementPolicy policy) {
        book = new Book(settings, policy);
        writes = new WriteBuffer(book);
        outbox = new Outbox(book);
        Guards guards = new Guards(book, outbox);
        TaskEnds ends = new TaskEnds(book, writes);
        choice = new WorkerChoice(book, guards);
        order = new FairOrder(book);
        scheduler = new Scheduler(book, writes, order, choice);
        reconciler = new Reconciler(book, writes, outbox, ends, guards);
        intake = new JobIntake(book, writes);
        replicas = new Replicas(book, writes, outbox);
        Destinations destinations = new Destinations(book);
        evacuation = new Evacuation(book, writes, outbox, destinations);
        rebalancing = new Rebalancing(book, writes, order, destinations);
        upkeep = new Upkeep(book, writes, outbox, ends);
        commits = new Commits(book, writes, outbox, intake);
    }

    /**
     * Returns figures for {@code /status}.
     *
     * @param nowMillis the present time
     * @return the figures
     */
    public OwnerStatus status(long nowMillis) {
        int reachable = 0;
        int quarantined = 0;
        for (Worker worker : book.workers.values()) {
            reachable += worker.isUsable(nowMillis) ? 1 : 0;
            quarantined += worker.health.isQuarantined() ? 1 : 0;
        }
        return new OwnerStatus(
                book.isHeld(nowMillis) ? book.lease.epoch() : 0,
                book.loaded,
                book.workers.size(),
                reachable,
                quarantined,
                book.queued,
                book.placed,
                book.evictions,
                writes.writes(),
                book.starts);
    }

    /**
     * Returns the lease, under which the daemon checks each action right before it leaves.
     *
     * @return the lease, possibly lapsed, empty before the first confirmation
     */
    public Optional<LeaseHolder> lease() {
        return Optional.ofNullable(book.lease);
    }

    /**
     * Returns what is free on usable workers less what is queued here. The daemon publishes it with
     * the lease row, so that other owners pace their handovers.
     *
     * @param nowMillis the present time
     * @return the free capacity, zero without a lease
     */
    public Resources freeCapacity(long nowMillis) {
        Resources free = Resources.ZERO;
        if (!book.mayStart(nowMillis)) {
            return free;
        }
        for (Worker worker : book.workers.values()) {
            if (worker.isUsable(nowMillis)) {
                free = free.plus(worker.ledger.free());
            }
        }
        for (Customer customer : book.customers.values()) {
            for (Job job : customer.normal()) {
                free = free.minus(times(job.size(), job.queued.size()));
            }
            for (Job job : customer.urgent()) {
                free = free.minus(times(job.size(), job.queued.size()));
            }
        }
        return free.max(Resources.ZERO);
    }

    private static Resources times(Resources size, int count) {
        return new Resources(
                size.milliCores() * count, size.memoryMib() * count, size.accelerators() * count);
    }

    /**
     * Returns the weighted dominant share of a customer's placed batch tasks.
     *
     * @param customer the customer
     * @return the dominant share in this data centre, divided by the weight
     */
    public double weightedShare(CustomerId customer) {
        return order.weightedShare(book.customer(customer));
    }

    /**
     * Decides on one event.
     *
     * @param nowMillis the present time of a monotonic clock, never less than in an earlier call
     * @param event what happened
     * @return what to do, in order
     */
    public List<PlacementAction> handle(long nowMillis, PlacementEvent event) {
        book.nowMillis = nowMillis;
        book.actions = new ArrayList<>();
        if (!table(nowMillis, event) && !worker(nowMillis, event)) {
            control(nowMillis, event);
        }
        outbox.flush(nowMillis);
        return book.actions;
    }

    private boolean table(long nowMillis, PlacementEvent event) {
        if (event instanceof PlacementEvent.JobsSeen seen) {
            seen.rows().forEach(row -> jobSeen(nowMillis, row));
        } else if (event instanceof PlacementEvent.TaskRowsSeen seen) {
            rowsSeen(nowMillis, seen);
        } else if (event instanceof PlacementEvent.RowsRead read) {
            writes.readBack(read.number())
                    .ifPresent(flight -> commits.readBack(nowMillis, flight, read));
        } else if (event instanceof PlacementEvent.WriteCommitted committed) {
            writes.committed(committed.id())
                    .ifPresent(flight -> commits.committed(nowMillis, flight, committed.commit()));
        } else if (event instanceof PlacementEvent.WriteConflict conflict) {
            writes.conflict(nowMillis, conflict.id());
        } else if (event instanceof PlacementEvent.WriteUnknown unknown) {
            writes.unknown(nowMillis, unknown.id());
        } else {
            return false;
        }
        return true;
    }

    private boolean worker(long nowMillis, PlacementEvent event) {
        if (event instanceof PlacementEvent.ReportReceived received) {
            reconciler.report(nowMillis, received.number(), received.report());
        } else if (event instanceof PlacementEvent.ReportFailed failed) {
            upkeep.reportFailed(book.worker(failed.worker()), failed.number());
        } else if (event instanceof PlacementEvent.CommandsAnswered answered) {
            reconciler.answered(nowMillis, answered);
        } else if (event instanceof PlacementEvent.CommandsFailed failed) {
            if (reconciler.failed(nowMillis, failed)) {
                leaseLost();
            }
        } else if (event instanceof PlacementEvent.WorkersSeen seen) {
            upkeep.hosts(seen.workers());
            choice.refresh();
        } else {
            return false;
        }
        return true;
    }

    private void control(long nowMillis, PlacementEvent event) {
        if (event instanceof PlacementEvent.Tick) {
            tick(nowMillis);
        } else if (event instanceof PlacementEvent.LeaseConfirmed confirmed) {
            leaseConfirmed(nowMillis, confirmed);
        } else if (event instanceof PlacementEvent.LeaseLost) {
            leaseLost();
        } else if (event instanceof PlacementEvent.ConfigSeen seen) {
            if (seen.config().version() >= book.config.version()) {
                book.config = seen.config();
                book.configConfirmedMillis =
                        Math.max(book.configConfirmedMillis, seen.confirmedMillis());
            }
        } else if (event instanceof PlacementEvent.PeerLeaseSeen seen) {
            Peer peer =
                    book.peers.computeIfAbsent(
                            seen.dataCentre(),
                            key -> new Peer(book.settings.daemon(), book.settings.marginMillis()));
            peer.challenger.observe(nowMillis, Optional.of(seen.row()), seen.commit());
            if (seen.commit() > peer.commit) {
                peer.commit = seen.commit();
                peer.free = seen.free();
            }
        }
    }

    private void tick(long nowMillis) {
        if (book.lease == null) {
            return;
        }
        if (!book.loaded
                && book.isHeld(nowMillis)
                && nowMillis - loadAskedMillis >= LOAD_AGAIN_MILLIS) {
            load(nowMillis);
        }
        upkeep.contact(nowMillis);
        if (nowMillis >= nextUpkeepMillis) {
            nextUpkeepMillis = nowMillis + UPKEEP_MILLIS;
            upkeep.expire(nowMillis);
            evacuation.run(nowMillis);
            rebalancing.run(nowMillis);
        }
        if (nowMillis >= nextReplicasMillis) {
            nextReplicasMillis = nowMillis + REPLICAS_MILLIS;
            replicas.run(nowMillis);
        }
        if (nowMillis >= nextIntakeMillis) {
            nextIntakeMillis = nowMillis + INTAKE_MILLIS;
            intake.run(nowMillis);
        }
        writes.flush(nowMillis);
        scheduler.run(nowMillis);
        writes.flush(nowMillis);
    }

    private void leaseConfirmed(long nowMillis, PlacementEvent.LeaseConfirmed confirmed) {
        if (book.lease != null && confirmed.row().epoch() < book.lease.epoch()) {
            return;
        }
        boolean same = book.lease != null && confirmed.row().epoch() == book.lease.epoch();
        if (same && book.lease.isHeld(nowMillis)) {
            book.lease.confirmed(confirmed.row(), confirmed.commit(), confirmed.sentMillis());
            return;
        }
        long bound = 0;
        if (same) {
            // While the lease had lapsed, another data centre may have taken tasks over.
            book.lease.confirmed(confirmed.row(), confirmed.commit(), confirmed.sentMillis());
        } else {
            book.lease =
                    new LeaseHolder(confirmed.row(), confirmed.commit(), confirmed.sentMillis());
            bound = confirmed.sentMillis() + confirmed.earlierHoldMillis();
        }
        loadCommit = confirmed.commit();
        writes.clear();
        outbox.clear();
        book.clear(bound);
        load(nowMillis);
    }

    private void load(long nowMillis) {
        loadAskedMillis = nowMillis;
        book.actions.add(new PlacementAction.ReadTasks(book.dataCentre()));
    }

    private void leaseLost() {
        if (book.lease != null) {
            book.lease.superseded();
        }
        book.loaded = false;
    }

    private void jobSeen(long nowMillis, JobRow row) {
        Job job = book.putJob(nowMillis, row);
        if (job == null) {
            return;
        }
        intake.note(job);
        List<TaskRow> waiting = book.orphans.remove(job.key);
        if (waiting != null) {
            waiting.forEach(each -> book.adopt(nowMillis, each));
        }
    }

    private void rowsSeen(long nowMillis, PlacementEvent.TaskRowsSeen seen) {
        if (!seen.dataCentre().equals(book.dataCentre())) {
            evacuation.foreignRows(nowMillis, seen.dataCentre(), seen.rows());
            return;
        }
        if (!book.isHeld(nowMillis) || seen.asOf() < loadCommit) {
            return;
        }
        if (seen.complete() && !book.loaded) {
            seen.rows().forEach(row -> book.adopt(nowMillis, row));
            book.loaded = true;
            book.loadedMillis = nowMillis;
            loadCommit = seen.asOf();
            choice.refresh();
            intake.noteAll();
        } else if (book.loaded) {
            seen.rows().forEach(row -> book.adoptNewer(nowMillis, row));
            book.removed.values().removeIf(commit -> commit <= seen.asOf());
        }
    }
}
