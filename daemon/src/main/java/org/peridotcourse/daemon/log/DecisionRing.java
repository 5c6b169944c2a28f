package org.peridotcourse.daemon.log;

import java.util.ArrayList;
import java.util.List;

/**
 * Stores the newest decisions in a ring buffer of fixed size for {@code explain}.
 *
 * <p>Older decisions are overwritten. It is thread-safe.
 */
public final class DecisionRing {
    private final String[] subjects;
    private final String[] lines;
    private long count;

    /**
     * Creates an empty ring buffer.
     *
     * @param capacity the number of decisions to keep
     */
    public DecisionRing(int capacity) {
        this.subjects = new String[capacity];
        this.lines = new String[capacity];
    }

    /**
     * Adds a decision.
     *
     * @param subject the id of the request or task
     * @param line the log line
     */
    public synchronized void add(String subject, String line) {
        int slot = (int) (count % lines.length);
        subjects[slot] = subject;
        lines[slot] = line;
        count++;
    }

    /**
     * Returns the decisions about a request or task.
     *
     * @param subject the id of the request or task
     * @return the log lines, oldest first
     */
    public synchronized List<String> linesAbout(String subject) {
        List<String> found = new ArrayList<>();
        long first = Math.max(0, count - lines.length);
        for (long i = first; i < count; i++) {
            int slot = (int) (i % lines.length);
            if (subjects[slot].equals(subject)) {
                found.add(lines[slot]);
            }
        }
        return found;
    }
}
