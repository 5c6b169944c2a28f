package org.peridotcourse.daemon.dispatch;

import java.util.function.Consumer;
import org.peridotcourse.daemon.log.EventLog;

/**
 * Writes rows of an owner that may be repeated without harm, one write at a time, each under the
 * condition that no later owner exists. Confined to the loop.
 */
final class FencedWriter {
    private static final long TIMEOUT_MILLIS = 1_200;
    private static final long RETRY_MILLIS = 60;

    /** Pause after a write that the store refuses as wrong, which the next try hardly mends. */
    private static final long REFUSED_PAUSE_MILLIS = 2_000;

    private final HostComponents components;
    private final EventLog log;
    private final long epoch;
    private final long epochVersion;
    private final Consumer<String> onDeposed;

    private boolean writing;
    private boolean stopped;
    private long nextWriteAt;

    FencedWriter(HostComponents parts, long epoch, long epochVersion, Consumer<String> deposed) {
        this.components = parts;
        this.log = parts.log();
        this.epoch = epoch;
        this.epochVersion = epochVersion;
        this.onDeposed = deposed;
    }

    void stop() {
        stopped = true;
    }

    /** Tells whether a write may be sent now. */
    boolean isIdle(long now) {
        return !writing && !stopped && now >= nextWriteAt;
    }

    /** Returns a write that takes effect only while no later owner exists. */
    RowWrite.Builder begin() {
        return RowWrite.builder(RowNames.PART)
                .expect(RowNames.DUTIES, RowNames.EPOCH_KEY, epochVersion);
    }

    /**
     * Sends a write.
     *
     * @param what names the write in the log
     * @param write the write
     * @param done runs once the write took effect
     */
    void send(String what, RowWrite write, Runnable done) {
        writing = true;
        components
                .store()
                .write(
                        write,
                        TIMEOUT_MILLIS,
                        outcome -> {
                            writing = false;
                            if (!stopped) {
                                onOutcome(what, outcome, done);
                            }
                        });
    }

    private void onOutcome(String what, RowOutcome outcome, Runnable done) {
        if (outcome instanceof RowOutcome.Written) {
            done.run();
        } else if (outcome instanceof RowOutcome.Conflict) {
            onDeposed.accept("the epoch row has another version");
        } else {
            RowStoreFailure trouble = outcome.failure().orElseThrow();
            boolean refused = trouble == RowStoreFailure.MISUNDERSTOOD;
            nextWriteAt = components.loop().now() + (refused ? REFUSED_PAUSE_MILLIS : RETRY_MILLIS);
            log.event(DispatchEvent.ROW_NOT_WRITTEN)
                    .with("rows", what)
                    .with("reason", trouble.code())
                    .with("epoch", epoch)
                    .write();
        }
    }
}
