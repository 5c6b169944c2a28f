package org.peridotcourse.daemon.dispatch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
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
 * owner exists. Confined to the loop.
 */
final class ProgressWriter {
    private static final long TIMEOUT_MILLIS = 1_200;
    private static final long RETRY_MILLIS = 60;
    private static final long PENDING_PERIOD_MILLIS = 500;
    private static final long CLEANUP_PERIOD_MILLIS = 5_000;

    /** Ended jobs are kept this much longer than callers may ask for them. */
    private static final long KEEP_MARGIN_MILLIS = 30_000;

    private static final int CLEANUP_ROWS = 40;

    private final EventLoop loop;
    private final HostParts parts;
    private final EventLog log;
    private final DispatchOwner owner;
    private final long epochVersion;
    private final Consumer<String> deposed;
    private final Map<String, Long> versions = new HashMap<>();
    private final Set<String> cancelled = new HashSet<>();
    private final Map<String, Long> endedAt = new LinkedHashMap<>();

    private Runnable storedListener = () -> {};
    private byte[] publishedPending = new byte[0];
    private Set<String> recordedFleet = Set.of();
    private long pendingAt;
    private long cleanupAt;
    private long notBefore;
    private boolean writing;
    private boolean stopped;

    ProgressWriter(
            HostParts parts, DispatchOwner owner, long epochVersion, Consumer<String> deposed) {
        this.parts = parts;
        this.loop = parts.loop();
        this.log = parts.log();
        this.owner = owner;
        this.epochVersion = epochVersion;
        this.deposed = deposed;
    }

    void onStored(Runnable listener) {
        storedListener = listener;
    }

    void stop() {
        stopped = true;
    }

    void onProgressRead(String job, long version, JobRecord record) {
        versions.merge(job, version, Math::max);
        if (record.state().isFinal()) {
            endedAt.put(job, record.endedAtMillis());
        }
    }

    /** A job and its first progress have the same version. */
    void onJobKnown(String job, long version) {
        versions.merge(job, version, Math::max);
    }

    void onCancelKnown(String job) {
        cancelled.add(job);
    }

    void onFleetRead(List<WorkerInfo> workers, long version) {
        Set<String> ids = new HashSet<>();
        workers.forEach(worker -> ids.add(worker.id()));
        recordedFleet = ids;
    }

    /** Writes what is to be written, unless a write is under way. */
    void step(long now) {
        if (writing || stopped || now < notBefore) {
            return;
        }
        RecordBatch batch = owner.takeChanges(now, System.currentTimeMillis());
        if (!batch.changes().isEmpty()) {
            write(batch, now);
            return;
        }
        if (!batch.isEmpty()) {
            owner.onStored(batch);
            storedListener.run();
        }
        if (recordFleet()) {
            return;
        }
        if (now - pendingAt >= PENDING_PERIOD_MILLIS) {
            pendingAt = now;
            publishPending();
        }
        if (!writing && now - cleanupAt >= CLEANUP_PERIOD_MILLIS) {
            cleanupAt = now;
            cleanUp();
        }
    }

    private RowWrite.Builder guarded() {
        return RowWrite.builder(Rows.PART).expect(Rows.DUTIES, Rows.EPOCH_KEY, epochVersion);
    }

    private void write(RecordBatch batch, long now) {
        RowWrite.Builder write = guarded();
        Map<String, byte[]> values = new HashMap<>();
        for (RecordBatch.Change change : batch.changes()) {
            String job = change.job();
            byte[] value = RowCodec.record(change.record());
            values.put(job, value);
            write.expect(Rows.PROGRESS, job, versions.getOrDefault(job, 0L));
            write.put(Rows.PROGRESS, job, value);
            if (change.record().state().isFinal()) {
                write.delete(Rows.JOBS, job);
                if (cancelled.contains(job)) {
                    write.delete(Rows.CANCELS, job);
                }
            }
        }
        writing = true;
        parts.store()
                .write(
                        write.build(),
                        TIMEOUT_MILLIS,
                        outcome -> {
                            writing = false;
                            if (!stopped) {
                                onOutcome(batch, values, now, outcome);
                            }
                        });
    }

    private void onOutcome(
            RecordBatch batch, Map<String, byte[]> values, long sentAt, RowOutcome outcome) {
        long now = loop.now();
        if (outcome instanceof RowOutcome.Written written) {
            parts.metrics().storedMillis(now - sentAt);
            batch.changes().forEach(change -> versions.put(change.job(), written.version()));
            confirm(batch, written.version(), now - sentAt);
        } else if (outcome instanceof RowOutcome.Conflict conflict) {
            onConflict(batch, values, conflict, now - sentAt);
        } else {
            StoreTrouble trouble = outcome.trouble().orElseThrow();
            log.event(DispatchEvent.NOT_STORED)
                    .with("jobs", batch.changes().size())
                    .with("reason", trouble.code())
                    .with("epoch", owner.term().epoch())
                    .write();
            owner.onNotStored(batch);
            notBefore = now + RETRY_MILLIS;
        }
    }

    private void confirm(RecordBatch batch, long version, long millis) {
        for (RecordBatch.Change change : batch.changes()) {
            if (change.record().state().isFinal()) {
                endedAt.put(change.job(), change.record().endedAtMillis());
                cancelled.remove(change.job());
            }
        }
        owner.onStored(batch);
        storedListener.run();
        log.event(DispatchEvent.STORED)
                .with("jobs", batch.changes().size())
                .with("version", version)
                .with("millis", millis)
                .with("epoch", owner.term().epoch())
                .write();
    }

    /**
     * Rows differ from what was expected. Either a later owner exists, or an earlier try without an
     * answer took effect, with this content or an older one.
     */
    private void onConflict(
            RecordBatch batch,
            Map<String, byte[]> values,
            RowOutcome.Conflict conflict,
            long millis) {
        Optional<StoredRow> epoch = conflict.row(Rows.DUTIES, Rows.EPOCH_KEY);
        if (epoch.isEmpty() || epoch.get().version() != epochVersion) {
            deposed.accept("the epoch row has another version");
            return;
        }
        boolean same = true;
        long version = 0;
        for (RecordBatch.Change change : batch.changes()) {
            Optional<StoredRow> row = conflict.row(Rows.PROGRESS, change.job());
            same &= row.isPresent() && Arrays.equals(row.get().value(), values.get(change.job()));
            long present = row.map(StoredRow::version).orElse(0L);
            version = Math.max(version, present);
            versions.put(change.job(), present);
        }
        if (same) {
            confirm(batch, version, millis);
        } else {
            owner.onNotStored(batch);
        }
    }

    /** Records the workers that may run tasks; true if a write is under way. */
    private boolean recordFleet() {
        List<WorkerInfo> workers = owner.fleet();
        Set<String> ids = new HashSet<>();
        workers.forEach(worker -> ids.add(worker.id()));
        if (ids.equals(recordedFleet) || ids.isEmpty()) {
            return false;
        }
        RowWrite write =
                guarded().put(Rows.DUTIES, Rows.FLEET_KEY, RowCodec.fleet(workers)).build();
        writeAside(write, () -> recordedFleet = ids);
        return true;
    }

    private void publishPending() {
        byte[] value = RowCodec.pending(owner.pending());
        if (Arrays.equals(value, publishedPending)) {
            return;
        }
        RowWrite write = guarded().put(Rows.DUTIES, Rows.PENDING_KEY, value).build();
        writeAside(write, () -> publishedPending = value);
    }

    /** Removes the progress of jobs that ended long ago. */
    private void cleanUp() {
        long keep = parts.settings().limits().stateMillis() + KEEP_MARGIN_MILLIS;
        long wallNow = System.currentTimeMillis();
        List<String> old = new ArrayList<>();
        endedAt.forEach(
                (job, at) -> {
                    if (wallNow - at > keep && old.size() < CLEANUP_ROWS) {
                        old.add(job);
                    }
                });
        if (old.isEmpty()) {
            return;
        }
        RowWrite.Builder write = guarded();
        for (String job : old) {
            write.delete(Rows.PROGRESS, job).delete(Rows.CANCELS, job);
        }
        writeAside(
                write.build(),
                () ->
                        old.forEach(
                                job -> {
                                    endedAt.remove(job);
                                    versions.remove(job);
                                    owner.forget(job);
                                }));
    }

    /** Writes something that may be repeated without harm. */
    private void writeAside(RowWrite write, Runnable done) {
        writing = true;
        parts.store()
                .write(
                        write,
                        TIMEOUT_MILLIS,
                        outcome -> {
                            writing = false;
                            if (outcome instanceof RowOutcome.Written) {
                                done.run();
                            } else if (outcome instanceof RowOutcome.Conflict) {
                                deposed.accept("the epoch row has another version");
                            } else {
                                notBefore = loop.now() + RETRY_MILLIS;
                            }
                        });
    }
}
