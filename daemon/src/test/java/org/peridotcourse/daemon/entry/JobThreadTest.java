package org.peridotcourse.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.http.HttpResponse;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against jobs that are lost, duplicated or changed by a repeated submission, also after a
 * lost response or an outage of the table service.
 */
class JobThreadTest {
    private static final String JOB =
            "{\"workload\":\"night\",\"tasks\":3,\"milliCores\":500,\"memoryMiB\":64,"
                    + "\"payload\":\"p\"}";

    private final FakeTableStore store = new FakeTableStore();
    private EntryFixture entry;

    @BeforeEach
    void start() throws Exception {
        entry = new EntryFixture("e1", store);
    }

    @AfterEach
    void stop() throws Exception {
        entry.close();
    }

    @Test
    void repeatedSubmissionCreatesOneJob() throws Exception {
        assertEquals("201", put("/jobs/shop/j1", JOB));
        assertEquals("200", put("/jobs/shop/j1", JOB));
        assertEquals("409 job-name-taken", put("/jobs/shop/j1", JOB.replace("3", "4")));
        assertEquals(1, store.writes());
        assertEquals("shop/night", store.value("jobs", "shop/j1").get().path("workload").asText());
        assertEquals("200", call("GET", "/jobs/shop/j1", ""));
        assertEquals("404 unknown-job", call("GET", "/jobs/shop/j2", ""));
        assertEquals("200", call("DELETE", "/jobs/shop/j1", ""));
        assertEquals("200", call("DELETE", "/jobs/shop/j1", ""));
        assertEquals(true, store.value("jobs", "shop/j1").get().path("cancel").asBoolean());
        assertEquals("200", put("/jobs/shop/j1", JOB), "a cancelled job is still the same job");
    }

    @Test
    void lostResponsesAndOutagesHaveTypedOutcomes() throws Exception {
        store.loseResponses(2);
        assertEquals("201", put("/jobs/shop/j1", JOB));
        assertEquals(1, store.writes());
        store.setUnavailable(true);
        assertEquals("503 store-unsettled", put("/jobs/shop/j2", JOB));
        assertEquals("503 store-unavailable", call("GET", "/jobs/shop/j1", ""));
        store.setUnavailable(false);
        EntryFixture.await("the job is accepted", () -> submit("j2").equals("201"));
    }

    /**
     * A repeated submission was told that nothing was written when the job's row could not be read,
     * although the job exists and runs.
     */
    @Test
    void repeatedSubmissionIsNotSaidToHaveWrittenNothingWhenTheJobCannotBeRead() throws Exception {
        assertEquals("201", put("/jobs/shop/j1", JOB));
        store.failReads(1);
        assertEquals("503 store-unsettled", put("/jobs/shop/j1", JOB));
        EntryFixture.await("the job is found", () -> submit("j1").equals("200"));
        assertEquals(1, store.writes());
    }

    /**
     * A caller whose submission had no clear response was told that the job is unknown and has not
     * run. The table service then executed the submission, and the job ran.
     */
    @Test
    void aJobThatWasCancelledAsUnknownIsNotAcceptedLater() throws Exception {
        store.setExecutesWritesLate(true);
        assertEquals("503 store-unsettled", put("/jobs/shop/j1", JOB));
        store.setExecutesWritesLate(false);
        EntryFixture.await("the job is unknown", () -> cancel("j1").equals("404 unknown-job"));
        store.executeLateWrites();
        assertEquals(Optional.empty(), store.value("jobs", "shop/j1"));
        assertEquals("409 job-withdrawn", put("/jobs/shop/j1", JOB));
        assertEquals("404 unknown-job", call("GET", "/jobs/shop/j1", ""));
        assertEquals("201", put("/jobs/shop/j2", JOB), "another name is not affected");
    }

    /** The table service executes the submission after the cancellation has read no job. */
    @Test
    void aLateWithdrawalDoesNotHideALaterJob() throws Exception {
        store.setExecutesWritesLate(true);
        assertEquals("503 store-unsettled", call("DELETE", "/jobs/shop/j1", ""));
        store.setExecutesWritesLate(false);
        EntryFixture.await("the job is accepted", () -> submit("j1").equals("201"));
        store.executeLateWrites();
        assertEquals(Optional.empty(), store.value("withdrawn-jobs", "shop/j1"));
        assertEquals("200", call("DELETE", "/jobs/shop/j1", ""));
    }

    @Test
    void refusesMalformedJobs() throws Exception {
        String[] bodies = {
            "",
            "[]",
            "{",
            JOB.replace("\"tasks\":3", "\"tasks\":0"),
            JOB.replace("500", "\"500\""),
            JOB.replace("payload", "paylaod"),
            JOB.replace("night", "a/b"),
            JOB.replace("64", "1.5")
        };
        for (String body : bodies) {
            assertEquals("400 malformed", put("/jobs/shop/j1", body), body);
        }
        assertEquals("400 malformed", put("/jobs/shop", JOB));
        // The placement owner would treat a job with this name as the replicas of a service.
        assertEquals("400 malformed", put("/jobs/shop/service.despacho", JOB));
        assertEquals("400 malformed", call("PATCH", "/jobs/shop/j1", JOB));
        assertEquals("404 unknown-customer", put("/jobs/nobody/j1", JOB));
        assertEquals(0, store.writes());
    }

    private String submit(String job) {
        try {
            return put("/jobs/shop/" + job, JOB);
        } catch (Exception e) {
            return e.toString();
        }
    }

    private String cancel(String job) {
        try {
            return call("DELETE", "/jobs/shop/" + job, "");
        } catch (Exception e) {
            return e.toString();
        }
    }

    private String put(String path, String body) throws Exception {
        return call("PUT", path, body);
    }

    private String call(String method, String path, String body) throws Exception {
        HttpResponse<String> response = entry.call(method, path, body);
        String reason = response.body().replaceAll("(?s).*\"reason\":\"([a-z-]*)\".*", " $1");
        return response.statusCode() + (response.statusCode() < 300 ? "" : reason);
    }
}
