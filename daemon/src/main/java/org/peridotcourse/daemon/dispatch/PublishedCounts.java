package org.peridotcourse.daemon.dispatch;

import java.util.Optional;
import org.peridotcourse.Result;
import org.peridotcourse.daemon.log.EventLog;

/** The numbers of waiting jobs that the owner publishes. Confined to the event loop. */
final class PublishedCounts {
    /**
     * Counts are published with each renewal, so older ones mean that the owner or the store is
     * failing.
     */
    static final long MAX_AGE_MILLIS = 2_500;

    private final EventLog log;
    private Optional<PendingCounts> counts = Optional.empty();
    private long version;
    private long publishedAt;

    PublishedCounts(EventLog log) {
        this.log = log;
    }

    /**
     * Reads the row of the counts. Each renewal rewrites it, so the counts are as old as the first
     * read that returned their version.
     */
    void onRow(StoredRow row, long sentAt) {
        if (row.version() <= version) {
            return;
        }
        boolean ageKnown = version > 0;
        version = row.version();
        publishedAt = sentAt;
        Result<PendingCounts> parsed = RowCodec.pending(row.value());
        parsed.failure().ifPresent(failure -> RowLog.logUnreadable(log, row, failure));
        counts = ageKnown ? parsed.toOptional() : Optional.empty();
    }

    /** Returns the counts, or empty if they are too old or of an owner before the given epoch. */
    Optional<PendingCounts> recent(long epoch, long now) {
        return now - publishedAt > MAX_AGE_MILLIS
                ? Optional.empty()
                : counts.filter(published -> published.epoch() >= epoch);
    }
}
