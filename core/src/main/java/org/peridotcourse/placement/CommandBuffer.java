package org.peridotcourse.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.peridotcourse.TaskId;

/**
 * Collects commands per worker and computes the leases that they grant.
 *
 * <p>The end of a lease is recorded before its command can be sent, so that the record covers
 * commands whose answers are lost. Confined to one thread.
 */
final class CommandBuffer {
    private final OwnerState state;
    private final Map<Worker, Batch> batches = new LinkedHashMap<>();
    private final Map<Long, SentRequest> outstanding = new HashMap<>();
    private long lastNumber;

    CommandBuffer(OwnerState state) {
        this.state = state;
    }

    /** A command and the task that it concerns, null for none. */
    record CommandItem(WorkerCommand command, Task task, int attempt) {}

    /** The commands collected for one worker. */
    private static final class Batch {
        final long number;
        final List<CommandItem> items = new ArrayList<>();

        Batch(long number) {
            this.number = number;
        }
    }

    /** A request that has not been answered. */
    record SentRequest(Worker worker, List<CommandItem> items) {}

    void clear() {
        batches.clear();
        outstanding.clear();
    }

    /** Starts a task whose {@code starting} row is committed. */
    void start(long nowMillis, Task task) {
        Worker worker = task.worker;
        long leaseEndMillis =
                Math.min(nowMillis + OwnerSettings.START_LEASE_MILLIS, state.lease.holdEndMillis());
        worker.batchLeaseBoundMillis = Math.max(worker.batchLeaseBoundMillis, leaseEndMillis);
        worker.serviceLeaseBoundMillis = Math.max(worker.serviceLeaseBoundMillis, leaseEndMillis);
        state.starts++;
        task.startRequest =
                add(
                        worker,
                        new WorkerCommand.Start(
                                task.id(),
                                task.attempt,
                                worker.clock.toRemote(leaseEndMillis),
                                task.job.workload(),
                                state.isLatencyCritical(task.job),
                                task.job.size(),
                                task.publishedCheckpoint(),
                                task.job.row.spec().payload()),
                        task);
    }

    /** Extends the leases of all tasks on a worker. */
    void renew(long nowMillis, Worker worker) {
        // The margin covers the clock drift of one report interval after the worker's clock was
        // read. A lease computed from an older reading could last longer on the worker than here.
        long leaseStartMillis =
                Math.min(nowMillis, worker.clock.receivedMillis() + state.settings.reportMillis());
        long batchLeaseEndMillis =
                Math.min(
                        leaseStartMillis + OwnerSettings.BATCH_LEASE_MILLIS,
                        state.lease.holdEndMillis());
        long serviceLeaseEndMillis = nowMillis + OwnerSettings.SERVICE_LEASE_MILLIS;
        worker.batchLeaseBoundMillis = Math.max(worker.batchLeaseBoundMillis, batchLeaseEndMillis);
        worker.serviceLeaseBoundMillis =
                Math.max(worker.serviceLeaseBoundMillis, serviceLeaseEndMillis);
        worker.renewRequest =
                add(
                        worker,
                        new WorkerCommand.Renew(
                                worker.clock.toRemote(batchLeaseEndMillis),
                                worker.clock.toRemote(serviceLeaseEndMillis)),
                        null);
    }

    /** Stops a task of this owner; the answer confirms that the attempt has ended. */
    void stop(Task task) {
        task.controlRequest =
                add(task.worker, new WorkerCommand.Stop(task.id(), task.attempt, false), task);
    }

    /**
     * Stops an attempt that has no row, or whose outcome is recorded, and removes it from the
     * reports.
     */
    void release(Worker worker, TaskId task, int attempt) {
        add(worker, new WorkerCommand.Stop(task, attempt, true), null);
    }

    void checkpoint(Task task) {
        task.controlRequest =
                add(task.worker, new WorkerCommand.Checkpoint(task.id(), task.attempt), task);
    }

    void throttle(Task task, int percent) {
        task.throttlePercent = percent;
        add(task.worker, new WorkerCommand.Throttle(task.id(), task.attempt, percent), null);
    }

    private long add(Worker worker, WorkerCommand command, Task task) {
        Batch batch = batches.computeIfAbsent(worker, key -> new Batch(++lastNumber));
        batch.items.add(new CommandItem(command, task, task == null ? 0 : task.attempt));
        return batch.number;
    }

    /** Sends one request per worker. Without a valid lease only renewals are sent. */
    void flush(long nowMillis) {
        if (batches.isEmpty()) {
            return;
        }
        boolean leaseHeld = state.isLeaseHeld(nowMillis);
        batches.forEach((worker, batch) -> emit(worker, batch, leaseHeld));
        batches.clear();
    }

    private void emit(Worker worker, Batch batch, boolean leaseHeld) {
        if (!leaseHeld) {
            batch.items.removeIf(item -> !(item.command() instanceof WorkerCommand.Renew));
        }
        if (batch.items.isEmpty()) {
            return;
        }
        outstanding.put(batch.number, new SentRequest(worker, batch.items));
        List<WorkerCommand> commands = new ArrayList<>(batch.items.size());
        batch.items.forEach(item -> commands.add(item.command()));
        state.actions.add(
                new PlacementAction.SendCommands(
                        worker.id,
                        batch.number,
                        state.lease.epoch(),
                        worker.clock.remoteMillis(),
                        commands));
    }

    /** Removes and returns the request that was answered or failed. */
    Optional<SentRequest> removeOutstanding(long requestNumber) {
        return Optional.ofNullable(outstanding.remove(requestNumber));
    }
}
