package org.peridotcourse.daemon.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.peridotcourse.Result;
import org.peridotcourse.base.LeaseRow;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.ring.EventLoop;
import org.peridotcourse.dispatch.OwnerTerm;

/**
 * Determines when no earlier owner can send orders any more: each of them has confirmed that it
 * sends no orders, has restarted, or has been unable to renew its lease for longer than its hold
 * time. Holders for which none of this is known yet (unsettled holders) are in the store for the
 * next owner, where {@link Takeover} put them. Confined to the event loop.
 */
final class EarlierOwnerTracker {
    private static final long PERIOD_MILLIS = 300;
    private static final long TIMEOUT_MILLIS = 1_200;

    /**
     * Stands for the holders in a row that cannot be read. It is the name of no host, so only the
     * hold time settles it.
     */
    private static final String UNKNOWN_HOLDER = "?";

    private final EventLoop loop;
    private final HostComponents components;
    private final HostDirectory directory;
    private final PeerHostClient peerClient;
    private final OwnerTerm term;
    private final long epochVersion;
    private final Set<String> unsettledHolders;

    private Runnable listener = () -> {};
    private boolean stopped;

    EarlierOwnerTracker(
            HostComponents components,
            HostDirectory directory,
            PeerHostClient peerClient,
            OwnerTerm term,
            long epochVersion,
            Set<String> unsettledHolders) {
        this.components = components;
        this.loop = components.loop();
        this.directory = directory;
        this.peerClient = peerClient;
        this.term = term;
        this.epochVersion = epochVersion;
        this.unsettledHolders = new TreeSet<>(unsettledHolders);
    }

    /**
     * Returns the holders that may still send orders after a takeover.
     *
     * @param previous the lease row of the last owner
     * @param earlierRow the row of the holders that the last owner had not settled
     */
    static Set<String> unsettledHolders(
            Optional<LeaseRow> previous,
            Optional<StoredRow> earlierRow,
            HostDirectory directory,
            EventLog log) {
        Set<String> holders = new TreeSet<>();
        previous.filter(old -> !old.isReleased()).map(LeaseRow::holder).ifPresent(holders::add);
        earlierRow.ifPresent(row -> holders.addAll(parse(row, log)));
        holders.removeIf(
                holder -> holder.equals(directory.holderName()) || directory.hasEnded(holder));
        return holders;
    }

    private static List<String> parse(StoredRow row, EventLog log) {
        Result<List<String>> names = RowCodec.names(row.value());
        names.failure().ifPresent(failure -> RowLog.logUnreadable(log, row, failure));
        return names.toOptional().orElse(List.of(UNKNOWN_HOLDER));
    }

    /** Starts; the listener runs once, when no earlier owner can send orders any more. */
    void start(Runnable onAllEnded) {
        listener = onAllEnded;
        if (unsettledHolders.isEmpty()) {
            listener.run();
        } else {
            checkHolders();
        }
    }

    void stop() {
        stopped = true;
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
            storeNoHolders();
            listener.run();
        } else {
            loop.schedule(PERIOD_MILLIS, this::checkHolders);
        }
    }

    private void settle(String holder) {
        unsettledHolders.remove(holder);
    }

    /**
     * Stores that no holder is unsettled. If the write is lost, the settled holders stay in the
     * store, which only makes the next owner wait longer.
     */
    private void storeNoHolders() {
        RowWrite write =
                RowWrite.builder(RowNames.PART)
                        .expect(RowNames.DUTIES, RowNames.EPOCH_KEY, epochVersion)
                        .put(RowNames.DUTIES, RowNames.EARLIER_KEY, RowCodec.names(Set.of()))
                        .build();
        components.store().write(write, TIMEOUT_MILLIS, this::onWritten);
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
