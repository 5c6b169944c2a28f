package org.peridotcourse.daemon.ring;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a loop that one wrong message ends while its process goes on. */
class EventLoopTest {
    private static final long PATIENCE_SECONDS = 10;

    private final List<Throwable> faults = new CopyOnWriteArrayList<>();
    private final EventLoop loop = new EventLoop("test", 64, faults::add);

    @AfterEach
    void close() {
        loop.close();
    }

    private static int descend(int depth) {
        return 1 + descend(depth + 1);
    }

    @Test
    void theLoopGoesOnAfterAnUnexpectedError() throws InterruptedException {
        CountDownLatch after = new CountDownLatch(1);
        loop.start();
        loop.post(
                () -> {
                    throw new IllegalArgumentException("malformed");
                });
        loop.post(() -> descend(0));
        loop.post(
                () -> {
                    throw new NoClassDefFoundError("missing");
                });
        loop.post(after::countDown);
        assertTrue(after.await(PATIENCE_SECONDS, TimeUnit.SECONDS), "the loop has ended");
        assertEquals(3, faults.size(), faults.toString());
    }
}
