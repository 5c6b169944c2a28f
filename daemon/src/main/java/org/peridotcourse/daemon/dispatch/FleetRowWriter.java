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
 * Keeps a row for each worker that may run tasks of this owner, so that a successor asks also those
 * that are no longer listed. Only differences are written. Confined to the loop.
 */
final class FleetRowWriter {
    /** Rows of one write, well below the store's bound for a transaction. */
    private static final int ROWS_PER_WRITE = 90;

    /** Pause between comparisons, so that workers which come and go cost little. */
    private static final long PERIOD_MILLIS = 200;

    private final FencedWriter writer;

    /** Addresses and births by id, as stored. */
    private final Map<String, WorkerInstance> storedWorkers = new HashMap<>();

    private long lastComparedAt;

    /** What must be known of a worker to call it. */
    private record WorkerInstance(String address, long startedAtMillis) {
        static WorkerInstance of(WorkerInfo worker) {
            return new WorkerInstance(worker.address(), worker.bornMillis());
        }
    }

    FleetRowWriter(FencedWriter writer) {
        this.writer = writer;
    }

    /** Takes a row that an earlier owner left. */
    void onRead(WorkerInfo worker) {
        storedWorkers.put(worker.id(), WorkerInstance.of(worker));
    }

    /** Writes some of the differences, if it is time. */
    void step(Supplier<List<WorkerInfo>> workers, long now) {
        if (now - lastComparedAt < PERIOD_MILLIS) {
            return;
        }
        lastComparedAt = now;
        List<WorkerInfo> fleet = workers.get();
        List<WorkerInfo> changed = new ArrayList<>();
        Set<String> present = new HashSet<>();
        for (WorkerInfo worker : fleet) {
            present.add(worker.id());
            boolean differs = !WorkerInstance.of(worker).equals(storedWorkers.get(worker.id()));
            if (differs && changed.size() < ROWS_PER_WRITE) {
                changed.add(worker);
            }
        }
        List<String> gone = new ArrayList<>();
        for (String id : storedWorkers.keySet()) {
            if (!present.contains(id) && changed.size() + gone.size() < ROWS_PER_WRITE) {
                gone.add(id);
            }
        }
        if (changed.isEmpty() && gone.isEmpty()) {
            return;
        }
        RowWrite.Builder write = writer.begin();
        changed.forEach(worker -> write.put(RowNames.FLEET, worker.id(), RowCodec.worker(worker)));
        gone.forEach(id -> write.delete(RowNames.FLEET, id));
        writer.send("fleet", write.build(), () -> confirm(changed, gone));
    }

    private void confirm(List<WorkerInfo> changed, List<String> gone) {
        changed.forEach(worker -> storedWorkers.put(worker.id(), WorkerInstance.of(worker)));
        gone.forEach(storedWorkers::remove);
    }
}
