package org.peridotcourse.dispatch;

/**
 * The times at which a job runs.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param timedOccurrences the number of timed occurrences, 0 for a job that runs once and without
 *     delay
 * @param startAtMillis wall-clock time of the first occurrence
 * @param intervalMillis time between occurrences
 */
public record Schedule(int timedOccurrences, long startAtMillis, long intervalMillis) {
    /** Runs once, without delay. */
    public static final Schedule ONCE = new Schedule(0, 0, 0);

    /**
     * Returns whether the occurrences have start times.
     *
     * @return true unless the job runs once and without delay
     */
    public boolean isTimed() {
        return timedOccurrences > 0;
    }

    /**
     * Returns the number of occurrences.
     *
     * @return at least 1
     */
    public int occurrences() {
        return Math.max(1, timedOccurrences);
    }
}
