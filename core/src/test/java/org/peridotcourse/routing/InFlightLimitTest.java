package org.peridotcourse.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Guards against a limit that stays high after latency has risen, and against an estimate of
 * unloaded latency that rises with the queueing that the limit itself permits.
 */
class InFlightLimitTest {
    private final InFlightLimit limit = new InFlightLimit();

    private void responses(int count, long latencyMillis) {
        for (int i = 0; i < count; i++) {
            limit.onResponse(latencyMillis, true, 20);
        }
    }

    @Test
    void growsToTheSlotsWhileLatencyIsUnloadedAndShrinksToTheShareWhenItRises() {
        limit.update(1, 8);
        responses(200, 20);
        assertEquals(8, limit.value());
        responses(500, 60);
        assertEquals(1, limit.value());
    }

    @Test
    void refusalReturnsTheLimitToTheShareAndSlowsTheNextGrowth() {
        limit.update(2, 8);
        responses(8, 20);
        assertEquals(3, limit.value());
        limit.onRefused();
        assertEquals(2, limit.value());
        responses(8, 20);
        assertEquals(2, limit.value());
        responses(8, 20);
        assertEquals(3, limit.value());
    }

    @Test
    void unloadedLatencyDoesNotRiseWhileTheShareIsExceeded() {
        UnloadedLatency unloaded = new UnloadedLatency();
        for (int i = 0; i < 256 * 20; i++) {
            unloaded.add(i < 256 ? 20 : 100, true);
        }
        assertEquals(20, unloaded.meanMillis());
        for (int i = 0; i < 256 * 20; i++) {
            unloaded.add(100, false);
        }
        assertTrue(
                unloaded.meanMillis() > 80,
                "the estimate does not follow a slower service within the share");
    }
}
