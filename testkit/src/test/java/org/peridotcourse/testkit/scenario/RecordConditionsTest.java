package org.peridotcourse.testkit.scenario;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against conditions on records that hold although they should not. */
class RecordConditionsTest {
    private static final String FIRST =
            "{\"record\":[{\"at\":1,\"event\":\"started\",\"task\":\"a\",\"epoch\":1},"
                    + "{\"at\":5,\"event\":\"stopped\",\"task\":\"a\",\"epoch\":1}]}";

    private static String second(int at) {
        return "{\"record\":[{\"at\":" + at + ",\"event\":\"started\",\"task\":\"a\"}]}";
    }

    private static String joined(int at) {
        return RecordConditions.join(List.of(FIRST, second(at)), "/record");
    }

    /** Guards against overlapping attempts of a task that remain undetected. */
    @Test
    void exclusiveDetectsOverlap() {
        assertTrue(RecordConditions.exclusive(joined(5)));
        assertFalse(RecordConditions.exclusive(joined(4)));
    }

    /**
     * Guards against counts that include entries that do not match, or that hold without a record.
     */
    @Test
    void countAppliesAllFilters() {
        assertTrue(
                RecordConditions.count(
                        joined(6), List.of("count", "==", "1", "event=started", "at>=6")));
        assertTrue(RecordConditions.count(joined(6), List.of("count", "==", "3", "task~a")));
        assertFalse(
                RecordConditions.count(joined(6), List.of("count", "==", "2", "event=stopped")));
        assertFalse(RecordConditions.count("no response", List.of("count", "==", "0")));
    }

    /** Guards against repeated values that are taken as distinct. */
    @Test
    void distinctDetectsRepetition() {
        assertFalse(
                RecordConditions.distinct(joined(6), List.of("distinct", "task", "event=started")));
        assertTrue(
                RecordConditions.distinct(joined(6), List.of("distinct", "task", "event=stopped")));
    }
}
