package org.peridotcourse.daemon.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against an owner that acts on a lease which expired while its process was paused. */
class PauseDetectorTest {
    private static final long WALL = 1_700_000_000_000L;
    private final PauseDetector detector = new PauseDetector();

    @Test
    void aProcessThatRunsIsNotPaused() {
        for (long at = 0; at < 10_000; at += 100) {
            assertEquals(0, detector.observe(at, WALL + at));
        }
    }

    @Test
    void aStoppedProcessShowsAGapInTheMonotonicClock() {
        detector.observe(1_000, WALL);
        assertEquals(4_000, detector.observe(5_000, WALL + 4_000));
        assertEquals(0, detector.observe(5_100, WALL + 4_100));
    }

    @Test
    void aSuspendedMachineShowsAGapInTheWallClockOnly() {
        detector.observe(1_000, WALL);
        assertTrue(detector.observe(1_100, WALL + 8_100) > 0);
    }

    @Test
    void aWallClockThatIsSetBackIsNoPause() {
        detector.observe(1_000, WALL);
        assertEquals(0, detector.observe(1_100, WALL - 2_000));
    }
}
