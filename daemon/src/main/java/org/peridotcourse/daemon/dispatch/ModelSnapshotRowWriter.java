package org.peridotcourse.daemon.dispatch;

import java.util.Arrays;
import java.util.function.Supplier;
import org.peridotcourse.dispatch.ModelSnapshot;

/**
 * Periodically stores the model snapshot of the owner for the next owner. Confined to the event
 * loop.
 */
final class ModelSnapshotRowWriter {
    private static final long PERIOD_MILLIS = 3_000;

    private final FencedWriter writer;
    private final int maxBytes;
    private byte[] storedValue = new byte[0];
    private long lastAttemptAt;

    ModelSnapshotRowWriter(FencedWriter writer, int maxBytes) {
        this.writer = writer;
        this.maxBytes = maxBytes;
    }

    /** Writes the row if it has changed and the period has elapsed. */
    void step(Supplier<ModelSnapshot> snapshot, long now) {
        if (now - lastAttemptAt < PERIOD_MILLIS) {
            return;
        }
        lastAttemptAt = now;
        byte[] value = ModelSnapshotCodec.encode(snapshot.get());
        if (Arrays.equals(value, storedValue) || value.length > maxBytes) {
            return;
        }
        RowWrite write = writer.begin().put(RowNames.DUTIES, RowNames.LEARNED_KEY, value).build();
        writer.send("learned", write, () -> storedValue = value);
    }
}
