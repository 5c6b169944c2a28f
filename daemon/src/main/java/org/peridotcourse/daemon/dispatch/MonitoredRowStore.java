package org.peridotcourse.daemon.dispatch;

import java.util.function.Consumer;
import org.peridotcourse.Result;
import org.peridotcourse.daemon.ring.EventLoop;

/** A store that reports all outcomes to {@link StoreHealth}. Confined to the event loop. */
public final class MonitoredRowStore implements RowStore {
    private final RowStore store;
    private final StoreHealth health;
    private final EventLoop loop;

    /**
     * Creates a monitored store.
     *
     * @param store executes the calls
     * @param health receives the outcomes
     * @param loop the event loop
     */
    public MonitoredRowStore(RowStore store, StoreHealth health, EventLoop loop) {
        this.store = store;
        this.health = health;
        this.loop = loop;
    }

    @Override
    public void read(RowRange range, long timeoutMillis, Consumer<Result<RowSet>> handler) {
        store.read(range, timeoutMillis, result -> report(result, handler));
    }

    @Override
    public void write(RowWrite write, long timeoutMillis, Consumer<RowOutcome> handler) {
        store.write(
                write,
                timeoutMillis,
                outcome -> {
                    health.onWrite(outcome, loop.nowMillis());
                    handler.accept(outcome);
                });
    }

    @Override
    public void changes(
            String table, long after, long waitMillis, Consumer<Result<RowSet>> handler) {
        store.changes(table, after, waitMillis, result -> report(result, handler));
    }

    private void report(Result<RowSet> result, Consumer<Result<RowSet>> handler) {
        health.onRead(result, loop.nowMillis());
        handler.accept(result);
    }
}
