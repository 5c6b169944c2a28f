package org.peridotcourse.daemon.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.peridotcourse.dispatch.WorkerInfo;

/**
 * Stores a row for each worker that may run tasks of this owner, so that the next owner also
 * queries workers that are no longer listed. Only differences are written, each on the condition
 * that the row is as it was last known, since a write without an answer may be executed after later
 * ones. Confined to the event loop.
 */
final class FleetRowWriter {
    /**
     * The largest number of rows of one write; the condition and the row of each worker must fit
     * one transaction.
     */
    private static final int ROWS_PER_WRITE = 49;

    /** Pause between comparisons, which bounds the cost of workers that join and leave. */
    private static final long PERIOD_MILLIS = 200;

    private final FencedWriter writer;
    private final Map<String, StoredWorker> storedWorkers = new HashMap<>();
    private long nextComparisonAt;

    /** The address and the start time of a worker process, which are needed to call it. */
    private record WorkerInstance(String address, long startedAtMillis) {
        static WorkerInstance of(WorkerInfo worker) {
            return new WorkerInstance(worker.address(), worker.startedAtMillis());
        }
    }

    /**
     * What is known about the row of a worker.
     *
     * @param instance the stored worker; empty while a write without an answer may change the row
     *     or remove it, so that the row is written again and the late write fails
     * @param version the last known version of the row, 0 if there was none
     */
    private record StoredWorker(Optional<WorkerInstance> instance, long version) {
        static final StoredWorker NONE = new StoredWorker(Optional.empty(), 0);

        StoredWorker inDoubt() {
            return new StoredWorker(Optional.empty(), version);
        }
    }

    FleetRowWriter(FencedWriter writer) {
        this.writer = writer;
    }

    /** Adds a row that an earlier owner stored. */
    void onRead(WorkerInfo worker, long version) {
        storedWorkers.put(worker.id(), stored(worker, version));
    }

    private static StoredWorker stored(WorkerInfo worker, long version) {
        return new StoredWorker(Optional.of(WorkerInstance.of(worker)), version);
    }

    /** Writes some of the differences if the period has elapsed. */
    void step(Supplier<List<WorkerInfo>> workers, long now) {
        if (now < nextComparisonAt) {
            return;
        }
        nextComparisonAt = now + PERIOD_MILLIS;
        List<WorkerInfo> currentWorkers = workers.get();
        List<WorkerInfo> changed = new ArrayList<>();
        Set<String> currentIds = new HashSet<>();
        for (WorkerInfo worker : currentWorkers) {
            currentIds.add(worker.id());
            if (changed.size() < ROWS_PER_WRITE && !isStored(worker)) {
                changed.add(worker);
            }
        }
        List<String> removedIds = new ArrayList<>();
        for (String id : storedWorkers.keySet()) {
            if (!currentIds.contains(id) && changed.size() + removedIds.size() < ROWS_PER_WRITE) {
                removedIds.add(id);
            }
        }
        if (!changed.isEmpty() || !removedIds.isEmpty()) {
            write(changed, removedIds);
        }
    }

    private boolean isStored(WorkerInfo worker) {
        return storedWorkers
                .getOrDefault(worker.id(), StoredWorker.NONE)
                .instance()
                .equals(Optional.of(WorkerInstance.of(worker)));
    }

    private void write(List<WorkerInfo> changed, List<String> removedIds) {
        RowWrite.Builder write = writer.begin();
        for (WorkerInfo worker : changed) {
            expect(write, worker.id());
            write.put(RowNames.FLEET, worker.id(), RowCodec.worker(worker));
        }
        for (String id : removedIds) {
            expect(write, id);
            write.delete(RowNames.FLEET, id);
        }
        writer.send(
                "fleet",
                write.build(),
                version -> confirm(changed, removedIds, version),
                conflict -> onConflict(changed, removedIds, conflict));
    }

    private void expect(RowWrite.Builder write, String id) {
        StoredWorker stored = storedWorkers.getOrDefault(id, StoredWorker.NONE);
        write.expect(RowNames.FLEET, id, stored.version());
        storedWorkers.put(id, stored.inDoubt());
    }

    private void confirm(List<WorkerInfo> changed, List<String> removedIds, long version) {
        changed.forEach(worker -> onRead(worker, version));
        removedIds.forEach(storedWorkers::remove);
        if (changed.size() + removedIds.size() == ROWS_PER_WRITE) {
            nextComparisonAt = 0;
        }
    }

    /** Adopts the current rows; an earlier write without an answer has taken effect. */
    private void onConflict(
            List<WorkerInfo> changed, List<String> removedIds, RowOutcome.Conflict conflict) {
        List<String> ids = new ArrayList<>(removedIds);
        changed.forEach(worker -> ids.add(worker.id()));
        for (String id : ids) {
            Optional<StoredRow> row = conflict.row(RowNames.FLEET, id);
            if (row.isEmpty()) {
                storedWorkers.remove(id);
            } else {
                long version = row.get().version();
                StoredWorker unreadable = new StoredWorker(Optional.empty(), version);
                storedWorkers.put(
                        id,
                        RowCodec.worker(row.get())
                                .toOptional()
                                .map(worker -> stored(worker, version))
                                .orElse(unreadable));
            }
        }
    }
}
