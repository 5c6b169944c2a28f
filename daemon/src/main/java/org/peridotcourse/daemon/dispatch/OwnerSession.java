package org.peridotcourse.daemon.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.peridotcourse.Result;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.ring.EventLoop;
import org.peridotcourse.dispatch.Decision;
import org.peridotcourse.dispatch.DispatchOwner;
import org.peridotcourse.dispatch.JobRecord;
import org.peridotcourse.dispatch.ModelSnapshot;
import org.peridotcourse.dispatch.Order;
import org.peridotcourse.dispatch.OwnerMetrics;
import org.peridotcourse.dispatch.OwnerTerm;
import org.peridotcourse.dispatch.StoredJob;
import org.peridotcourse.dispatch.WorkerInfo;

/**
 * The work of this host as the owner during one epoch: reads the store, renews the workers' leases,
 * sends the orders of {@link DispatchOwner} and stores progress. Confined to the event loop.
 */
final class OwnerSession {
    /**
     * Longest time between two rounds of decisions. The timer only wakes up the loop, which runs
     * {@link #step} after each of its rounds.
     */
    private static final long MAX_ROUND_INTERVAL_MILLIS = 100;

    private static final long ORDER_TIMEOUT_MILLIS = 600;
    private static final long WORKER_FEED_PAUSE_MILLIS = 300;
    private static final long FEED_WAIT_MILLIS = 1_500;
    private static final long FEED_TIMEOUT_MILLIS = 1_500;

    private final EventLoop loop;
    private final HostComponents components;
    private final OwnerElection election;
    private final ConfigTracker config;
    private final EarlierOwnerTracker earlierOwners;
    private final DispatchOwner owner;
    private final ProgressWriter progress;
    private final WorkerLeaseRenewer leases;
    private final EventLog log;
    private final RoundPacer pacer = new RoundPacer();
    private final PauseDetector pauses = new PauseDetector();
    private final long startedAt;
    private final List<TableFeed> feeds = new ArrayList<>();
    private final Map<String, StoredRow> unprocessedJobRows = new HashMap<>();

    /**
     * Jobs whose progress row cannot be parsed. They are not started, since their tasks may already
     * be done.
     */
    private final Set<String> jobsWithUnreadableProgress = new HashSet<>();

    private Map<String, JobRecord> records = new HashMap<>();
    private boolean wakeUpScheduled;
    private boolean jobsRead;

    /** All jobs that were accepted before this time have been read. */
    private long jobsReadAsOf;

    private boolean loaded;
    private boolean stopped;

    OwnerSession(
            HostComponents components,
            OwnerElection election,
            ConfigTracker config,
            EarlierOwnerTracker earlierOwners,
            OwnerTerm term,
            long epochVersion) {
        this.components = components;
        this.loop = components.loop();
        this.log = components.log();
        this.election = election;
        this.config = config;
        this.earlierOwners = earlierOwners;
        this.startedAt = loop.nowMillis();
        this.owner = new DispatchOwner(term, this::logDecision);
        this.progress = new ProgressWriter(components, owner, epochVersion, election::onDeposed);
        this.leases = new WorkerLeaseRenewer(components, owner, election);
        progress.onStored(leases::onProgressStored);
    }

    void start() {
        owner.onConfig(config.config());
        owner.onEvacuated(config.evacuatedDataCentres());
        earlierOwners.start(() -> owner.onEarlierOwnersEnded(loop.nowMillis()));
        readModelSnapshot();
        feed(RowNames.FLEET, RowNames.PART, FEED_WAIT_MILLIS, 0, new FleetRowListener(), true);
        feed(
                RowNames.PROGRESS,
                RowNames.PART,
                FEED_WAIT_MILLIS,
                0,
                new ProgressRowListener(),
                true);
        feed(
                components.format().workerTable(),
                "",
                0,
                WORKER_FEED_PAUSE_MILLIS,
                new WorkerRowListener(),
                false);
        loop.schedule(MAX_ROUND_INTERVAL_MILLIS, this::tick);
    }

    void stop() {
        stopped = true;
        earlierOwners.stop();
        feeds.forEach(TableFeed::stop);
        leases.stop();
        progress.stop();
    }

    DispatchOwner owner() {
        return owner;
    }

    OwnerMetrics metrics() {
        return owner.metrics(loop.nowMillis());
    }

    void onConfig() {
        owner.onConfig(config.config());
        owner.onEvacuated(config.evacuatedDataCentres());
    }

    /**
     * Makes decisions and sends the resulting orders; called after each round of the event loop.
     */
    void step() {
        if (stopped || !loaded || !config.areEvacuationsRead()) {
            return;
        }
        long now = loop.nowMillis();
        long paused = pauses.observe(now, System.currentTimeMillis());
        if (paused > 0) {
            election.onProcessPaused(now, paused);
        }
        long wait = pacer.waitMillis(now);
        if (wait > 0) {
            if (!wakeUpScheduled) {
                wakeUpScheduled = true;
                loop.schedule(wait, () -> wakeUpScheduled = false);
            }
            return;
        }
        decide(now);
        pacer.onRound(now, loop.nowMillis());
    }

    private void decide(long now) {
        if (owner.isDeposed()) {
            election.onDeposed("a worker reported a later epoch");
            return;
        }
        if (!election.maySendOrders(now)) {
            return;
        }
        owner.onOwnershipExtended(election.ordersAllowedUntil(), election.soleOwnerUntil());
        for (Order order : owner.decide(now)) {
            components
                    .workers()
                    .send(
                            order,
                            ORDER_TIMEOUT_MILLIS,
                            reply -> {
                                if (!stopped) {
                                    components.metrics().recordOrder(order, reply);
                                    owner.onOrderReply(order, reply, loop.nowMillis());
                                }
                            });
        }
        progress.step(now);
        leases.step(now);
    }

    private void tick() {
        if (!stopped) {
            loop.schedule(MAX_ROUND_INTERVAL_MILLIS, this::tick);
        }
    }

    private void feed(
            String table,
            String part,
            long waitMillis,
            long pauseMillis,
            TableFeed.Listener listener,
            boolean snapshotOnly) {
        TableFeed.Options options =
                new TableFeed.Options(table, part, waitMillis, pauseMillis, FEED_TIMEOUT_MILLIS);
        TableFeed feed =
                new TableFeed(loop, components.store(), log, options, listener, snapshotOnly);
        feeds.add(feed);
        feed.start();
    }

    /**
     * Reads the model snapshot of an earlier owner; without it, this owner starts with empty
     * models.
     */
    private void readModelSnapshot() {
        components
                .store()
                .read(
                        RowRange.ofKey(RowNames.DUTIES, RowNames.PART, RowNames.LEARNED_KEY),
                        FEED_TIMEOUT_MILLIS,
                        result -> {
                            if (!stopped) {
                                result.toOptional()
                                        .flatMap(rows -> rows.row(RowNames.LEARNED_KEY))
                                        .ifPresent(this::onModelSnapshotRow);
                            }
                        });
    }

    private void onModelSnapshotRow(StoredRow row) {
        Result<ModelSnapshot> snapshot = ModelSnapshotCodec.decode(row.value());
        snapshot.toOptional().ifPresent(parsed -> owner.onModelSnapshot(parsed, loop.nowMillis()));
        snapshot.failure().ifPresent(failure -> RowLog.logUnreadable(log, row, failure));
    }

    /**
     * Reads the workers that an earlier owner recorded; those that are no longer listed are queried
     * as well.
     */
    private final class FleetRowListener implements TableFeed.Listener {
        @Override
        public void onRow(StoredRow row) {
            Result<WorkerInfo> worker = RowCodec.worker(row);
            if (worker instanceof Result.Ok<WorkerInfo> ok) {
                progress.onFleetRead(ok.value(), row.version());
                if (!leases.isTracked(row.key())) {
                    leases.onRecordedWorker(ok.value(), loop.nowMillis());
                }
            } else {
                RowLog.logUnreadable(log, row, worker.failure().orElseThrow());
            }
        }

        @Override
        public void onRemoved(String key) {
            // Only owners remove these rows.
        }

        @Override
        public void onCaughtUp() {
            leases.onFleetRead();
        }
    }

    /** Reads the progress of jobs, which must be loaded before the jobs themselves. */
    private final class ProgressRowListener implements TableFeed.Listener {
        @Override
        public void onRow(StoredRow row) {
            Result<JobRecord> record = RecordCodec.decode(row.value());
            if (record instanceof Result.Ok<JobRecord> ok) {
                records.put(row.key(), ok.value());
                if (ok.value().state().isFinal()) {
                    owner.onJobEnded(row.key());
                }
                progress.onProgressRead(row.key(), row.version(), ok.value());
            } else {
                jobsWithUnreadableProgress.add(row.key());
                RowLog.logUnreadable(log, row, record.failure().orElseThrow());
            }
        }

        @Override
        public void onRemoved(String key) {
            // Only owners remove progress.
        }

        @Override
        public void onCaughtUp() {
            feed(RowNames.JOBS, RowNames.PART, FEED_WAIT_MILLIS, 0, new JobRowListener(), false);
        }
    }

    /**
     * Reads the jobs that are new to this owner. Jobs of the first read may have been started by an
     * earlier owner.
     */
    private final class JobRowListener implements TableFeed.Listener {
        @Override
        public void onRow(StoredRow row) {
            if (!jobsRead) {
                unprocessedJobRows.put(row.key(), row);
                return;
            }
            addJob(row, JobRecord.NEW, false);
        }

        @Override
        public void onRemoved(String key) {
            // Jobs are removed by their owner after their end.
        }

        @Override
        public void onCurrent(long asOf) {
            jobsReadAsOf = asOf;
        }

        @Override
        public void onCaughtUp() {
            jobsRead = true;
            for (StoredRow row : unprocessedJobRows.values()) {
                JobRecord record = records.get(row.key());
                JobRecord storedRecord = record == null ? JobRecord.NEW : record;
                RowLog.runIsolated(log, row, () -> addJob(row, storedRecord, true));
            }
            unprocessedJobRows.clear();
            records = new HashMap<>();
            feed(
                    RowNames.CANCELS,
                    RowNames.PART,
                    FEED_WAIT_MILLIS,
                    0,
                    new CancelRowListener(),
                    false);
        }
    }

    private void addJob(StoredRow row, JobRecord record, boolean inherited) {
        if (jobsWithUnreadableProgress.contains(row.key())) {
            return;
        }
        Result<StoredJob> entry = RowCodec.job(row, record, components.format());
        if (entry instanceof Result.Ok<StoredJob> ok) {
            progress.onJobRead(row.key(), row.version());
            owner.onJob(ok.value(), inherited, loop.nowMillis(), System.currentTimeMillis());
        } else {
            RowLog.logUnreadable(log, row, entry.failure().orElseThrow());
        }
    }

    /** Reads the cancellations; the end of the first read completes the load. */
    private final class CancelRowListener implements TableFeed.Listener {
        @Override
        public void onRow(StoredRow row) {
            progress.onCancelRead(row.key());
            owner.onCancel(row.key(), loop.nowMillis());
        }

        @Override
        public void onRemoved(String key) {
            // Cancellations are removed by the owner.
        }

        @Override
        public void onCaughtUp() {
            loaded = true;
            log.event(DispatchEvent.OWNER_LOADED)
                    .with("epoch", owner.term().epoch())
                    .with("jobs", owner.metrics(loop.nowMillis()).activeJobs())
                    .with("workers", owner.workerIds().size())
                    .with("millis", loop.nowMillis() - startedAt)
                    .write();
        }
    }

    /** Reads the list of workers. */
    private final class WorkerRowListener implements TableFeed.Listener {
        @Override
        public void onRow(StoredRow row) {
            Result<WorkerInfo> worker = components.format().worker(row);
            if (worker instanceof Result.Ok<WorkerInfo> ok) {
                leases.onWorkerListed(ok.value(), loop.nowMillis());
            } else {
                RowLog.logUnreadable(log, row, worker.failure().orElseThrow());
                leases.onWorkerUnlisted(row.key(), loop.nowMillis());
            }
        }

        @Override
        public void onRemoved(String key) {
            leases.onWorkerUnlisted(key, loop.nowMillis());
        }

        @Override
        public void onCaughtUp() {
            leases.onWorkersRead();
        }
    }

    private void logDecision(Decision decision) {
        components.metrics().recordDecision(decision);
        EventLog.Line line =
                log.event(DispatchEvent.DECISION_MADE)
                        .with("kind", decision.kind())
                        .with("subject", decision.subject())
                        .with("epoch", owner.term().epoch());
        if (!decision.worker().isEmpty()) {
            line.with("worker", decision.worker());
        }
        line.withPairs(decision.detail()).write();
    }

    /**
     * Returns the numbers of jobs that have not started, or empty if jobs that were accepted may be
     * missing, because they have not been read for some time or the state is not loaded yet.
     */
    Optional<PendingCounts> pendingCounts() {
        boolean outdated = loop.nowMillis() - jobsReadAsOf > PublishedCounts.MAX_AGE_MILLIS;
        return loaded && !outdated
                ? Optional.of(new PendingCounts(owner.term().epoch(), owner.pendingJobsByQueue()))
                : Optional.empty();
    }
}
