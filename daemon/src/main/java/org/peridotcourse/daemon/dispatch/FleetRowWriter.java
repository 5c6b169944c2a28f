package org.peridotcourse.daemon.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.peridotcourse.dispatch.WorkerInfo;

/**
 * Stores a row for each worker that may run tasks of this owner, so that the next owner also
 * queries workers that are no longer listed. Only differences are written. Confined to the event
 * loop.
 */
final class FleetRowWriter {
    /** The largest number of rows of one write, below the store's limit for a transaction. */
    private static final int ROWS_PER_WRITE = 90;

    /** Pause between comparisons, which bounds the cost of workers that join and leave. */
    private static final long PERIOD_MILLIS = 200;

    private final FencedWriter writer;

    /** Addresses and start times of workers by id, as stored. */
    private final Map<String, WorkerInstance> storedWorkers = new HashMap<>();

    private long lastComparedAt;

    /** The address and the start time of a worker process, which are needed to call it. */
    private record WorkerInstance(String address, long startedAtMillis) {
        static WorkerInstance of(WorkerInfo worker) {
            return new WorkerInstance(worker.address(), worker.startedAtMillis());
        }
    }

    FleetRowWriter(FencedWriter writer) {
        this.writer = writer;
    }

    /** Adds a row that an earlier owner stored. */
    void onRead(WorkerInfo worker) {
        storedWorkers.put(worker.id(), WorkerInstance.of(worker));
    }

    /** Writes some of the differences if the period has elapsed. */
    void step(Supplier<List<WorkerInfo>> workers, long now) {
        if (now - lastComparedAt < PERIOD_MILLIS) {
            return;
        }
        lastComparedAt = now;
        List<WorkerInfo> currentWorkers = workers.get();
        List<WorkerInfo> changed = new ArrayList<>();
        Set<String> currentIds = new HashSet<>();
        for (WorkerInfo worker : currentWorkers) {
            currentIds.add(worker.id());
            boolean differs = !WorkerInstance.of(worker).equals(storedWorkers.get(worker.id()));
            if (differs && changed.size() < ROWS_PER_WRITE) {
                changed.add(worker);
            }
        }
        List<String> removedIds = new ArrayList<>();
        for (String id : storedWorkers.keySet()) {
            if (!currentIds.contains(id) && changed.size() + removedIds.size() < ROWS_PER_WRITE) {
                removedIds.add(id);
            }
        }
        if (changed.isEmpty() && removedIds.isEmpty()) {
            return;
        }
        RowWrite.Builder write = writer.begin();
        changed.forEach(worker -> write.put(RowNames.FLEET, worker.id(), RowCodec.worker(worker)));
        removedIds.forEach(id -> write.delete(RowNames.FLEET, id));
        writer.send("fleet", write.build(), () -> confirm(changed, removedIds));
    }

    private void confirm(List<WorkerInfo> changed, List<String> removedIds) {
        changed.forEach(worker -> storedWorkers.put(worker.id(), WorkerInstance.of(worker)));
        removedIds.forEach(storedWorkers::remove);
    }
}
