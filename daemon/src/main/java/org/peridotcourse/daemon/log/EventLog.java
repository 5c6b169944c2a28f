package org.peridotcourse.daemon.log;

import java.lang.System.Logger;

/**
 * Writes one line of {@code key=value} pairs for each event to a {@link System.Logger}.
 *
 * <p>Call {@link #event}, add the fields and end with {@link Line#write}. The log is thread-safe; a
 * line is used by one thread.
 */
public final class EventLog {
    private final Logger logger;
    private final DecisionRing decisions;

    /**
     * Creates a log.
     *
     * @param logger receives the lines
     * @param decisions stores the newest decisions for {@code explain}
     */
    public EventLog(Logger logger, DecisionRing decisions) {
        this.logger = logger;
        this.decisions = decisions;
    }

    /**
     * Returns the newest decisions.
     *
     * @return the ring buffer to which this log adds decisions
     */
    public DecisionRing decisions() {
        return decisions;
    }

    /**
     * Begins a line.
     *
     * @param event the kind of record
     * @return the line
     */
    public Line event(Event event) {
        return new Line(event);
    }

    /** A line being built. Not thread-safe. */
    public final class Line {
        private final Event event;
        private final StringBuilder text = new StringBuilder(96);
        private String subject;

        private Line(Event event) {
            this.event = event;
            text.append("PC").append(event.number()).append(' ').append(event.title());
        }

        /**
         * Adds a field. Values with blanks, quotes or equals signs are quoted.
         *
         * @param key the name of the field
         * @param value the value
         * @return this line
         */
        public Line with(String key, Object value) {
            text.append(' ').append(key).append('=').append(quote(String.valueOf(value)));
            return this;
        }

        /**
         * Adds fields that are already formatted as pairs.
         *
         * @param pairs {@code key=value} pairs joined by blanks, possibly empty
         * @return this line
         */
        public Line withPairs(String pairs) {
            if (!pairs.isEmpty()) {
                text.append(' ').append(pairs.trim());
            }
            return this;
        }

        /**
         * Marks this line as a decision about a request or task, so that {@code explain} can show
         * it.
         *
         * @param id the id of the request or task
         * @return this line
         */
        public Line forSubject(String id) {
            subject = id;
            return this;
        }

        /** Writes the line. */
        public void write() {
            String line = text.toString();
            if (subject != null) {
                decisions.add(subject, line);
            }
            logger.log(event.level(), line);
        }

        private static String quote(String value) {
            boolean plain = !value.isEmpty();
            for (int i = 0; i < value.length() && plain; i++) {
                char c = value.charAt(i);
                plain = c > ' ' && c != '"' && c != '=' && c != '\\' && c != 0x7f;
            }
            if (plain) {
                return value;
            }
            StringBuilder quoted = new StringBuilder("\"");
            for (int i = 0; i < value.length(); i++) {
                char c = value.charAt(i);
                if (c == '"' || c == '\\') {
                    quoted.append('\\').append(c);
                } else {
                    quoted.append(c < ' ' || c == 0x7f ? '?' : c);
                }
            }
            return quoted.append('"').toString();
        }
    }
}
