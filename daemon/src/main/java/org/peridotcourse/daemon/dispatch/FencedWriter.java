package org.peridotcourse.daemon.dispatch;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.peridotcourse.daemon.log.EventLog;

/**
 * Sends idempotent writes of an owner one at a time, each under the condition that no later owner
 * exists (fencing by the version of the epoch row). Confined to the event loop.
 */
final class FencedWriter {
    private static final long TIMEOUT_MILLIS = 1_200;
    private static final long RETRY_MILLIS = 60;

    /**
     * Pause after a write that the store rejects as invalid, since a retry will probably be
     * rejected too.
     */
    private static final long REJECTED_PAUSE_MILLIS = 2_000;

    private final HostComponents components;
    private final EventLog log;
    private final long epoch;
    private final long epochVersion;
    private final Consumer<String> onDeposed;

    private boolean writing;
    private boolean stopped;
    private long nextWriteAt;

    FencedWriter(
            HostComponents components, long epoch, long epochVersion, Consumer<String> onDeposed) {
        this.components = components;
        this.log = components.log();
        this.epoch = epoch;
        this.epochVersion = epochVersion;
        this.onDeposed = onDeposed;
    }

    void stop() {
        stopped = true;
    }

    /** Returns whether a write may be sent now. */
    boolean isIdle(long now) {
        return !writing && !stopped && now >= nextWriteAt;
    }

    /** Returns the builder of a write that takes effect only while no later owner exists. */
    RowWrite.Builder begin() {
        return RowWrite.builder(RowNames.PART)
                .expect(RowNames.DUTIES, RowNames.EPOCH_KEY, epochVersion);
    }

    /**
     * Sends a write that has no other condition.
     *
     * @param rowKind the name of the write in the log
     * @param write the write
     * @param onWritten runs once the write has taken effect
     */
    void send(String rowKind, RowWrite write, Runnable onWritten) {
        send(rowKind, write, version -> onWritten.run(), conflict -> {});
    }

    /**
     * Sends a write.
     *
     * @param rowKind the name of the write in the log
     * @param write the write
     * @param onWritten receives the version of the written rows once the write has taken effect
     * @param onConflict receives the current rows if another condition than the epoch failed, which
     *     may be because an earlier try without an answer took effect
     */
    void send(
            String rowKind,
            RowWrite write,
            LongConsumer onWritten,
            Consumer<RowOutcome.Conflict> onConflict) {
        writing = true;
        components
                .store()
                .write(
                        write,
                        TIMEOUT_MILLIS,
                        outcome -> {
                            writing = false;
                            if (!stopped) {
                                onOutcome(rowKind, outcome, onWritten, onConflict);
                            }
                        });
    }

    /** Returns whether a conflict shows that a later owner exists. */
    boolean isDeposedBy(RowOutcome.Conflict conflict) {
        Optional<StoredRow> epochRow = conflict.row(RowNames.DUTIES, RowNames.EPOCH_KEY);
        return epochRow.isEmpty() || epochRow.get().version() != epochVersion;
    }

    private void onOutcome(
            String rowKind,
            RowOutcome outcome,
            LongConsumer onWritten,
            Consumer<RowOutcome.Conflict> onConflict) {
        if (outcome instanceof RowOutcome.Written written) {
            onWritten.accept(written.version());
        } else if (outcome instanceof RowOutcome.Conflict conflict) {
            if (isDeposedBy(conflict)) {
                onDeposed.accept("the epoch row has another version");
            } else {
                onConflict.accept(conflict);
            }
        } else {
            RowStoreFailure failure = outcome.failure().orElseThrow();
            boolean rejected = failure == RowStoreFailure.MISUNDERSTOOD;
            nextWriteAt =
                    components.loop().nowMillis()
                            + (rejected ? REJECTED_PAUSE_MILLIS : RETRY_MILLIS);
            log.event(DispatchEvent.ROW_NOT_WRITTEN)
                    .with("rows", rowKind)
                    .with("reason", failure.code())
                    .with("epoch", epoch)
                    .write();
        }
    }
}
