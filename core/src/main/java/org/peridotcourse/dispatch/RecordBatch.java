package org.peridotcourse.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

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
     * @param workers the workers whose ends are part of it and were not stored before
     */
    public record Change(String job, JobRecord record, Set<String> workers) {
        /**
         * Copies the set.
         *
         * @param job the id of the job
         * @param record its progress
         * @param workers the workers whose ends are part of it
         */
        public Change {
            workers = Set.copyOf(workers);
        }
    }

    /**
     * The last end of a worker that a batch covers.
     *
     * @param life the life of the worker
     * @param end the number of the end
     */
    public record Cursor(long life, long end) {}

    /**
     * Returns the first changes, with the ends that depend on no other change.
     *
     * @param count the number of changes
     * @return the beginning of this batch
     */
    public RecordBatch head(int count) {
        Map<String, Cursor> free = new HashMap<>(cursors);
        changes.subList(count, changes.size())
                .forEach(change -> free.keySet().removeAll(change.workers()));
        return new RecordBatch(changes.subList(0, count), free);
    }

    /**
     * Returns what {@link #head} leaves out.
     *
     * @param count the number of changes that are left out
     * @return the rest, which acknowledges no end by itself
     */
    public RecordBatch tail(int count) {
        return new RecordBatch(changes.subList(count, changes.size()), Map.of());
    }

    /**
     * Tells whether nothing is to be stored or acknowledged.
     *
     * @return true for an empty batch
     */
    public boolean isEmpty() {
        return changes.isEmpty() && cursors.isEmpty();
    }
}
