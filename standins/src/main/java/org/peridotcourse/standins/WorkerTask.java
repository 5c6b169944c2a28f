package org.peridotcourse.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import org.peridotcourse.Resources;

/**
 * One attempt of a task on the worker stand-in: its lease, progress and resource usage.
 *
 * <p>The payload may be a JSON object, or a string that contains one, with these fields (defaults
 * in parentheses): {@code workMillis} (10000 for batch tasks, unlimited for services), {@code
 * failAfterMillis} (unlimited), {@code usedPercent} and {@code usedMemoryPercent} of the declared
 * size (60, 80), {@code noise}, the fraction by which the task slows services on the same worker
 * (0), and {@code p99Millis}, the latency of a service without noise (20). Not thread-safe; {@link
 * WorkerState} synchronizes access.
 */
final class WorkerTask {
    static final String BATCH = "batch";

    private final String id;
    private final long attempt;
    private final String group;
    private final String workload;
    private final String workClass;
    private final Resources declared;
    private final JsonNode payload;
    private State state = State.RUNNING;
    private long leaseUntil;
    private long advancedTo;
    private double doneMillis;
    private long throttlePercent = 100;
    private long endedAt;
    private String checkpoint = "";

    WorkerTask(String group, JsonNode command, long doneMillis, long nowMillis) {
        this.id = Json.text(command, "task");
        this.attempt = Json.number(command, "attempt");
        this.group = group;
        this.workload = Json.text(command, "workload");
        this.workClass = Json.text(command, "class");
        this.declared =
                Resources.of(
                        command.path("milliCores").asLong(),
                        command.path("memoryMiB").asLong(),
                        command.path("accelerators").asLong());
        this.payload = payload(command.path("payload"));
        this.leaseUntil = Json.number(command, "leaseUntil");
        this.checkpoint = command.path("checkpoint").asText("");
        this.doneMillis = doneMillis;
        this.advancedTo = nowMillis;
    }

    private static JsonNode payload(JsonNode node) {
        if (node.isTextual() && node.textValue().startsWith("{")) {
            return Json.parse(node.textValue());
        }
        return node;
    }

    String id() {
        return id;
    }

    long attempt() {
        return attempt;
    }

    String group() {
        return group;
    }

    String workload() {
        return workload;
    }

    State state() {
        return state;
    }

    long endedAt() {
        return endedAt;
    }

    Resources declared() {
        return declared;
    }

    long doneMillis() {
        return (long) doneMillis;
    }

    double noise() {
        return payload.path("noise").asDouble(0);
    }

    long baseP99Millis() {
        return payload.path("p99Millis").asLong(20);
    }

    boolean isRunning() {
        return state == State.RUNNING;
    }

    /** Returns whether the task finished or failed by itself, so that its outcome must be kept. */
    boolean hasOutcome() {
        return state == State.FINISHED || state == State.FAILED;
    }

    boolean isBatch() {
        return workClass.equals(BATCH);
    }

    long usedMilliCores() {
        long unthrottled = declared.milliCores() * payload.path("usedPercent").asLong(60) / 100;
        return isRunning() ? unthrottled * throttlePercent / 100 : 0;
    }

    long usedMemoryMib() {
        long memoryMib = declared.memoryMib() * payload.path("usedMemoryPercent").asLong(80) / 100;
        return isRunning() ? memoryMib : 0;
    }

    /**
     * Advances the task to the current time, but not beyond the end of its lease.
     *
     * @param nowMillis the current time
     * @param failEveryTask whether every task on the worker is made to fail
     * @return true if the task ended
     */
    boolean advance(long nowMillis, boolean failEveryTask) {
        if (!isRunning()) {
            return false;
        }
        long end = Math.min(nowMillis, leaseUntil);
        doneMillis += Math.max(0, end - advancedTo) * throttlePercent / 100.0;
        advancedTo = Math.max(end, advancedTo);
        if (failEveryTask || doneMillis >= payload.path("failAfterMillis").asLong(Long.MAX_VALUE)) {
            end(State.FAILED, end);
        } else if (doneMillis >= payload.path("workMillis").asLong(defaultWorkMillis())) {
            end(State.FINISHED, end);
        } else if (nowMillis >= leaseUntil) {
            end(State.STOPPED, leaseUntil);
        }
        return !isRunning();
    }

    void renew(long until) {
        leaseUntil = Math.max(leaseUntil, until);
    }

    void throttle(long percent) {
        throttlePercent = Math.max(0, Math.min(100, percent));
    }

    void setCheckpoint(String name) {
        checkpoint = name;
    }

    void stop(long nowMillis) {
        end(State.STOPPED, nowMillis);
    }

    ObjectNode json(WorkerUsage usage) {
        ObjectNode node = Json.object().put("task", id).put("attempt", attempt);
        node.put("state", state.name().toLowerCase(Locale.ROOT));
        if (checkpoint.isEmpty()) {
            node.putNull("checkpoint");
        } else {
            node.put("checkpoint", checkpoint);
        }
        node.put("progress", doneMillis());
        node.put("usedMilliCores", usage.milliCores(id, attempt));
        return node.put("usedMemoryMiB", usage.memoryMib(id, attempt));
    }

    private long defaultWorkMillis() {
        return isBatch() ? 10_000 : Long.MAX_VALUE;
    }

    private void end(State endState, long atMillis) {
        state = endState;
        endedAt = atMillis;
    }

    /** The states of a task in the worker's report. */
    enum State {
        RUNNING,
        FINISHED,
        FAILED,
        STOPPED
    }
}
