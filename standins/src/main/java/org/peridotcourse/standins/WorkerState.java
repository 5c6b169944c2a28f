package org.peridotcourse.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.peridotcourse.Resources;

/**
 * The tasks, leases and epochs of the worker stand-in, and its record of task events.
 *
 * <p>All times are readings of the worker's own clock. This class is thread-safe.
 */
final class WorkerState {
    /** Long enough for an owner to receive the end of each task, even after a change of owner. */
    private static final long ENDED_TASK_RETENTION_MILLIS = 600_000;

    private final Resources capacity;
    private final long usageLagMillis;
    private final Map<String, Long> epochs = new HashMap<>();
    private final Map<String, WorkerTask> tasks = new LinkedHashMap<>();
    private final Map<String, Long> highestAttempts = new HashMap<>();
    private final Deque<WorkerUsage> usages = new ArrayDeque<>();
    private final ArrayNode record = Json.MAPPER.createArrayNode();
    private boolean failEveryTask;
    private double noiseFactor = 1;

    WorkerState(Resources capacity, long usageLagMillis) {
        this.capacity = capacity;
        this.usageLagMillis = usageLagMillis;
        usages.add(new WorkerUsage(0, Map.of(), Map.of()));
    }

    /**
     * Accepts the epoch of a group unless a higher one has been accepted before.
     *
     * @param group the group
     * @param epoch the sender's epoch
     * @return the higher epoch, empty if the sender's is accepted
     */
    synchronized Optional<Long> higherEpoch(String group, long epoch) {
        long acceptedEpoch = epochs.getOrDefault(group, 0L);
        if (acceptedEpoch > epoch) {
            return Optional.of(acceptedEpoch);
        }
        epochs.put(group, epoch);
        return Optional.empty();
    }

    /**
     * Starts a task.
     *
     * @param group the group of the owner
     * @param command the command
     * @param doneMillis the progress in the checkpoint
     * @param nowMillis the current time
     * @return the reason for a refusal, empty if the task was started
     */
    synchronized Optional<String> start(
            String group, JsonNode command, long doneMillis, long nowMillis) {
        advance(nowMillis);
        WorkerTask task = new WorkerTask(group, command, doneMillis, nowMillis);
        WorkerTask current = tasks.get(task.id());
        if (current != null && current.isRunning()) {
            return Optional.of("already-running");
        }
        if (task.attempt() <= highestAttempts.getOrDefault(task.id(), -1L)) {
            return Optional.of("old-attempt");
        }
        if (Json.number(command, "leaseUntil") <= nowMillis) {
            return Optional.of("lease-expired");
        }
        if (!usedResources().plus(task.declared()).isWithin(capacity)) {
            return Optional.of("overcommit");
        }
        tasks.put(task.id(), task);
        highestAttempts.put(task.id(), task.attempt());
        recordEvent(task, "started", nowMillis);
        return Optional.empty();
    }

    synchronized void renew(String group, long batchUntil, long serviceUntil, long nowMillis) {
        advance(nowMillis);
        for (WorkerTask task : tasks.values()) {
            if (task.isRunning() && task.group().equals(group)) {
                task.renew(task.isBatch() ? batchUntil : serviceUntil);
            }
        }
    }

    /**
     * Stops an attempt and all earlier ones, and prevents them from starting later.
     *
     * @param task the task
     * @param attempt the attempt
     * @param release whether to remove the attempt from the report
     * @param nowMillis the current time
     * @return the reason for a refusal, empty if the attempt is no longer running
     */
    synchronized Optional<String> stop(String task, long attempt, boolean release, long nowMillis) {
        advance(nowMillis);
        highestAttempts.merge(task, attempt, Math::max);
        WorkerTask current = tasks.get(task);
        if (current == null || current.attempt() > attempt) {
            return Optional.empty();
        }
        if (current.isRunning()) {
            current.stop(nowMillis);
            recordEvent(current, "stopped", nowMillis);
        } else if (!release && current.hasOutcome()) {
            return Optional.of("already-ended");
        }
        if (release) {
            tasks.remove(task);
        }
        return Optional.empty();
    }

    synchronized void stopAll(long nowMillis) {
        List.copyOf(tasks.values())
                .forEach(task -> stop(task.id(), task.attempt(), true, nowMillis));
    }

    synchronized Optional<WorkerTask> findRunning(String task, long attempt, long nowMillis) {
        advance(nowMillis);
        return Optional.ofNullable(tasks.get(task))
                .filter(current -> current.isRunning() && current.attempt() == attempt);
    }

    synchronized long doneMillis(WorkerTask task) {
        return task.doneMillis();
    }

    synchronized void recordCheckpoint(WorkerTask task, String object, long nowMillis) {
        task.setCheckpoint(object);
        recordEvent(task, "checkpointed", nowMillis);
    }

    synchronized void throttle(WorkerTask task, long percent, long nowMillis) {
        task.throttle(percent);
        recordEvent(task, "throttled", nowMillis);
    }

    /**
     * Advances the progress of running tasks, ends those that are done or whose lease has expired,
     * and removes those that ended more than {@link #ENDED_TASK_RETENTION_MILLIS} ago.
     *
     * @param nowMillis the current time
     */
    synchronized void advance(long nowMillis) {
        for (WorkerTask task : tasks.values()) {
            if (task.advance(nowMillis, failEveryTask)) {
                boolean expired = task.state() == WorkerTask.State.STOPPED;
                recordEvent(task, expired ? "lease-expired" : endEventOf(task), task.endedAt());
            }
        }
        tasks.values()
                .removeIf(
                        task ->
                                !task.isRunning()
                                        && task.endedAt() + ENDED_TASK_RETENTION_MILLIS
                                                < nowMillis);
    }

    synchronized void measure(long nowMillis) {
        usages.add(WorkerUsage.measure(tasks.values(), noiseFactor, nowMillis));
        while (usages.size() > 1 && secondOldestUsage().atMillis() + usageLagMillis <= nowMillis) {
            usages.remove();
        }
    }

    synchronized ObjectNode report(long nowMillis) {
        advance(nowMillis);
        WorkerUsage usage = usages.element();
        ObjectNode body = Json.object().put("clock", nowMillis);
        body.put("epoch", epochs.values().stream().mapToLong(Long::longValue).max().orElse(0));
        body.put("usageAgeMillis", nowMillis - usage.atMillis());
        ArrayNode list = body.putArray("tasks");
        tasks.values().forEach(task -> list.add(task.json(usage)));
        ArrayNode services = body.putArray("services");
        usage.p99ByWorkload()
                .forEach(
                        (workload, p99) ->
                                services.addObject()
                                        .put("workload", workload)
                                        .put("p99Millis", p99));
        return body;
    }

    synchronized ArrayNode record() {
        return record.deepCopy();
    }

    synchronized ObjectNode applyFaults(JsonNode changes) {
        failEveryTask = changes.path("failEveryTask").asBoolean(failEveryTask);
        noiseFactor = changes.path("noiseFactor").asDouble(noiseFactor);
        return Json.object().put("failEveryTask", failEveryTask).put("noiseFactor", noiseFactor);
    }

    private Resources usedResources() {
        return tasks.values().stream()
                .filter(WorkerTask::isRunning)
                .map(WorkerTask::declared)
                .reduce(Resources.ZERO, Resources::plus);
    }

    private WorkerUsage secondOldestUsage() {
        return usages.stream().skip(1).findFirst().orElseThrow();
    }

    private void recordEvent(WorkerTask task, String event, long clockMillis) {
        // With the wall clock, a test can compare the records of several workers on one machine.
        record.addObject()
                .put("clock", clockMillis)
                .put("at", System.currentTimeMillis())
                .put("event", event)
                .put("task", task.id())
                .put("attempt", task.attempt())
                .put("group", task.group())
                .put("epoch", epochs.getOrDefault(task.group(), 0L))
                .put("progress", task.doneMillis());
    }

    private static String endEventOf(WorkerTask task) {
        return task.state() == WorkerTask.State.FAILED ? "failed" : "finished";
    }
}
