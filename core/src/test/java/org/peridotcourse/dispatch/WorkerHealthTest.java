package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Guards against quarantining workers for one failing job, and against never probing them again.
 */
class WorkerHealthTest {
    private final WorkerHealth health = new WorkerHealth();

    @Test
    void oneFailingJobCausesNoQuarantine() {
        assertFalse(health.onFailure("a", 0));
        assertFalse(health.onFailure("a", 10));
        assertTrue(health.isSuspect());
        assertFalse(health.isQuarantined(10));
    }

    @Test
    void severalFailingJobsCauseAQuarantineAndTheNextOneIsLonger() {
        health.onFailure("a", 0);
        assertTrue(health.onFailure("b", 0));
        assertTrue(health.isQuarantined(WorkerHealth.FIRST_QUARANTINE_MILLIS - 1));
        assertFalse(health.isQuarantined(WorkerHealth.FIRST_QUARANTINE_MILLIS));
        assertTrue(health.isOnProbation());
        assertTrue(health.onFailure("c", WorkerHealth.FIRST_QUARANTINE_MILLIS));
        assertTrue(health.isQuarantined(2 * WorkerHealth.FIRST_QUARANTINE_MILLIS));
    }

    @Test
    void aSuccessEndsTheProbation() {
        health.onStalledRuns(0);
        health.onSuccess();
        assertFalse(health.isSuspect());
    }
}
