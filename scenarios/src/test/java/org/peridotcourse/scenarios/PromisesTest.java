package org.peridotcourse.scenarios;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards the promises on separate processes, checked by the records of the stand-ins. */
class PromisesTest {
    @TempDir Path work;

    /** Guards against lookups that fail or leave their data centre without need. */
    @Test
    void lookupInCalm() {
        Session.verify("calm-lookup", work);
    }

    /** Guards against a second run of a plan whose backend server died (P7). */
    @Test
    void backendServerDiesInPlan() {
        Session.verify("backend-dies", work);
    }

    /** Guards against false refusals and held requests while the store is away (P6, P12). */
    @Test
    void storeAway() {
        Session.verify("store-away", work);
    }

    /** Guards against lost or repeated plans when a claim's answer is lost (P7). */
    @Test
    void claimAnswerLost() {
        Session.verify("claim-answer-lost", work);
    }

    /** Guards against a second run of a plan whose entry host was killed (P7). */
    @Test
    void entryHostKilled() {
        Session.verify("entry-host-killed", work);
    }

    /** Guards against the delivery of crossed or incomplete responses (P5). */
    @Test
    void brokenAnswers() {
        Session.verify("broken-answers", work);
    }

    /** Guards against callers that are stuck on silent connections (P7, P12). */
    @Test
    void silentConnections() {
        Session.verify("silent-connections", work);
    }

    /** Guards against requests that reach a server that left, or are cut by it (P8). */
    @Test
    void backendServerLeaves() {
        Session.verify("backend-leaves", work);
    }

    /** Guards against requests that are cut by a planned stop (P9). */
    @Test
    void plannedStop() {
        Session.verify("planned-stop", work);
    }

    /** Guards against starts in a data centre that is out, and lost or repeated work (P3, P4). */
    @Test
    void centreOutAndBack() {
        Session.verify("centre-out-and-back", work);
    }

    /** Guards against starts and stops of tasks while the store is away (P2, P11). */
    @Test
    void storeOutageInBatch() {
        Session.verify("store-outage-batch", work);
    }

    /** Guards against evicted work that is lost or runs twice (P3). */
    @Test
    void eviction() {
        Session.verify("eviction", work);
    }

    /** Guards against two owners of one data centre (P2). */
    @Test
    void ownerFrozen() {
        Session.verify("owner-frozen", work);
    }

    /** Guards against bad input that is answered wrongly or disturbs others (P6, P10). */
    @Test
    void badInput() {
        Session.verify("bad-input", work);
    }
}
