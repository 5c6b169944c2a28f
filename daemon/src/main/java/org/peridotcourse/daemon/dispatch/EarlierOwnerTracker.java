package org.peridotcourse.daemon.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.peridotcourse.Result;
import org.peridotcourse.daemon.ring.EventLoop;
import org.peridotcourse.dispatch.OwnerTerm;

/**
 * Determines when no earlier owner can send orders any more: each of them has confirmed that it
 * sends no orders, has restarted, or has been unable to renew its lease for longer than its hold
 * time. Holders for which none of this is known yet (unsettled holders) are stored for the next
 * owner. Confined to the event loop.
 */
final class EarlierOwnerTracker {
    private static final long PERIOD_MILLIS = 300;
    private static final long TIMEOUT_MILLIS = 1_200;

    private final EventLoop loop;
    private final HostComponents components;
    private final HostDirectory directory;
    private final PeerHostClient peerClient;
    private final OwnerTerm term;
    private final long epochVersion;
    private final Set<String> unsettledHolders = new TreeSet<>();

    private Runnable listener = () -> {};
    private boolean rowRead;
    private boolean stopped;

    EarlierOwnerTracker(
            HostComponents components,
            HostDirectory directory,
            PeerHostClient peerClient,
            OwnerTerm term,
            long epochVersion,
            Optional<String> previousHolder) {
        this.components = components;
        this.loop = components.loop();
        this.directory = directory;
        this.peerClient = peerClient;
        this.term = term;
        this.epochVersion = epochVersion;
        previousHolder.ifPresent(unsettledHolders::add);
    }

    /** Starts; the listener runs once, when no earlier owner can send orders any more. */
    void start(Runnable onAllEnded) {
        listener = onAllEnded;
        read();
    }

    void stop() {
        stopped = true;
    }

    private void read() {
        if (!stopped) {
            components
                    .store()
                    .read(
                            RowRange.ofKey(RowNames.DUTIES, RowNames.PART, RowNames.EARLIER_KEY),
                            TIMEOUT_MILLIS,
                            this::onRead);
        }
    }

    private void onRead(Result<RowSet> result) {
        if (!(result instanceof Result.Ok<RowSet> ok)) {
            loop.schedule(PERIOD_MILLIS, this::read);
            return;
        }
        ok.value().row(RowNames.EARLIER_KEY).ifPresent(this::addEarlier);
        unsettledHolders.remove(directory.holderName());
        rowRead = true;
        write();
        checkHolders();
    }

    private void addEarlier(StoredRow row) {
        Result<List<String>> names = RowCodec.names(row.value());
        names.toOptional().ifPresent(unsettledHolders::addAll);
        names.failure().ifPresent(failure -> RowLog.logUnreadable(components.log(), row, failure));
    }

    private void checkHolders() {
        if (stopped) {
            return;
        }
        boolean holdExpired = loop.nowMillis() >= term.earlierOwnersMayOrderUntil();
        for (String holder : new ArrayList<>(unsettledHolders)) {
            if (holdExpired || directory.hasEnded(holder)) {
                settle(holder);
            } else {
                directory
                        .hostAddress(holder)
                        .ifPresent(
                                address ->
                                        peerClient.requestStandDown(
                                                address, term.epoch(), () -> settle(holder)));
            }
        }
        if (unsettledHolders.isEmpty()) {
            finish();
        } else {
            loop.schedule(PERIOD_MILLIS, this::checkHolders);
        }
    }

    private void settle(String holder) {
        unsettledHolders.remove(holder);
    }

    private void finish() {
        write();
        listener.run();
    }

    /**
     * Stores the unsettled holders. If the write is lost, a settled holder stays in the store,
     * which only makes the next owner wait longer.
     */
    private void write() {
        if (rowRead) {
            RowWrite write =
                    RowWrite.builder(RowNames.PART)
                            .expect(RowNames.DUTIES, RowNames.EPOCH_KEY, epochVersion)
                            .put(
                                    RowNames.DUTIES,
                                    RowNames.EARLIER_KEY,
                                    RowCodec.names(unsettledHolders))
                            .build();
            components.store().write(write, TIMEOUT_MILLIS, this::onWritten);
        }
    }

    private void onWritten(RowOutcome outcome) {
        outcome.failure()
                .ifPresent(
                        failure ->
                                components
                                        .log()
                                        .event(DispatchEvent.PROGRESS_DELAYED)
                                        .with("jobs", 0)
                                        .with("reason", failure.code())
                                        .with("epoch", term.epoch())
                                        .write());
    }
}
