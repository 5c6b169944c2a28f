package org.peridotcourse.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request with a key that runs twice, or whose outcome is reported wrongly, after
 * repeats through other entry hosts, lost store responses and outages of the store.
 */
class RequestKeyTest {
    private final FakeTableStore store = new FakeTableStore();
    private FakeBackend backend;
    private EntryFixture first;
    private EntryFixture second;

    @BeforeEach
    void start() throws Exception {
        backend = new FakeBackend();
        first = new EntryFixture("e1", store).withBackends(backend);
        second = new EntryFixture("e2", store).withBackends(backend);
    }

    @AfterEach
    void stop() throws Exception {
        first.close();
        second.close();
        backend.close();
    }

    @Test
    void repeatThroughAnotherEntryHostGetsTheStoredResponse() throws Exception {
        for (int size : new int[] {10, 40_000}) {
            String plan = "p".repeat(size);
            backend.script(
                    (request, out) -> FakeBackend.send(out, request, 201, "X-Plan: 7\r\n", plan));
            String key = "key-" + size;
            int before = backend.received().size();
            HttpResponse<String> answer = post(first, "order", key);
            assertEquals(201, answer.statusCode(), answer.body());
            EntryFixture.await("the response is stored", () -> state(key).equals("done"));
            HttpResponse<String> repeat = post(second, "order", key);
            assertEquals(201, repeat.statusCode());
            assertEquals(plan, repeat.body());
            assertEquals("answered", repeat.headers().firstValue("Peridot-Outcome").orElse(""));
            assertEquals("7", repeat.headers().firstValue("X-Plan").orElse(""));
            assertEquals(before + 1, backend.received().size(), "ran once");
        }
        assertEquals("409 not-run key-reused", summary(post(second, "other order", "key-10")));
    }

    @Test
    void repeatOfAnUnfinishedOrLostRequestIsUnknownAndNeverRuns() throws Exception {
        CountDownLatch end = new CountDownLatch(1);
        backend.script(
                (request, out) -> {
                    end.await(10, TimeUnit.SECONDS);
                    return false;
                });
        ExecutorService caller = Executors.newSingleThreadExecutor();
        try {
            Future<HttpResponse<String>> running = caller.submit(() -> post(first, "order", "k"));
            EntryFixture.await("the request runs", () -> backend.received().size() == 1);
            assertEquals("409 unknown key-in-progress", summary(post(second, "order", "k")));
            end.countDown();
            assertEquals("502 unknown connection-failed", summary(running.get()));
            assertEquals("409 unknown key-in-progress", summary(post(first, "order", "k")));
            assertEquals(1, backend.received().size());
        } finally {
            caller.shutdownNow();
        }
    }

    @Test
    void refusedRequestReleasesItsKeySoThatARepeatRuns() throws Exception {
        backend.script(
                (request, out) ->
                        FakeBackend.send(out, request, 503, "Peridot-Not-Run: true\r\n", ""));
        HttpResponse<String> refused =
                first.post(
                        EntryFixture.PATH,
                        "order",
                        "Peridot-Key",
                        "k",
                        "Peridot-Deadline-Ms",
                        "300");
        assertTrue(summary(refused).startsWith("503 not-run"), refused.body());
        EntryFixture.await("the claim is removed", () -> state("k").equals("absent"));
        backend.script(FakeBackend::ok);
        EntryFixture.await("the repeat runs", () -> status(second, "k") == 200);
    }

    @Test
    void outageOfTheStoreRefusesKeyedRequestsAtOnceAndNoOthers() throws Exception {
        store.setUnavailable(true);
        long start = System.nanoTime();
        for (int i = 0; i < 5; i++) {
            assertEquals("503 not-run store-unavailable", summary(post(first, "order", "k" + i)));
        }
        assertTrue(System.nanoTime() - start < 1_500_000_000L, "refused before the deadline");
        assertEquals(0, backend.received().size());
        assertEquals(200, first.post(EntryFixture.PATH, "no key").statusCode());
        store.setUnavailable(false);
        EntryFixture.await("keyed requests run again", () -> status(first, "k0") == 200);
    }

    @Test
    void claimWithLostResponseRunsOnceOrIsReleased() throws Exception {
        store.loseResponses(1);
        assertEquals(200, post(first, "order", "once").statusCode());
        assertEquals(1, backend.received().size());

        EntryFixture.await("the response is stored", () -> state("once").equals("done"));
        store.loseResponseAndBecomeUnavailable();
        assertEquals("503 not-run store-unavailable", summary(post(first, "order", "undone")));
        assertEquals("claimed", state("undone"), "the lost write took effect");
        store.setUnavailable(false);
        EntryFixture.await("the claim is released", () -> state("undone").equals("absent"));
        assertEquals(1, backend.received().size(), "the refused request did not run");
        assertEquals(200, post(second, "order", "undone").statusCode());
    }

    /**
     * A read that failed after a conflict was taken for a claim that was not written, so the claim
     * of a refused request stayed, and no request with its key could run.
     */
    @Test
    void claimIsReleasedAlthoughTheReadThatShowsItsOutcomeFails() throws Exception {
        store.loseResponseAndBecomeUnavailable();
        assertEquals("503 not-run store-unavailable", summary(post(first, "order", "k")));
        assertEquals("claimed", state("k"), "the lost write took effect");
        store.failReads(2);
        store.setUnavailable(false);
        EntryFixture.await("the claim is released", () -> state("k").equals("absent"));
        assertEquals(200, post(second, "order", "k").statusCode());
        assertEquals(1, backend.received().size());
    }

    /**
     * A repeat was told that it had not run when the row of its key could not be read, although the
     * first request had run.
     */
    @Test
    void repeatOfARunRequestIsNotSaidNotToHaveRunWhenItsRowCannotBeRead() throws Exception {
        assertEquals(200, post(first, "order", "k").statusCode());
        EntryFixture.await("the response is stored", () -> state("k").equals("done"));
        store.failReads(1);
        assertEquals("409 unknown key-in-progress", summary(post(second, "order", "k")));
        assertEquals(200, post(second, "order", "k").statusCode());
        assertEquals(1, backend.received().size(), "ran once");
    }

    @Test
    void claimsWithinFiveMillisecondsShareTransactions() throws Exception {
        int count = 100;
        ExecutorService callers = Executors.newFixedThreadPool(20);
        try {
            List<Future<HttpResponse<String>>> answers = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                String key = "g" + i;
                answers.add(callers.submit(() -> post(first, "order", key)));
            }
            for (Future<HttpResponse<String>> answer : answers) {
                assertEquals(200, answer.get(20, TimeUnit.SECONDS).statusCode());
            }
        } finally {
            callers.shutdownNow();
        }
        EntryFixture.await("all are stored", () -> state("g" + (count - 1)).equals("done"));
        assertTrue(store.writes() < count, store.writes() + " writes for 200 rows");
    }

    private static HttpResponse<String> post(EntryFixture entry, String body, String key)
            throws Exception {
        return entry.post(EntryFixture.PATH + "orders", body, "Peridot-Key", key);
    }

    private static int status(EntryFixture entry, String key) {
        try {
            return post(entry, "order", key).statusCode();
        } catch (Exception e) {
            return -1;
        }
    }

    private String state(String key) {
        return store.value("requests", "shop/" + key)
                .map(row -> row.path("state").asText())
                .orElse("absent");
    }

    private static String summary(HttpResponse<String> response) {
        return response.statusCode()
                + " "
                + response.headers().firstValue("Peridot-Outcome").orElse("")
                + " "
                + response.body().replaceAll("(?s).*\"reason\":\"([a-z-]*)\".*", "$1");
    }
}
