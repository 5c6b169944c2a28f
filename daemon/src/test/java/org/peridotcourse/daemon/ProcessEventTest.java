package org.peridotcourse.daemon;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.peridotcourse.daemon.log.DecisionRing;
import org.peridotcourse.daemon.log.EventLog;

/**
 * Guards against a duty thread that ends because an exception without a stack trace makes the
 * recording of the fault throw.
 */
class ProcessEventTest {
    @Test
    void recordsFaultWithoutStackTrace() {
        EventLog log = new EventLog(System.getLogger("test"), new DecisionRing(1));
        IllegalArgumentException fault = new IllegalArgumentException("no trace");
        fault.setStackTrace(new StackTraceElement[0]);

        assertTrue(fault.getStackTrace().length == 0);
        assertDoesNotThrow(() -> ProcessEvent.recordFault(log, "jobs", fault));
    }
}
