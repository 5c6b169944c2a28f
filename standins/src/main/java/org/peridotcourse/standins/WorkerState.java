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
 * The tasks, leases and epochs of the worker stand-in, and its record of what ran when.
 *
 * <p>The clock is the worker's own. It is thread-safe.
 */
final class WorkerState {
    /** Long enough for an owner to learn of each end, even after a change of owner. */
    private static final long KEEP_ENDED_MILLIS = 600_000;

    private final Resources capacity;
    private final long usageLagMillis;
    private final Map<String, Long> epochs = new HashMap<>();
    private final Map<String, WorkerTask> tasks = new LinkedHashMap<>();
    private final Map<String, Long> highestAttempts = new HashMap<>();
    private final Deque<WorkerUsage> usages = new ArrayDeque<>();
    private final ArrayNode record = Json.MAPPER.createArrayNode();
    private boolean failing;
    private double noiseFactor = 1;

    WorkerState(Resources capacity, long usageLagMillis) {
        this.capacity = capacity;
        this.usageLagMillis = usageLagMillis;
        usages.add(new WorkerUsage(0, Map.of(), Map.of()));
    }

    /**
     * Accepts the epoch of a group unless a higher one is known.
     *
     * @param group the group
     * @param epoch the sender's epoch
     * @return the higher epoch, empty if the sender's is accepted
     */
    synchronized Optional<Long> higherEpoch(String group, long epoch) {
        long known = epochs.getOrDefault(group, 0L);
        if (known > epoch) {
            return Optional.of(known);
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
     * @param nowMillis the present time
     * @return why the task is refused, empty if it runs
     */
    synchronized Optional<String> start(
            String group, JsonNode command, long doneMillis, long nowMillis) {
        advance(nowMillis);
        WorkerTask task = new WorkerTask(group, command, doneMillis, nowMillis);
        WorkerTask present = tasks.get(task.id());
        if (present != null && present.isRunning()) {
            return Optional.of("already-running");
        }
        if (task.attempt() <= highestAttempts.getOrDefault(task.id(), -1L)) {
            return Optional.of("old-attempt");
        }
        if (Json.number(command, "leaseUntil") <= nowMillis) {
            return Optional.of("lease-expired");
        }
        if (!used().plus(task.declared()).isWithin(capacity)) {
            return Optional.of("overcommit");
        }
        tasks.put(task.id(), task);
        highestAttempts.put(task.id(), task.attempt());
        note(task, "started", nowMillis);
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
     * Stops an attempt and every older one, and refuses their later start.
     *
     * @param task the task
     * @param attempt the attempt
     * @param release whether the attempt leaves the report
     * @param nowMillis the present time
     * @return why nothing was done, empty if the attempt does not run any more
     */
    synchronized Optional<String> stop(String task, long attempt, boolean release, long nowMillis) {
        advance(nowMillis);
        highestAttempts.merge(task, attempt, Math::max);
        WorkerTask found = tasks.get(task);
        if (found == null || found.attempt() > attempt) {
            return Optional.empty();
        }
        if (found.isRunning()) {
            found.stop(nowMillis);
            note(found, "stopped", nowMillis);
        } else if (!release && found.hasOutcome()) {
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

    synchronized Optional<WorkerTask> running(String task, long attempt, long nowMillis) {
        advance(nowMillis);
        return Optional.ofNullable(tasks.get(task))
                .filter(found -> found.isRunning() && found.attempt() == attempt);
    }

    synchronized long doneMillis(WorkerTask task) {
        return task.doneMillis();
    }

    synchronized void checkpointed(WorkerTask task, String object, long nowMillis) {
        task.checkpointed(object);
        note(task, "checkpointed", nowMillis);
    }

    synchronized void throttle(WorkerTask task, long percent, long nowMillis) {
        task.throttle(percent);
        note(task, "throttled", nowMillis);
    }

    /**
     * Lets tasks make progress, ends those that are done or whose lease has expired, and forgets
     * those that ended long ago.
     *
     * @param nowMillis the present time
     */
    synchronized void advance(long nowMillis) {
        for (WorkerTask task : tasks.values()) {
            if (task.advance(nowMillis, failing)) {
                boolean expired = task.state() == WorkerTask.State.STOPPED;
                note(task, expired ? "lease-expired" : stateOf(task), task.endedAt());
            }
        }
        tasks.values()
                .removeIf(
                        task ->
                                !task.isRunning()
                                        && task.endedAt() + KEEP_ENDED_MILLIS < nowMillis);
    }

    synchronized void measure(long nowMillis) {
        usages.add(WorkerUsage.measure(tasks.values(), noiseFactor, nowMillis));
        while (usages.size() > 1 && second().atMillis() + usageLagMillis <= nowMillis) {
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
        usage.services()
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

    synchronized ObjectNode fault(JsonNode wanted) {
        failing = wanted.path("failEveryTask").asBoolean(failing);
        noiseFactor = wanted.path("noiseFactor").asDouble(noiseFactor);
        return Json.object().put("failEveryTask", failing).put("noiseFactor", noiseFactor);
    }

    private Resources used() {
        return tasks.values().stream()
                .filter(WorkerTask::isRunning)
                .map(WorkerTask::declared)
                .reduce(Resources.ZERO, Resources::plus);
    }

    private WorkerUsage second() {
        return usages.stream().skip(1).findFirst().orElseThrow();
    }

    private void note(WorkerTask task, String event, long clock) {
        // The wall clock lets a test compare the records of several workers on one machine.
        record.addObject()
                .put("clock", clock)
                .put("at", System.currentTimeMillis())
                .put("event", event)
                .put("task", task.id())
                .put("attempt", task.attempt())
                .put("group", task.group())
                .put("epoch", epochs.getOrDefault(task.group(), 0L))
                .put("progress", task.doneMillis());
    }

    private static String stateOf(WorkerTask task) {
        return task.state() == WorkerTask.State.FAILED ? "failed" : "finished";
    }
}
