package org.peridotcourse.daemon.dispatch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.peridotcourse.daemon.ring.EventLoop;

/** Runs the event loop of a test. It holds no state. */
final class LoopDriver {
    private static final long TIMEOUT_SECONDS = 10;
    private static final long PERIOD_MILLIS = 10;

    private LoopDriver() {}

    /**
     * Starts a loop, repeats a step on it until a condition holds, and closes the loop. Both run on
     * the loop.
     */
    static void runUntil(EventLoop loop, Runnable step, BooleanSupplier condition)
            throws InterruptedException {
        CountDownLatch reached = new CountDownLatch(1);
        loop.scheduleRepeating(
                PERIOD_MILLIS,
                () -> {
                    step.run();
                    if (condition.getAsBoolean()) {
                        reached.countDown();
                    }
                });
        loop.start();
        assertTrue(
                reached.await(TIMEOUT_SECONDS, TimeUnit.SECONDS),
                "the condition did not hold in time");
        loop.close();
    }
}
