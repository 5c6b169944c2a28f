package org.peridotcourse.daemon.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Removes the progress of jobs that ended so long ago that nobody may ask for it. Confined to the
 * loop.
 */
final class ProgressCleaner {
    private static final long PERIOD_MILLIS = 5_000;

    /** Ended jobs are kept this much longer than callers may ask for them. */
    private static final long RETENTION_MARGIN_MILLIS = 30_000;

    /** Two rows for each job fit one transaction. */
    private static final int JOBS_PER_WRITE = 40;

    private final FencedWriter writer;
    private final long retentionMillis;
    private final Consumer<String> onRemoved;

    /** Wall-clock times by job. */
    private final Map<String, Long> endedAt = new LinkedHashMap<>();

    private long lastAttemptAt;

    /** Creates a cleaner; the consumer takes each job whose rows are gone. */
    ProgressCleaner(FencedWriter writer, long stateMillis, Consumer<String> removed) {
        this.writer = writer;
        this.retentionMillis = stateMillis + RETENTION_MARGIN_MILLIS;
        this.onRemoved = removed;
    }

    void onEnded(String job, long wallMillis) {
        endedAt.put(job, wallMillis);
    }

    /** Removes some rows, if it is time. */
    void step(long now, long wallNow) {
        if (now - lastAttemptAt < PERIOD_MILLIS) {
            return;
        }
        lastAttemptAt = now;
        List<String> old = new ArrayList<>();
        endedAt.forEach(
                (job, at) -> {
                    if (wallNow - at > retentionMillis && old.size() < JOBS_PER_WRITE) {
                        old.add(job);
                    }
                });
        if (old.isEmpty()) {
            return;
        }
        RowWrite.Builder write = writer.begin();
        old.forEach(job -> write.delete(RowNames.PROGRESS, job).delete(RowNames.CANCELS, job));
        writer.send("old-progress", write.build(), () -> confirm(old));
    }

    private void confirm(List<String> old) {
        for (String job : old) {
            endedAt.remove(job);
            onRemoved.accept(job);
        }
    }
}
