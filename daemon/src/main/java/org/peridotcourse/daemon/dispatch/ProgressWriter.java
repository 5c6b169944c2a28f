package org.peridotcourse.daemon.dispatch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.ring.EventLoop;
import org.peridotcourse.dispatch.DispatchOwner;
import org.peridotcourse.dispatch.JobRecord;
import org.peridotcourse.dispatch.RecordBatch;
import org.peridotcourse.dispatch.WorkerInfo;

/**
 * Stores the progress of jobs, one transaction at a time, each under the condition that no later
 * owner exists. A transaction that the store rejects as invalid is split, so that one job does not
 * delay others. Confined to the event loop.
 */
final class ProgressWriter {
    private static final long TIMEOUT_MILLIS = 1_200;
    private static final long RETRY_MILLIS = 60;

    /** Pause before a record that was rejected in a transaction of its own is retried. */
    private static final long REJECTED_PAUSE_MILLIS = 3_000;

    private static final int OTHER_ROW_KINDS = 3;

    /**
     * Largest size of the records of one transaction; the store accepts 1 MB, and base64 adds a
     * third.
     */
    private static final int MAX_TRANSACTION_BYTES = 600_000;

    private final EventLoop loop;
    private final HostComponents components;
    private final EventLog log;
    private final DispatchOwner owner;
    private final Consumer<String> onDeposed;
    private final FencedWriter fencedWriter;
    private final FleetRowWriter fleet;
    private final ProgressCleaner cleaner;
    private final WithdrawalCleaner withdrawals;
    private final ModelSnapshotRowWriter modelSnapshot;
    private final Map<String, Long> versions = new HashMap<>();
    private final Set<String> cancelledJobs = new HashSet<>();

    /** Jobs whose records were rejected, with the time of the next attempt. */
    private final Map<String, Long> retryRejectedAt = new HashMap<>();

    private Runnable storedListener = () -> {};

    /**
     * Largest number of jobs of the next transaction; one after a rejection, to isolate the invalid
     * record.
     */
    private int maxBatchJobs = RecordBatch.MAX_JOBS;

    private int nextRowKind;
    private long nextWriteAt;
    private boolean writing;
    private boolean stopped;

    ProgressWriter(
            HostComponents components,
            DispatchOwner owner,
            long epochVersion,
            Consumer<String> onDeposed) {
        this.components = components;
        this.loop = components.loop();
        this.log = components.log();
        this.owner = owner;
        this.onDeposed = onDeposed;
        this.fencedWriter =
                new FencedWriter(components, owner.term().epoch(), epochVersion, onDeposed);
        this.fleet = new FleetRowWriter(fencedWriter);
        this.modelSnapshot =
                new ModelSnapshotRowWriter(
                        fencedWriter, components.settings().limits().maxRowBytes());
        this.cleaner =
                new ProgressCleaner(
                        fencedWriter,
                        components.settings().limits().stateRetentionMillis(),
                        this::onRemoved);
        this.withdrawals =
                new WithdrawalCleaner(components, owner.term().epoch(), epochVersion, onDeposed);
    }

    void onStored(Runnable listener) {
        storedListener = listener;
    }

    void stop() {
        stopped = true;
        fencedWriter.stop();
        withdrawals.stop();
    }

    void onProgressRead(String job, long version, JobRecord record) {
        versions.merge(job, version, Math::max);
        if (record.state().isFinal()) {
            cleaner.onEnded(job, record.endedAtMillis(), version);
        }
    }

    /** Called when a job was read; a job row and its first progress row have the same version. */
    void onJobRead(String job, long version) {
        cleaner.onJobRead(job, version);
        versions.merge(job, version, Math::max);
    }

    void onCancelRead(String job) {
        cancelledJobs.add(job);
    }

    void onFleetRead(WorkerInfo worker, long version) {
        fleet.onRead(worker, version);
    }

    private void onRemoved(String job) {
        versions.remove(job);
        owner.onJobDeleted(job);
    }

    /** Starts pending writes; progress and the other rows do not wait for each other. */
    void step(long now) {
        if (stopped) {
            return;
        }
        if (!writing && now >= nextWriteAt) {
            storeProgress(now);
        }
        if (fencedWriter.isIdle(now)) {
            writeOtherRows(now);
        }
        withdrawals.step(now, System.currentTimeMillis());
    }

    /**
     * Writes the kinds of other rows by round robin, so that a rejected one does not delay the
     * rest.
     */
    private void writeOtherRows(long now) {
        nextRowKind = (nextRowKind + 1) % OTHER_ROW_KINDS;
        switch (nextRowKind) {
            case 0 -> fleet.step(owner::workerInfos, now);
            case 1 -> modelSnapshot.step(owner::modelSnapshot, now);
            default -> cleaner.step(now, System.currentTimeMillis());
        }
    }

    private void storeProgress(long now) {
        retryRejectedAt.values().removeIf(until -> until <= now);
        RecordBatch batch =
                owner.takeChanges(
                        maxBatchJobs,
                        retryRejectedAt::containsKey,
                        now,
                        System.currentTimeMillis());
        if (!batch.changes().isEmpty()) {
            write(batch, now);
        } else if (!batch.isEmpty()) {
            owner.onStored(batch);
            storedListener.run();
        }
    }

    private void write(RecordBatch batch, long now) {
        List<byte[]> values = new ArrayList<>();
        int bytes = 0;
        for (RecordBatch.Change change : batch.changes()) {
            byte[] value = encode(change);
            bytes += value.length;
            if (!values.isEmpty() && bytes > MAX_TRANSACTION_BYTES) {
                break;
            }
            values.add(value);
        }
        owner.onNotStored(batch.tail(values.size()));
        send(batch.head(values.size()), values, now);
    }

    /**
     * Encodes a record; checkpoints only save work, so they are left out of a record that does not
     * fit a row.
     */
    private byte[] encode(RecordBatch.Change change) {
        byte[] full = RecordCodec.encode(change.record());
        if (full.length <= components.settings().limits().maxRowBytes()) {
            return full;
        }
        byte[] shortened = RecordCodec.encode(change.record().withoutCheckpoints());
        log.event(DispatchEvent.RECORD_SHORTENED)
                .with("job", change.job())
                .with("bytes", full.length)
                .with("stored", shortened.length)
                .write();
        return shortened;
    }

    private void send(RecordBatch batch, List<byte[]> values, long now) {
        RowWrite.Builder write = fencedWriter.begin();
        Map<String, byte[]> sent = new HashMap<>();
        for (int i = 0; i < values.size(); i++) {
            RecordBatch.Change change = batch.changes().get(i);
            String job = change.job();
            sent.put(job, values.get(i));
            write.expect(RowNames.PROGRESS, job, versions.getOrDefault(job, 0L));
            write.put(RowNames.PROGRESS, job, values.get(i));
            if (change.record().state().isFinal()) {
                write.delete(RowNames.JOBS, job);
                if (cancelledJobs.contains(job)) {
                    write.delete(RowNames.CANCELS, job);
                }
            }
        }
        writing = true;
        components
                .store()
                .write(
                        write.build(),
                        TIMEOUT_MILLIS,
                        outcome -> {
                            writing = false;
                            if (!stopped) {
                                onOutcome(batch, sent, now, outcome);
                            }
                        });
    }

    private void onOutcome(
            RecordBatch batch, Map<String, byte[]> values, long sentAt, RowOutcome outcome) {
        long now = loop.nowMillis();
        if (outcome instanceof RowOutcome.Written written) {
            components.metrics().recordProgressWrite(now - sentAt);
            batch.changes().forEach(change -> versions.put(change.job(), written.version()));
            confirm(batch, written.version(), now - sentAt);
        } else if (outcome instanceof RowOutcome.Conflict conflict) {
            onConflict(batch, values, conflict, now - sentAt);
        } else {
            onFailure(batch, values, outcome.failure().orElseThrow(), now);
        }
    }

    private void onFailure(
            RecordBatch batch, Map<String, byte[]> values, RowStoreFailure failure, long now) {
        log.event(DispatchEvent.PROGRESS_DELAYED)
                .with("jobs", batch.changes().size())
                .with("reason", failure.code())
                .with("epoch", owner.term().epoch())
                .write();
        owner.onNotStored(batch);
        if (failure != RowStoreFailure.MISUNDERSTOOD) {
            nextWriteAt = now + RETRY_MILLIS;
        } else if (batch.changes().size() > 1) {
            maxBatchJobs = 1;
        } else {
            String job = batch.changes().get(0).job();
            retryRejectedAt.put(job, now + REJECTED_PAUSE_MILLIS);
            log.event(DispatchEvent.RECORD_REFUSED)
                    .with("job", job)
                    .with("bytes", values.get(job).length)
                    .with("epoch", owner.term().epoch())
                    .write();
        }
    }

    private void confirm(RecordBatch batch, long version, long millis) {
        maxBatchJobs = Math.min(RecordBatch.MAX_JOBS, 2 * maxBatchJobs);
        for (RecordBatch.Change change : batch.changes()) {
            if (change.record().state().isFinal()) {
                cleaner.onEnded(
                        change.job(), change.record().endedAtMillis(), versions.get(change.job()));
                cancelledJobs.remove(change.job());
            }
        }
        owner.onStored(batch);
        storedListener.run();
        log.event(DispatchEvent.PROGRESS_STORED)
                .with("jobs", batch.changes().size())
                .with("version", version)
                .with("millis", millis)
                .with("epoch", owner.term().epoch())
                .write();
    }

    /**
     * Handles rows whose versions differ from the expected ones. Either a later owner exists, or an
     * earlier attempt without an answer took effect, with this content or an older one.
     */
    private void onConflict(
            RecordBatch batch,
            Map<String, byte[]> values,
            RowOutcome.Conflict conflict,
            long millis) {
        if (fencedWriter.isDeposedBy(conflict)) {
            onDeposed.accept("the epoch row has another version");
            return;
        }
        boolean unchanged = true;
        long version = 0;
        for (RecordBatch.Change change : batch.changes()) {
            Optional<StoredRow> row = conflict.row(RowNames.PROGRESS, change.job());
            unchanged &=
                    row.isPresent() && Arrays.equals(row.get().value(), values.get(change.job()));
            long storedVersion = row.map(StoredRow::version).orElse(0L);
            version = Math.max(version, storedVersion);
            versions.put(change.job(), storedVersion);
        }
        if (unchanged) {
            confirm(batch, version, millis);
        } else {
            owner.onNotStored(batch);
        }
    }
}
