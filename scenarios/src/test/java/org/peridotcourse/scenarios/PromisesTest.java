package org.peridotcourse.scenarios;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Verifies the guarantees with separate processes, by the records that the stand-ins keep. */
class PromisesTest {
    @TempDir Path work;

    /** Guards against lookups that fail, or leave their data centre without a fault. */
    @Test
    void lookupInCalm() {
        ScenarioVerifier.verify("calm-lookup", work);
    }

    /** Guards against a second run of a plan whose backend server crashed (P7). */
    @Test
    void backendServerDiesInPlan() {
        ScenarioVerifier.verify("backend-dies", work);
    }

    /** Guards against false refusals and delayed requests during a store outage (P6, P12). */
    @Test
    void storeAway() {
        ScenarioVerifier.verify("store-away", work);
    }

    /** Guards against lost or repeated plans when the response to a claim is lost (P7). */
    @Test
    void claimAnswerLost() {
        ScenarioVerifier.verify("claim-answer-lost", work);
    }

    /** Guards against a second run of a plan whose entry host was killed (P7). */
    @Test
    void entryHostKilled() {
        ScenarioVerifier.verify("entry-host-killed", work);
    }

    /** Guards against delivering incomplete responses or those to other requests (P5). */
    @Test
    void brokenAnswers() {
        ScenarioVerifier.verify("broken-answers", work);
    }

    /** Guards against callers that hang on unresponsive connections (P7, P12). */
    @Test
    void silentConnections() {
        ScenarioVerifier.verify("silent-connections", work);
    }

    /** Guards against requests that reach a leaving server, or that it aborts (P8). */
    @Test
    void backendServerLeaves() {
        ScenarioVerifier.verify("backend-leaves", work);
    }

    /** Guards against requests that a planned stop aborts (P9). */
    @Test
    void plannedStop() {
        ScenarioVerifier.verify("planned-stop", work);
    }

    /** Guards against starts in a data centre that is out, and lost or repeated work (P3, P4). */
    @Test
    void centreOutAndBack() {
        ScenarioVerifier.verify("centre-out-and-back", work);
    }

    /** Guards against starts and stops of tasks during a store outage (P2, P11). */
    @Test
    void storeOutageInBatch() {
        ScenarioVerifier.verify("store-outage-batch", work);
    }

    /** Guards against evicted work that is lost or runs twice (P3). */
    @Test
    void eviction() {
        ScenarioVerifier.verify("eviction", work);
    }

    /** Guards against two owners of one data centre (P2). */
    @Test
    void ownerFrozen() {
        ScenarioVerifier.verify("owner-frozen", work);
    }

    /** Guards against wrong responses to invalid input, and effects on others (P6, P10). */
    @Test
    void badInput() {
        ScenarioVerifier.verify("bad-input", work);
    }
}
