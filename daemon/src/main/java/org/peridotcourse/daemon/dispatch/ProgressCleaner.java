package org.peridotcourse.daemon.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Removes the progress of ended jobs after their retention time. The id of a removed job may be
 * used again, so a row is removed only as it was when the job ended. Confined to the event loop.
 */
final class ProgressCleaner {
    private static final long PERIOD_MILLIS = 5_000;

    /** Time for which progress is retained after callers may no longer read it. */
    private static final long RETENTION_MARGIN_MILLIS = 30_000;

    /**
     * The largest number of jobs of one write; the condition and the two rows of each job must fit
     * one transaction.
     */
    private static final int JOBS_PER_WRITE = 32;

    private final FencedWriter writer;
    private final long retentionMillis;
    private final Consumer<String> onRemoved;
    private final Map<String, EndedJob> endedJobs = new LinkedHashMap<>();
    private long lastAttemptAt;

    /** The wall-clock end time of a job and the version of its last progress row. */
    private record EndedJob(long endedAtMillis, long version) {}

    /** Creates a cleaner; the consumer is called with each job whose rows were removed. */
    ProgressCleaner(FencedWriter writer, long stateRetentionMillis, Consumer<String> onRemoved) {
        this.writer = writer;
        this.retentionMillis = retentionMillis(stateRetentionMillis);
        this.onRemoved = onRemoved;
    }

    /** Returns the time for which the rows of a job are retained after its end. */
    static long retentionMillis(long stateRetentionMillis) {
        return stateRetentionMillis + RETENTION_MARGIN_MILLIS;
    }

    void onEnded(String job, long wallMillis, long version) {
        endedJobs.put(job, new EndedJob(wallMillis, version));
    }

    /**
     * Called when a job was read. If it is later than an ended one with its id, the rows of that
     * one were removed by a write without an answer.
     */
    void onJobRead(String job, long version) {
        EndedJob ended = endedJobs.get(job);
        if (ended != null && version > ended.version()) {
            confirm(job, ended);
        }
    }

    /** Removes some rows if the period has elapsed. */
    void step(long now, long wallNow) {
        if (now - lastAttemptAt < PERIOD_MILLIS) {
            return;
        }
        lastAttemptAt = now;
        Map<String, EndedJob> expired = new LinkedHashMap<>();
        endedJobs.forEach(
                (job, ended) -> {
                    if (wallNow - ended.endedAtMillis() > retentionMillis
                            && expired.size() < JOBS_PER_WRITE) {
                        expired.put(job, ended);
                    }
                });
        if (expired.isEmpty()) {
            return;
        }
        RowWrite.Builder write = writer.begin();
        expired.forEach(
                (job, ended) ->
                        write.expect(RowNames.PROGRESS, job, ended.version())
                                .delete(RowNames.PROGRESS, job)
                                .delete(RowNames.CANCELS, job));
        writer.send(
                "old-progress",
                write.build(),
                version -> expired.forEach(this::confirm),
                conflict -> onConflict(expired, conflict));
    }

    /**
     * Handles rows that have changed since their jobs ended: an earlier try without an answer has
     * removed them, and their ids may have been used again. The other rows are removed later.
     */
    private void onConflict(Map<String, EndedJob> expired, RowOutcome.Conflict conflict) {
        expired.forEach(
                (job, ended) -> {
                    Optional<StoredRow> row = conflict.row(RowNames.PROGRESS, job);
                    if (row.isEmpty() || row.get().version() != ended.version()) {
                        confirm(job, ended);
                    }
                });
    }

    private void confirm(String job, EndedJob ended) {
        if (endedJobs.remove(job, ended)) {
            onRemoved.accept(job);
        }
    }
}
