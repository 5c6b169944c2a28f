package org.peridotcourse.daemon.ring;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a loop that ends because one task threw an error while the process continues. */
class EventLoopTest {
    private static final long WAIT_SECONDS = 10;

    private final List<Throwable> errors = new CopyOnWriteArrayList<>();
    private final EventLoop loop = new EventLoop("test", 64, errors::add);

    @AfterEach
    void close() {
        loop.close();
    }

    private static int recurseForever(int depth) {
        return 1 + recurseForever(depth + 1);
    }

    @Test
    void loopContinuesAfterUnexpectedError() throws InterruptedException {
        CountDownLatch after = new CountDownLatch(1);
        loop.start();
        loop.post(
                () -> {
                    throw new IllegalArgumentException("malformed");
                });
        loop.post(() -> recurseForever(0));
        loop.post(
                () -> {
                    throw new NoClassDefFoundError("missing");
                });
        loop.post(after::countDown);
        assertTrue(after.await(WAIT_SECONDS, TimeUnit.SECONDS), "the loop has ended");
        assertEquals(3, errors.size(), errors.toString());
    }
}
