package org.peridotcourse.standins;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.peridotcourse.Resources;

/** Tests epochs, leases and attempts of the worker. */
class WorkerStateTest {
    private static final String GROUP = "placement/xela";

    private final WorkerState worker = new WorkerState(Resources.of(4000, 4096), 0);

    /** Guards against commands of a superseded owner that still take effect. */
    @Test
    void lowerEpochOfGroupIsRefused() {
        assertEquals(Optional.empty(), worker.higherEpoch(GROUP, 2));
        assertEquals(Optional.of(2L), worker.higherEpoch(GROUP, 1));
        assertEquals(Optional.empty(), worker.higherEpoch("placement/huehue", 1));
    }

    /** Guards against a task that runs beyond its lease, concurrently with its next attempt. */
    @Test
    void taskStopsWhenItsLeaseExpires() {
        assertEquals(Optional.empty(), start("t", 1, 1000, 500, 100));
        worker.advance(5000);
        assertEquals("stopped 400", stateOf("t"));
        JsonNode event = worker.record().get(1);
        assertEquals("lease-expired", event.path("event").asText());
        assertEquals(500, event.path("clock").asLong());
    }

    /** Guards against a renewal that restarts an ended task or shortens a lease. */
    @Test
    void renewalExtendsOnlyRunningTasksOfTheGroup() {
        start("t", 1, 1000, 500, 100);
        worker.renew("placement/huehue", 9000, 9000, 200);
        worker.renew(GROUP, 800, 9000, 200);
        worker.renew(GROUP, 600, 9000, 300);
        worker.advance(799);
        assertEquals("running 699", stateOf("t"));
        worker.renew(GROUP, 9000, 9000, 800);
        assertEquals("stopped 700", stateOf("t"));
    }

    /** Guards against an attempt that starts twice, or after its stop was confirmed. */
    @Test
    void attemptStartsOnce() {
        start("t", 1, 100_000, 90_000, 0);
        assertEquals(Optional.of("already-running"), start("t", 1, 100_000, 90_000, 1));
        worker.stop("t", 2, false, 10);
        assertEquals(Optional.of("old-attempt"), start("t", 1, 100_000, 90_000, 20));
        assertEquals(Optional.of("old-attempt"), start("t", 2, 100_000, 90_000, 20));
        assertEquals(Optional.empty(), start("t", 3, 100_000, 90_000, 20));
    }

    /** Guards against a start that arrives after its lease has expired. */
    @Test
    void lateStartIsRefused() {
        assertEquals(Optional.of("lease-expired"), start("t", 1, 1000, 500, 500));
    }

    /** Guards against a worker whose tasks declare more than its capacity. */
    @Test
    void declaredSizesStayWithinCapacity() {
        assertEquals(Optional.empty(), start("t1", 1, 1000, 9000, 0));
        assertEquals(Optional.of("overcommit"), start("t2", 1, 1000, 9000, 10));
        worker.advance(1000);
        assertEquals("finished 1000", stateOf("t1"));
        assertEquals(Optional.empty(), start("t2", 1, 1000, 9000, 1010));
    }

    private Optional<String> start(
            String task, long attempt, long workMillis, long leaseUntil, long nowMillis) {
        String command =
                "{'task':'%s','attempt':%d,'leaseUntil':%d,'workload':'w','class':'batch',"
                        + "'milliCores':3000,'memoryMiB':100,'payload':{'workMillis':%d}}";
        JsonNode parsed =
                Json.parse(
                        String.format(command, task, attempt, leaseUntil, workMillis)
                                .replace('\'', '"'));
        return worker.start(GROUP, parsed, 0, nowMillis);
    }

    private String stateOf(String task) {
        for (JsonNode found : worker.report(0).path("tasks")) {
            if (found.path("task").asText().equals(task)) {
                return found.path("state").asText() + " " + found.path("progress").asLong();
            }
        }
        return "absent";
    }
}
