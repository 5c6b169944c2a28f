package org.peridotcourse.base;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * A state machine that is defined by a state chart in INI format.
 *
 * <p>Each state is a section {@code [state NAME]} with lines {@code EVENT = NEXT_STATE} and at most
 * one line {@code ignored = EVENT EVENT ...} for events that leave the state unchanged. The first
 * section is the initial state. Names are those of the enum constants in lower case with hyphens.
 * Every state must handle or ignore every event, so {@link #next} is defined for all pairs. Lines
 * that start with {@code #} or {@code ;} are comments. Instances are immutable and thread-safe.
 *
 * @param <S> the states
 * @param <E> the events
 */
public final class StateChart<S extends Enum<S>, E extends Enum<E>> {
    private static final String IGNORED = "ignored";

    private final S initial;
    private final Map<S, Map<E, S>> transitions;

    private StateChart(S initial, Map<S, Map<E, S>> transitions) {
        this.initial = initial;
        this.transitions = transitions;
    }

    /**
     * Parses a chart.
     *
     * @param name the name of the chart, for messages
     * @param text the INI text
     * @param states type of the states
     * @param events type of the events
     * @param <S> the states
     * @param <E> the events
     * @return the chart
     * @throws InvalidChartException if the chart has faults; the exception lists all of them
     */
    public static <S extends Enum<S>, E extends Enum<E>> StateChart<S, E> parse(
            String name, String text, Class<S> states, Class<E> events) {
        Parser<S, E> parser = new Parser<>(states, events);
        parser.read(text);
        parser.checkCompleteness();
        if (!parser.faults.isEmpty()) {
            throw new InvalidChartException(name, parser.faults);
        }
        return new StateChart<>(parser.initial, parser.transitions);
    }

    /**
     * Reads a chart from the directory {@code charts} of the class path.
     *
     * @param name the file name without {@code .ini}
     * @param states type of the states
     * @param events type of the events
     * @param <S> the states
     * @param <E> the events
     * @return the chart
     * @throws InvalidChartException if the chart is missing or has faults
     */
    public static <S extends Enum<S>, E extends Enum<E>> StateChart<S, E> load(
            String name, Class<S> states, Class<E> events) {
        String path = "/charts/" + name + ".ini";
        try (InputStream in = StateChart.class.getResourceAsStream(path)) {
            if (in == null) {
                throw new InvalidChartException(name, List.of("no resource " + path));
            }
            String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            return parse(name, text, states, events);
        } catch (IOException e) {
            throw new InvalidChartException(name, List.of("cannot read " + path + ": " + e));
        }
    }

    /**
     * Returns the initial state.
     *
     * @return the state of the first section
     */
    public S initial() {
        return initial;
    }

    /**
     * Returns the state after an event.
     *
     * @param state the current state
     * @param event the event
     * @return the next state, which is the current one if it ignores the event
     */
    public S next(S state, E event) {
        return transitions.get(state).get(event);
    }

    /** Parses one text and collects its transitions and faults. */
    private static final class Parser<S extends Enum<S>, E extends Enum<E>> {
        private final Class<S> states;
        private final Class<E> events;
        private final Map<S, Map<E, S>> transitions;
        private final List<String> faults = new ArrayList<>();
        private S initial;
        private S current;

        Parser(Class<S> states, Class<E> events) {
            this.states = states;
            this.events = events;
            this.transitions = new EnumMap<>(states);
        }

        void read(String text) {
            int lineNumber = 0;
            for (String rawLine : text.split("\n", -1)) {
                lineNumber++;
                String line = rawLine.strip();
                if (line.isEmpty() || line.startsWith("#") || line.startsWith(";")) {
                    continue;
                }
                if (line.startsWith("[")) {
                    readSection(lineNumber, line);
                } else if (line.indexOf('=') > 0) {
                    int equals = line.indexOf('=');
                    readEntry(
                            lineNumber,
                            line.substring(0, equals).strip(),
                            line.substring(equals + 1).strip());
                } else {
                    faults.add("line " + lineNumber + ": neither a section nor an entry: " + line);
                }
            }
        }

        private void readSection(int lineNumber, String line) {
            current = null;
            if (!line.startsWith("[state ") || !line.endsWith("]")) {
                faults.add("line " + lineNumber + ": expected [state NAME]: " + line);
                return;
            }
            String name = line.substring("[state ".length(), line.length() - 1).strip();
            Optional<S> state = constant(states, name);
            if (state.isEmpty()) {
                faults.add("line " + lineNumber + ": unknown state " + name);
            } else if (transitions.containsKey(state.get())) {
                faults.add("line " + lineNumber + ": second section of state " + name);
            } else {
                current = state.get();
                initial = initial == null ? current : initial;
                transitions.put(current, new EnumMap<>(events));
            }
        }

        private void readEntry(int lineNumber, String key, String value) {
            if (current == null) {
                faults.add("line " + lineNumber + ": entry outside of a valid section");
                return;
            }
            if (key.equals(IGNORED)) {
                Arrays.stream(value.split("\\s+"))
                        .forEach(event -> addTransition(lineNumber, event, Optional.of(current)));
                return;
            }
            Optional<S> target = constant(states, value);
            if (target.isEmpty()) {
                faults.add("line " + lineNumber + ": unknown state " + value);
            }
            addTransition(lineNumber, key, target);
        }

        private void addTransition(int lineNumber, String eventName, Optional<S> target) {
            Optional<E> event = constant(events, eventName);
            if (event.isEmpty()) {
                faults.add("line " + lineNumber + ": unknown event " + eventName);
            } else if (target.isPresent()
                    && transitions.get(current).put(event.get(), target.get()) != null) {
                faults.add("line " + lineNumber + ": second entry of event " + eventName);
            }
        }

        void checkCompleteness() {
            for (S state : states.getEnumConstants()) {
                Map<E, S> stateTransitions = transitions.get(state);
                if (stateTransitions == null) {
                    faults.add("no section of state " + code(state));
                    continue;
                }
                for (E event : events.getEnumConstants()) {
                    if (!stateTransitions.containsKey(event)) {
                        faults.add("state " + code(state) + ": unhandled event " + code(event));
                    }
                }
            }
            Set<S> reached = reachable();
            transitions.keySet().stream()
                    .filter(state -> !reached.contains(state))
                    .forEach(state -> faults.add("unreachable state " + code(state)));
        }

        private Set<S> reachable() {
            Set<S> reached = EnumSet.noneOf(states);
            Deque<S> pending = new ArrayDeque<>();
            if (initial != null) {
                pending.add(initial);
            }
            while (!pending.isEmpty()) {
                S state = pending.remove();
                if (reached.add(state) && transitions.containsKey(state)) {
                    pending.addAll(transitions.get(state).values());
                }
            }
            return reached;
        }

        private static <T extends Enum<T>> Optional<T> constant(Class<T> type, String name) {
            return Arrays.stream(type.getEnumConstants())
                    .filter(constant -> code(constant).equals(name))
                    .findFirst();
        }

        private static String code(Enum<?> constant) {
            return Codes.of(constant);
        }
    }
}
