package org.peridotcourse.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against a flow that is served beyond its weight because it has many items or was idle. */
class FairQueueTest {
    private final FairQueue<String, String> queue = new FairQueue<>();

    private void addItems(String key, int weight, int count) {
        for (int i = 0; i < count; i++) {
            queue.add(key, weight, key + i);
        }
    }

    private long countPolled(String key, int count) {
        long polled = 0;
        for (int i = 0; i < count; i++) {
            polled += queue.poll(item -> true).orElseThrow().startsWith(key) ? 1 : 0;
        }
        return polled;
    }

    @Test
    void servesWaitingFlowsByWeight() {
        addItems("a", 300, 400);
        addItems("b", 100, 400);
        assertEquals(300, countPolled("a", 400), 1);
    }

    @Test
    void idleFlowGainsNoCredit() {
        addItems("a", 100, 1000);
        countPolled("a", 500);
        addItems("b", 100, 100);
        assertEquals(50, countPolled("b", 100), 1);
    }

    @Test
    void removedItemsCostNothing() {
        addItems("a", 100, 100);
        addItems("b", 100, 100);
        for (int i = 0; i < 50; i++) {
            queue.remove("a", "a" + i);
        }
        assertEquals(50, countPolled("a", 100), 1);
        assertEquals(50, queue.size());
    }

    @Test
    void flowWhoseFirstItemFailsTheTestIsSkipped() {
        addItems("a", 100, 1);
        addItems("b", 100, 1);
        assertEquals("b0", queue.poll(item -> item.startsWith("b")).orElseThrow());
        assertTrue(queue.poll(item -> item.startsWith("b")).isEmpty());
    }
}
