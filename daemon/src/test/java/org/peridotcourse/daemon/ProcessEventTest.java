package org.peridotcourse.daemon;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.peridotcourse.daemon.log.DecisionRing;
import org.peridotcourse.daemon.log.EventLog;

/** Guards against a duty thread that ends while it records a fault without a stack trace. */
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
