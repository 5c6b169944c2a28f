package org.peridotcourse.base;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against incomplete charts, which would fail only when a rare event arrives. */
class StateChartTest {
    private enum State {
        SHUT,
        HALF_OPEN,
        OPEN
    }

    private enum Event {
        PUSH,
        PULL_BACK
    }

    private static final String VALID =
            """
            # a door
            [state shut]
            push = half-open
            ignored = pull-back
            [state half-open]
            push = open
            pull-back = shut
            [state open]
            pull-back = half-open
            ignored = push
            """;

    private static List<String> faults(String text) {
        return assertThrows(
                        InvalidChartException.class,
                        () -> StateChart.parse("door", text, State.class, Event.class))
                .faults();
    }

    @Test
    void followsTransitionsAndIgnoredEvents() {
        StateChart<State, Event> chart = StateChart.parse("door", VALID, State.class, Event.class);
        assertEquals(State.SHUT, chart.initial());
        assertEquals(State.HALF_OPEN, chart.next(State.SHUT, Event.PUSH));
        assertEquals(State.SHUT, chart.next(State.SHUT, Event.PULL_BACK));
    }

    @Test
    void reportsUnhandledEvents() {
        List<String> faults = faults(VALID.replace("ignored = push\n", ""));
        assertEquals(List.of("state open: unhandled event push"), faults);
    }

    @Test
    void reportsUnreachableStates() {
        List<String> faults = faults(VALID.replace("push = open", "push = shut"));
        assertEquals(List.of("unreachable state open"), faults);
    }

    @Test
    void reportsAllUnknownNamesAtOnce() {
        List<String> faults =
                faults(
                        VALID.replace("push = open", "push = ajar")
                                .replace("= pull-back", "= kick"));
        assertTrue(faults.contains("line 6: unknown state ajar"), faults.toString());
        assertTrue(faults.contains("line 4: unknown event kick"), faults.toString());
    }

    @Test
    void reportsMissingAndRepeatedSections() {
        List<String> faults = faults(VALID.replace("[state open]", "[state shut]"));
        assertTrue(faults.contains("no section of state open"), faults.toString());
        assertTrue(faults.contains("line 8: second section of state shut"), faults.toString());
    }
}
