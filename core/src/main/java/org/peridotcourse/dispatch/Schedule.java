package org.peridotcourse.dispatch;

/**
 * When the steps of a job run.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param repeats the number of occurrences, 0 for a job that runs once and at once
 * @param startAtMillis wall-clock time of the first occurrence
 * @param intervalMillis time between occurrences
 */
public record Schedule(int repeats, long startAtMillis, long intervalMillis) {
    /** Runs once, without a set time. */
    public static final Schedule ONCE = new Schedule(0, 0, 0);

    /**
     * Tells whether occurrences have set times.
     *
     * @return true for a repeated job
     */
    public boolean isTimed() {
        return repeats > 0;
    }

    /**
     * Returns the number of occurrences.
     *
     * @return at least 1
     */
    public int occurrences() {
        return Math.max(1, repeats);
    }
}
