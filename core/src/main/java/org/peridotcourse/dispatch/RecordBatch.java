package org.peridotcourse.dispatch;

import java.util.List;
import java.util.Map;

/**
 * Changes that must be stored together before the ends behind them are acknowledged.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param changes the records to store
 * @param cursors by worker, the ends that may be acknowledged afterwards
 */
public record RecordBatch(List<Change> changes, Map<String, Cursor> cursors) {
    /** Jobs in one batch: four entries for each job fit one transaction. */
    public static final int MAX_JOBS = 24;

    /**
     * Copies the collections.
     *
     * @param changes the records to store
     * @param cursors the ends behind them
     */
    public RecordBatch {
        changes = List.copyOf(changes);
        cursors = Map.copyOf(cursors);
    }

    /**
     * The new record of a job.
     *
     * @param job the id of the job
     * @param record its progress
     */
    public record Change(String job, JobRecord record) {}

    /**
     * The last end of a worker that a batch covers.
     *
     * @param life the life of the worker
     * @param end the number of the end
     */
    public record Cursor(long life, long end) {}

    /**
     * Tells whether nothing is to be stored or acknowledged.
     *
     * @return true for an empty batch
     */
    public boolean isEmpty() {
        return changes.isEmpty() && cursors.isEmpty();
    }
}
