package org.peridotcourse.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Changed job records that must be stored before the ends of runs that caused them are
 * acknowledged.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param changes the records to store
 * @param ackCursors by worker id, the last end that may be acknowledged afterwards
 */
public record RecordBatch(List<Change> changes, Map<String, AckCursor> ackCursors) {
    /** Maximum number of jobs in a batch: at four entries for each job it fits one transaction. */
    public static final int MAX_JOBS = 24;

    /**
     * Copies the collections.
     *
     * @param changes the records to store
     * @param ackCursors the last ends that may be acknowledged afterwards
     */
    public RecordBatch {
        changes = List.copyOf(changes);
        ackCursors = Map.copyOf(ackCursors);
    }

    /**
     * The new record of a job.
     *
     * @param job the id of the job
     * @param number the number of the record, counted from 1 for each job and owner
     * @param record the new record
     * @param workersOfEnds ids of the workers with ends that are part of it and were not stored
     *     before
     */
    public record Change(String job, int number, JobRecord record, Set<String> workersOfEnds) {
        /**
         * Copies the set.
         *
         * @param job the id of the job
         * @param number the number of the record
         * @param record the new record
         * @param workersOfEnds ids of the workers with ends that are part of it
         */
        public Change {
            workersOfEnds = Set.copyOf(workersOfEnds);
        }
    }

    /**
     * The last end of a worker that may be acknowledged once the batch is stored.
     *
     * @param incarnation the incarnation of the worker
     * @param lastEnd the sequence number of the end
     */
    public record AckCursor(long incarnation, long lastEnd) {}

    /**
     * Returns a batch of the first changes. It acknowledges only ends that changed no job outside
     * of it.
     *
     * @param count the number of changes
     * @return the first part of this batch
     */
    public RecordBatch head(int count) {
        Map<String, AckCursor> independent = new HashMap<>(ackCursors);
        changes.subList(count, changes.size())
                .forEach(change -> independent.keySet().removeAll(change.workersOfEnds()));
        return new RecordBatch(changes.subList(0, count), independent);
    }

    /**
     * Returns the changes that {@link #head} leaves out.
     *
     * @param count the number of changes in the first part
     * @return the second part, which acknowledges no ends
     */
    public RecordBatch tail(int count) {
        return new RecordBatch(changes.subList(count, changes.size()), Map.of());
    }

    /**
     * Returns whether there is nothing to store or acknowledge.
     *
     * @return true for an empty batch
     */
    public boolean isEmpty() {
        return changes.isEmpty() && ackCursors.isEmpty();
    }
}
