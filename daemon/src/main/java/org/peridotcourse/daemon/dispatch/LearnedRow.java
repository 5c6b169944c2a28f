package org.peridotcourse.daemon.dispatch;

import java.util.Arrays;
import java.util.function.Supplier;
import org.peridotcourse.dispatch.Learned;

/** Stores now and then what the owner has learned, for its successor. Confined to the loop. */
final class LearnedRow {
    private static final long PERIOD_MILLIS = 3_000;

    private final GuardedWriter writer;
    private final int maxBytes;
    private byte[] stored = new byte[0];
    private long triedAt;

    LearnedRow(GuardedWriter writer, int maxBytes) {
        this.writer = writer;
        this.maxBytes = maxBytes;
    }

    /** Writes the row if it has changed and it is time. */
    void step(Supplier<Learned> learned, long now) {
        if (now - triedAt < PERIOD_MILLIS) {
            return;
        }
        triedAt = now;
        byte[] value = LearnedCodec.encode(learned.get());
        if (Arrays.equals(value, stored) || value.length > maxBytes) {
            return;
        }
        RowWrite write = writer.begin().put(Rows.DUTIES, Rows.LEARNED_KEY, value).build();
        writer.send("learned", write, () -> stored = value);
    }
}
