package org.peridotcourse.daemon.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.peridotcourse.daemon.entry.IncomingCall;
import org.peridotcourse.daemon.log.DecisionRing;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.dispatch.ApiKeys;
import org.peridotcourse.dispatch.ClusterConfig;
import org.peridotcourse.dispatch.QueueRules;

/**
 * Guards against admissions and final rejections by a configuration that may not be the newest one.
 */
class AdmissionTest {
    private static final long START = 10_000;
    private static final long AFTER_RECENT = START + ConfigAge.RECENT_MILLIS + 1;

    private final ConfigAge age =
            new ConfigAge(new EventLog(System.getLogger("test"), new DecisionRing(1)));
    private ClusterConfig config = config(7);
    private final Admission admission =
            new Admission(() -> config, age, call -> call.header("key"));

    AdmissionTest() {
        age.start(START);
    }

    private static ClusterConfig config(long version) {
        ApiKeys keys = ApiKeys.of(Map.of("norte", List.of("good"))).toOptional().orElseThrow();
        return ClusterConfig.of(version, List.of(route("/q/", false), route("/open/", true)))
                .withApiKeys(keys);
    }

    private static ClusterConfig.Route route(String prefix, boolean anonymous) {
        QueueRules queue = new QueueRules(prefix, "svc", 0, 1, 1, 0, Optional.empty());
        return new ClusterConfig.Route("jobs.example", prefix, queue, anonymous);
    }

    private Admission.Decision decide(String path, String key, long now, String... extraHeaders) {
        Map<String, List<String>> headers = new HashMap<>();
        headers.put("host", List.of("jobs.example"));
        headers.put("key", List.of(key));
        for (int i = 0; i < extraHeaders.length; i += 2) {
            headers.put(extraHeaders[i], List.of(extraHeaders[i + 1]));
        }
        return admission.decide(
                new IncomingCall("r1", "GET", path, Optional.empty(), headers, new byte[0]), now);
    }

    private static void assertRejected(
            Class<? extends JobAnswer> kind, Admission.Decision decision) {
        assertInstanceOf(kind, assertInstanceOf(Admission.Rejected.class, decision).answer());
    }

    @Test
    void aConfirmedConfigurationAdmitsAndRejectsCalls() {
        age.confirm(START, 7);
        assertEquals(
                new Admission.Admitted(config.routes().get(0), Optional.of("norte")),
                decide("/q/1", "good", START));
        assertEquals(
                new Admission.Admitted(config.routes().get(1), Optional.empty()),
                decide("/open/1", "bad", START));
        assertRejected(JobAnswer.Unauthorized.class, decide("/q/1", "bad", START));
        assertRejected(JobAnswer.NoQueue.class, decide("/none/1", "bad", START));
    }

    /** A newer version may contain the key or the route. */
    @Test
    void aRejectionByAnUnconfirmedConfigurationIsNotFinal() {
        age.confirm(START, 7);
        assertEquals(new Admission.Undecided(), decide("/q/1", "bad", AFTER_RECENT));
        assertEquals(new Admission.Undecided(), decide("/none/1", "good", AFTER_RECENT));
        assertInstanceOf(Admission.Admitted.class, decide("/q/1", "good", AFTER_RECENT));
    }

    /**
     * After a restart, a host that missed the revocation of a key must not admit calls by its old
     * configuration.
     */
    @Test
    void aConfigurationThatWasOnlyConfirmedBeforeTheStartAdmitsNoCall() {
        assertEquals(new Admission.Undecided(), decide("/q/1", "good", START));
        age.confirm(START - 1, 7);
        assertEquals(new Admission.Undecided(), decide("/q/1", "good", START));
        assertEquals(new Admission.Undecided(), decide("/open/1", "good", START));
    }

    /** The host that forwarded the call may have a newer version in which the key is revoked. */
    @Test
    void aCallFromAHostWithANewerVersionIsRejected() {
        age.confirm(START, 7);
        assertRejected(
                JobAnswer.Refused.class,
                decide("/q/1", "good", START, "peridot-config-version", "8"));
        assertInstanceOf(
                Admission.Admitted.class,
                decide("/q/1", "good", START, "peridot-config-version", "7"));
    }

    @Test
    void withoutAConfigurationACallIsRejected() {
        config = ClusterConfig.EMPTY;
        assertRejected(JobAnswer.Refused.class, decide("/q/1", "good", START));
    }

    /** A late confirmation for an earlier time must change neither the age nor its measurement. */
    @Test
    void aConfirmationForAnEarlierTimeIsIgnored() {
        age.confirm(START + 500, 7);
        age.confirm(START + 200, 7);
        assertEquals(500, age.ageMillis(START + 1_000));
        assertTrue(age.isRecent(START + 500 + ConfigAge.RECENT_MILLIS));
        assertFalse(age.isRecent(START + 501 + ConfigAge.RECENT_MILLIS));
    }

    @Test
    void toStringOfACallContainsNoHeader() {
        IncomingCall call =
                new IncomingCall(
                        "r1",
                        "GET",
                        "/q/1",
                        Optional.of("key=good"),
                        Map.of("authorization", List.of("Bearer good")),
                        new byte[0]);
        assertFalse(call.toString().contains("good"));
    }
}
