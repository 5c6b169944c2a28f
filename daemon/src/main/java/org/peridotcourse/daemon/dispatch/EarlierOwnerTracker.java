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
 * Finds out when no earlier owner gives orders any more: each of them has confirmed it, has started
 * anew, or has gone without the store for too long. Holders that are not settled are kept in the
 * store for the next owner. Confined to the loop.
 */
final class EarlierOwnerTracker {
    private static final long PERIOD_MILLIS = 300;
    private static final long TIMEOUT_MILLIS = 1_200;

    private final EventLoop loop;
    private final HostComponents components;
    private final HostDirectory directory;
    private final PeerHostClient peers;
    private final OwnerTerm term;
    private final long epochVersion;
    private final Set<String> unsettledHolders = new TreeSet<>();

    private Runnable listener = () -> {};
    private boolean rowRead;
    private boolean stopped;

    EarlierOwnerTracker(
            HostComponents parts,
            HostDirectory directory,
            PeerHostClient peers,
            OwnerTerm term,
            long epochVersion,
            Optional<String> before) {
        this.components = parts;
        this.loop = parts.loop();
        this.directory = directory;
        this.peers = peers;
        this.term = term;
        this.epochVersion = epochVersion;
        before.ifPresent(unsettledHolders::add);
    }

    /** Begins; the listener runs once, when all earlier owners have ended. */
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
            loop.after(PERIOD_MILLIS, this::read);
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
        names.failure().ifPresent(why -> RowLog.logUnreadable(components.log(), row, why));
    }

    private void checkHolders() {
        if (stopped) {
            return;
        }
        boolean over = loop.now() >= term.earlierOrdersUntil();
        for (String holder : new ArrayList<>(unsettledHolders)) {
            if (over || directory.hasEnded(holder)) {
                settle(holder);
            } else {
                directory
                        .hostAddress(holder)
                        .ifPresent(
                                address ->
                                        peers.requestStandDown(
                                                address, term.epoch(), () -> settle(holder)));
            }
        }
        if (unsettledHolders.isEmpty()) {
            finish();
        } else {
            loop.after(PERIOD_MILLIS, this::checkHolders);
        }
    }

    private void settle(String holder) {
        unsettledHolders.remove(holder);
    }

    private void finish() {
        write();
        listener.run();
    }

    /** A lost write leaves a holder too many in the store, which costs its successor a wait. */
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
                        trouble ->
                                components
                                        .log()
                                        .event(DispatchEvent.NOT_STORED)
                                        .with("jobs", 0)
                                        .with("reason", trouble.code())
                                        .with("epoch", term.epoch())
                                        .write());
    }
}
