package org.peridotcourse.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;

/**
 * Guards against a planned stop that interrupts a request or a watch segment, or that never ends.
 */
class EntryStopTest {
    @Test
    void stopUnderLoadInterruptsNoRequest() throws Exception {
        try (FakeBackend backend = new FakeBackend()) {
            AtomicBoolean balancerStopped = new AtomicBoolean();
            AtomicInteger running = new AtomicInteger();
            backend.script(
                    (request, out) -> {
                        running.incrementAndGet();
                        long millis = balancerStopped.get() ? 400 : 20;
                        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
                        running.decrementAndGet();
                        return FakeBackend.ok(request, out);
                    });
            EntryFixture entry = new EntryFixture("e1", new FakeTableStore()).withBackends(backend);
            AtomicInteger answered = new AtomicInteger();
            ConcurrentLinkedQueue<String> failures = new ConcurrentLinkedQueue<>();
            List<Thread> callers = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                Thread caller = new Thread(() -> call(entry, answered, failures, balancerStopped));
                caller.start();
                callers.add(caller);
            }
            EntryFixture.await("requests are answered", () -> answered.get() >= 100);
            entry.service.prepareStop();
            int before = answered.get();
            EntryFixture.await(
                    "requests are answered while stopping", () -> answered.get() >= before + 50);
            balancerStopped.set(true);
            EntryFixture.await(
                    "the last requests run",
                    () -> running.get() == callers.stream().filter(Thread::isAlive).count());
            int atClose = running.get();
            entry.service.closePort();
            EntryFixture.await(
                    "every request has its response",
                    () -> entry.service.closeIdle() == 0 && entry.service.pending() == 0);
            for (Thread caller : callers) {
                caller.join(10_000);
            }
            entry.close();
            assertEquals(List.of(), List.copyOf(failures));
            assertEquals(backend.received().size(), answered.get());
            assertTrue(atClose > 0, "requests run while the port is closed");
        }
    }

    @Test
    void stopInterruptsNoWatchSegment() throws Exception {
        try (FakeBackend backend = new FakeBackend();
                EntryFixture entry =
                        new EntryFixture("e1", new FakeTableStore()).withBackends(backend)) {
            CountDownLatch end = new CountDownLatch(1);
            backend.script(
                    (request, out) -> {
                        end.await(10, TimeUnit.SECONDS);
                        return FakeBackend.send(out, request, 200, "", "cursor-7");
                    });
            CompletableFuture<HttpResponse<String>> watch =
                    CompletableFuture.supplyAsync(() -> watch(entry));
            EntryFixture.await("the watch runs", () -> backend.received().size() == 1);
            entry.service.prepareStop();
            entry.service.closePort();
            // Longer than the grace period after which idle connections are closed.
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(1_500);
            EntryFixture.await(
                    "the segment outlasts the grace period",
                    () -> entry.service.closeIdle() >= 0 && System.nanoTime() > until);
            assertEquals(1, entry.service.closeIdle(), "the connection of the watch stays");
            end.countDown();
            HttpResponse<String> segment = watch.get(10, TimeUnit.SECONDS);
            assertEquals(200, segment.statusCode());
            assertEquals("cursor-7", segment.body());
            EntryFixture.await(
                    "the stop ends",
                    () -> entry.service.closeIdle() == 0 && entry.service.pending() == 0);
        }
    }

    private static HttpResponse<String> watch(EntryFixture entry) {
        try {
            return entry.get(
                    EntryFixture.PATH, "Peridot-Kind", "watch", "Peridot-Segment-Ms", "10000");
        } catch (Exception e) {
            throw new CompletionException(e);
        }
    }

    /** Sends requests until the load balancer has detected that the host is not ready. */
    private static void call(
            EntryFixture entry,
            AtomicInteger answered,
            ConcurrentLinkedQueue<String> failures,
            AtomicBoolean balancerStopped) {
        while (!balancerStopped.get()) {
            try {
                HttpResponse<String> response = entry.post(EntryFixture.PATH, "x");
                if (response.statusCode() == 200) {
                    answered.incrementAndGet();
                } else {
                    failures.add(response.body());
                }
            } catch (Exception other) {
                failures.add(other.toString());
                return;
            }
        }
    }
}
