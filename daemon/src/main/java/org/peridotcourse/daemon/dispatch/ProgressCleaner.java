package org.peridotcourse.daemon.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Removes the progress of ended jobs after their retention time. Confined to the event loop. */
final class ProgressCleaner {
    private static final long PERIOD_MILLIS = 5_000;

    /** Time for which progress is retained after callers may no longer read it. */
    private static final long RETENTION_MARGIN_MILLIS = 30_000;

    /**
     * The largest number of jobs of one write; the two rows of each job must fit one transaction.
     */
    private static final int JOBS_PER_WRITE = 40;

    private final FencedWriter writer;
    private final long retentionMillis;
    private final Consumer<String> onRemoved;

    /** Wall-clock end times by job. */
    private final Map<String, Long> endedAt = new LinkedHashMap<>();

    private long lastAttemptAt;

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

    void onEnded(String job, long wallMillis) {
        endedAt.put(job, wallMillis);
    }

    /** Removes some rows if the period has elapsed. */
    void step(long now, long wallNow) {
        if (now - lastAttemptAt < PERIOD_MILLIS) {
            return;
        }
        lastAttemptAt = now;
        List<String> expired = new ArrayList<>();
        endedAt.forEach(
                (job, endedWallMillis) -> {
                    if (wallNow - endedWallMillis > retentionMillis
                            && expired.size() < JOBS_PER_WRITE) {
                        expired.add(job);
                    }
                });
        if (expired.isEmpty()) {
            return;
        }
        RowWrite.Builder write = writer.begin();
        expired.forEach(job -> write.delete(RowNames.PROGRESS, job).delete(RowNames.CANCELS, job));
        writer.send("old-progress", write.build(), () -> confirm(expired));
    }

    private void confirm(List<String> expired) {
        for (String job : expired) {
            endedAt.remove(job);
            onRemoved.accept(job);
        }
    }
}
