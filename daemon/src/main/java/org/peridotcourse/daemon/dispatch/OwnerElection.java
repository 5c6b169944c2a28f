package org.peridotcourse.daemon.dispatch;

import java.util.Optional;
import java.util.Set;
import org.peridotcourse.Result;
import org.peridotcourse.base.LeaseChallenger;
import org.peridotcourse.base.LeaseHolder;
import org.peridotcourse.base.LeaseRow;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.ring.EventLoop;

/**
 * Takes, renews and releases the ownership by its lease row in the store. Confined to the event
 * loop.
 *
 * <p>A new owner may take over while the old one is still active: workers reject the lower epoch,
 * and the store rejects its writes. Workers that the new owner cannot reach may still execute
 * orders of the old one, so the hold time in the lease row bounds how long an owner sends orders
 * without a confirmed renewal.
 */
final class OwnerElection {
    /** Time without a renewal after which another host takes over. */
    static final long LEASE_MILLIS = 1_500;

    /**
     * How long an owner sends orders without a confirmed renewal while the store is unavailable.
     */
    static final long HOLD_MILLIS = 8_000;

    /** Allowance for the error of the clocks within one lease. */
    private static final long CLOCK_MARGIN_MILLIS = 100;

    private static final long POLL_MILLIS = 350;

    /**
     * A longer gap between answered polls is treated as an outage of the store that affected the
     * owner too. The owner then gets time to renew, since a change of owner costs more.
     */
    private static final long STORE_OUTAGE_GAP_MILLIS = 1_200;

    private static final long TIMEOUT_MILLIS = 1_200;

    /**
     * Shorter time-out while the store is unavailable, so that its recovery is detected within a
     * second.
     */
    private static final long UNAVAILABLE_TIMEOUT_MILLIS = 500;

    /**
     * Hosts delay a takeover by this multiple of their round trip to the store, so that nearer
     * hosts take over first.
     */
    private static final int ROUND_TRIP_FACTOR = 10;

    private static final long MAX_ROUND_TRIP_DELAY_MILLIS = 400;

    /**
     * Additional takeover delay of hosts with a much larger peer, so that larger hosts, which poll
     * within this time, take over first.
     */
    private static final long SMALL_HOST_DELAY_MILLIS = 800;

    /** Listens to changes of the ownership. Implementations run on the event loop. */
    interface Listener {
        /** Called when this host has become the owner. */
        void onTaken(
                long epoch,
                long epochVersion,
                long earlierOwnersMayOrderUntil,
                Set<String> unsettledHolders);

        /** Called when this host is no longer the owner. */
        void onLost(String reason);

        /**
         * Returns the job counts that are published with each renewal, or empty if they are not
         * loaded yet.
         */
        default Optional<PendingCounts> pendingCounts() {
            return Optional.empty();
        }
    }

    private final EventLoop loop;
    private final RowStore store;
    private final StoreHealth health;
    private final HostDirectory directory;
    private final EventLog log;
    private final Listener listener;
    private final PublishedCounts published;

    private LeaseChallenger challenger;
    private Optional<LeaseHolder> holder = Optional.empty();

    /** A takeover write without an answer, which may have taken effect or may still do so. */
    private Optional<Takeover> unsettledTakeover = Optional.empty();

    /** Orders may be sent only after a renewal that was sent at or after this time is confirmed. */
    private long renewalRequiredSince = Long.MIN_VALUE;

    /** When the first renewal without an answer since the last confirmed one was sent. */
    private Optional<Long> unansweredRenewalSentAt = Optional.empty();

    private boolean writing;
    private boolean stopping;
    private long lastPollAnsweredAt;
    private long roundTripDelayMillis;
    private long takeoverAt;
    private long noTakeoverBefore;

    OwnerElection(
            EventLoop loop,
            RowStore store,
            StoreHealth health,
            HostDirectory directory,
            EventLog log,
            Listener listener) {
        this.loop = loop;
        this.store = store;
        this.health = health;
        this.directory = directory;
        this.log = log;
        this.listener = listener;
        this.published = new PublishedCounts(log);
        this.challenger = new LeaseChallenger(directory.holderName(), CLOCK_MARGIN_MILLIS);
    }

    void start() {
        poll();
    }

    boolean isOwner() {
        return holder.isPresent();
    }

    /** Returns whether this host may send orders to workers. */
    boolean maySendOrders(long now) {
        return holder.isPresent()
                && now < holder.get().holdEndMillis()
                && holder.get().confirmedSentMillis() >= renewalRequiredSince;
    }

    /**
     * Returns the time until which this host may send orders, or a time in the distant past if it
     * is not the owner.
     */
    long ordersAllowedUntil() {
        return holder.map(LeaseHolder::holdEndMillis).orElse(Long.MIN_VALUE / 2);
    }

    /**
     * Returns the time before which no later owner can exist, or a time in the distant past if this
     * host is not the owner. Another host takes over no earlier than this.
     */
    long soleOwnerUntil() {
        return holder.map(LeaseHolder::leaseEndMillis).orElse(Long.MIN_VALUE / 2);
    }

    /**
     * Called when this process was paused. Another host may be the owner by now, so no order is
     * sent until a renewal that is sent from now on is confirmed.
     */
    void onProcessPaused(long now, long pauseMillis) {
        if (holder.isPresent()) {
            renewalRequiredSince = now;
            log.event(DispatchEvent.OWNER_PAUSED)
                    .with("epoch", holder.get().epoch())
                    .with("pausedMillis", pauseMillis)
                    .write();
        }
    }

    /** Returns the holder name of the owner as of the last poll. */
    Optional<String> ownerName() {
        return challenger.row().filter(row -> !row.isReleased()).map(LeaseRow::holder);
    }

    /**
     * Returns the numbers of jobs that have not started as published by the owner, or empty if they
     * are too old or were published by an earlier owner.
     */
    Optional<PendingCounts> recentCounts(long now) {
        return published.recent(challenger.row().map(LeaseRow::epoch).orElse(0L), now);
    }

    /** Releases the ownership so that another host can take it at once. */
    void release(boolean permanently, long notBefore) {
        stopping |= permanently;
        noTakeoverBefore = notBefore;
        if (holder.isEmpty()) {
            return;
        }
        LeaseHolder current = holder.get();
        LeaseRow row = current.release();
        RowWrite write = ownerWrite(current.commit(), row).build();
        holder = Optional.empty();
        listener.onLost("released");
        // If the release is lost, the next owner only has to wait for the lease to expire.
        store.write(write, TIMEOUT_MILLIS, outcome -> {});
        challenger = new LeaseChallenger(directory.holderName(), CLOCK_MARGIN_MILLIS);
    }

    /** Called when a later owner exists. */
    void onDeposed(String reason) {
        if (holder.isPresent()) {
            holder.get().onSuperseded();
            holder = Optional.empty();
            challenger = new LeaseChallenger(directory.holderName(), CLOCK_MARGIN_MILLIS);
            listener.onLost(reason);
        }
    }

    /** Returns whether this host would take the ownership if it were free. */
    boolean acceptsOwnership(long now) {
        return !stopping
                && !health.isUnavailable()
                && now >= noTakeoverBefore
                && !directory.hasMuchLargerHost();
    }

    /** Called when another host reports that it owns a later epoch. */
    void onLaterOwner(long epoch) {
        if (holder.isPresent() && holder.get().epoch() < epoch) {
            onDeposed("another host reported a later epoch");
        }
    }

    private void poll() {
        long sentAt = loop.nowMillis();
        RowRange range =
                new RowRange(
                        RowNames.DUTIES,
                        RowNames.PART,
                        RowNames.OWNER_KEY,
                        RowNames.PENDING_KEY + "!",
                        RowRange.MAX_ROWS);
        store.read(
                range,
                health.isUnavailable() ? UNAVAILABLE_TIMEOUT_MILLIS : TIMEOUT_MILLIS,
                result -> {
                    loop.schedule(POLL_MILLIS, this::poll);
                    onPoll(result, sentAt);
                });
    }

    private void onPoll(Result<RowSet> result, long sentAt) {
        long now = loop.nowMillis();
        if (!(result instanceof Result.Ok<RowSet> ok)) {
            return;
        }
        boolean gap = lastPollAnsweredAt > 0 && now - lastPollAnsweredAt > STORE_OUTAGE_GAP_MILLIS;
        lastPollAnsweredAt = now;
        roundTripDelayMillis =
                Math.min(
                        MAX_ROUND_TRIP_DELAY_MILLIS,
                        ROUND_TRIP_FACTOR * (loop.nowMillis() - sentAt));
        Optional<LeaseRow> lease = Optional.empty();
        long version = 0;
        for (StoredRow row : ok.value().rows()) {
            if (row.key().equals(RowNames.OWNER_KEY)) {
                lease = parseLease(row);
                version = row.version();
            } else if (row.key().equals(RowNames.PENDING_KEY)) {
                published.onRow(row, sentAt);
            }
        }
        if (version > 0 && lease.isEmpty()) {
            // The epoch of the unreadable row is unknown, so a takeover could use a lower one.
            return;
        }
        if (holder.isPresent()) {
            checkStillOwner(lease, version);
        } else {
            challenger.observe(now, lease, version);
            if (gap) {
                challenger.restartWait(now);
            }
            if (!settleTakeover(lease, version)) {
                challenge(now);
            }
        }
    }

    private Optional<LeaseRow> parseLease(StoredRow row) {
        Result<LeaseRow> lease = RowCodec.lease(row.value());
        lease.failure().ifPresent(failure -> RowLog.logUnreadable(log, row, failure));
        return lease.toOptional();
    }

    /**
     * Completes an earlier takeover without an answer; returns false if it has not taken effect.
     */
    private boolean settleTakeover(Optional<LeaseRow> lease, long version) {
        Optional<Takeover> settled =
                unsettledTakeover.filter(
                        takeover -> lease.isPresent() && lease.get().equals(takeover.row()));
        if (settled.isEmpty() || stopping || writing) {
            return false;
        }
        onTaken(settled.get(), version);
        return true;
    }

    private void checkStillOwner(Optional<LeaseRow> lease, long version) {
        LeaseHolder current = holder.orElseThrow();
        boolean isLater = lease.isPresent() && lease.get().epoch() > current.epoch();
        if (version > current.commit() && isLater) {
            onDeposed("another host took over");
        }
    }

    /**
     * Takes over the ownership if its lease has expired; does nothing if this host is the owner.
     */
    void challenge(long now) {
        if (holder.isPresent()
                || stopping
                || writing
                || now < noTakeoverBefore
                || health.isUnavailable()) {
            return;
        }
        Optional<LeaseRow> row = challenger.takeover(now, LEASE_MILLIS, HOLD_MILLIS);
        boolean holderEnded =
                challenger.row().map(old -> directory.hasEnded(old.holder())).orElse(false);
        if (row.isEmpty() && holderEnded) {
            LeaseRow old = challenger.row().orElseThrow();
            row =
                    Optional.of(
                            new LeaseRow(
                                    directory.holderName(),
                                    old.epoch() + 1,
                                    LEASE_MILLIS,
                                    HOLD_MILLIS,
                                    0));
        }
        if (row.isEmpty()) {
            takeoverAt = 0;
            return;
        }
        if (takeoverAt == 0) {
            long wait =
                    roundTripDelayMillis
                            + (directory.hasMuchLargerHost() ? SMALL_HOST_DELAY_MILLIS : 0);
            takeoverAt = now + wait;
            loop.schedule(wait, () -> challenge(loop.nowMillis()));
        } else if (now >= takeoverAt) {
            takeoverAt = 0;
            takeOver(row.get());
        }
    }

    /**
     * Reads the unsettled holders of earlier epochs, then writes the takeover on the condition that
     * they have not changed, nor the lease since the takeover was decided.
     */
    private void takeOver(LeaseRow row) {
        writing = true;
        long leaseVersion = challenger.commit();
        Optional<LeaseRow> previous = challenger.row();
        store.read(
                RowRange.ofKey(RowNames.DUTIES, RowNames.PART, RowNames.EARLIER_KEY),
                TIMEOUT_MILLIS,
                result -> {
                    if (result instanceof Result.Ok<RowSet> ok && !stopping) {
                        Optional<StoredRow> earlier = ok.value().row(RowNames.EARLIER_KEY);
                        writeTakeover(row, previous, leaseVersion, earlier);
                    } else {
                        writing = false;
                    }
                });
    }

    private void writeTakeover(
            LeaseRow row,
            Optional<LeaseRow> previous,
            long leaseVersion,
            Optional<StoredRow> earlierRow) {
        Set<String> unsettledHolders =
                EarlierOwnerTracker.unsettledHolders(previous, earlierRow, directory, log);
        Takeover takeover = Takeover.of(row, previous, unsettledHolders, loop.nowMillis());
        store.write(
                takeover.toWrite(leaseVersion, earlierRow.map(StoredRow::version).orElse(0L)),
                TIMEOUT_MILLIS,
                outcome -> {
                    writing = false;
                    if (outcome instanceof RowOutcome.Written written && !stopping) {
                        onTaken(takeover, written.version());
                    } else if (outcome instanceof RowOutcome.Conflict conflict) {
                        onConflict(conflict, takeover);
                    } else if (outcome instanceof RowOutcome.Unknown) {
                        unsettledTakeover = Optional.of(mergeWithUnsettled(takeover));
                    }
                });
    }

    /** Handles a conflict; an earlier attempt without an answer may have succeeded. */
    private void onConflict(RowOutcome.Conflict conflict, Takeover takeover) {
        Optional<StoredRow> found = conflict.row(RowNames.DUTIES, RowNames.OWNER_KEY);
        Optional<LeaseRow> storedLease = found.flatMap(this::parseLease);
        if (storedLease.isPresent() && storedLease.get().equals(takeover.row()) && !stopping) {
            onTaken(mergeWithUnsettled(takeover), found.get().version());
        } else if (storedLease.isPresent()) {
            challenger.observe(loop.nowMillis(), storedLease, found.get().version());
        }
    }

    private Takeover mergeWithUnsettled(Takeover takeover) {
        return unsettledTakeover
                .filter(earlier -> earlier.row().equals(takeover.row()))
                .map(takeover::mergedWith)
                .orElse(takeover);
    }

    private void onTaken(Takeover takeover, long version) {
        LeaseRow row = takeover.row();
        unsettledTakeover = Optional.empty();
        unansweredRenewalSentAt = Optional.empty();
        holder = Optional.of(new LeaseHolder(row, version, takeover.sentAt()));
        log.event(DispatchEvent.OWNER_TAKEN)
                .with("epoch", row.epoch())
                .with("before", takeover.previous().map(LeaseRow::holder).orElse("none"))
                .with("afterMillis", loop.nowMillis() - takeover.sentAt())
                .write();
        loop.schedule(LEASE_MILLIS / 3, () -> renew(row.epoch()));
        listener.onTaken(
                row.epoch(),
                version,
                takeover.earlierOwnersMayOrderUntil(),
                takeover.unsettledHolders());
    }

    private void renew(long epoch) {
        if (holder.isEmpty() || holder.get().epoch() != epoch) {
            return;
        }
        LeaseHolder current = holder.get();
        long now = loop.nowMillis();
        Optional<LeaseRow> row = current.renewal(now, HOLD_MILLIS);
        if (row.isEmpty()) {
            loop.schedule(LEASE_MILLIS / 10, () -> renew(epoch));
            return;
        }
        RowWrite.Builder write = ownerWrite(current.commit(), row.get());
        listener.pendingCounts()
                .ifPresent(
                        counts ->
                                write.put(
                                        RowNames.DUTIES,
                                        RowNames.PENDING_KEY,
                                        RowCodec.pending(counts)));
        store.write(
                write.build(),
                health.isUnavailable() ? UNAVAILABLE_TIMEOUT_MILLIS : TIMEOUT_MILLIS,
                outcome -> {
                    loop.schedule(LEASE_MILLIS / 10, () -> renew(epoch));
                    onRenewed(current, row.get(), now, outcome);
                });
    }

    private void onRenewed(LeaseHolder current, LeaseRow row, long sentAt, RowOutcome outcome) {
        if (holder.filter(leaseHolder -> leaseHolder == current).isEmpty()) {
            return;
        }
        if (outcome instanceof RowOutcome.Written written) {
            unansweredRenewalSentAt = Optional.empty();
            current.onRenewalConfirmed(row, written.version(), sentAt);
        } else if (outcome instanceof RowOutcome.Unknown) {
            unansweredRenewalSentAt = unansweredRenewalSentAt.or(() -> Optional.of(sentAt));
        } else if (outcome instanceof RowOutcome.Conflict conflict) {
            Optional<StoredRow> found = conflict.row(RowNames.DUTIES, RowNames.OWNER_KEY);
            Optional<LeaseRow> storedLease = found.flatMap(this::parseLease);
            boolean isOwnRow =
                    storedLease.isPresent()
                            && storedLease.get().holder().equals(row.holder())
                            && storedLease.get().epoch() == row.epoch();
            if (isOwnRow) {
                // An earlier renewal without an answer took effect. A successor may have observed
                // it
                // since, so the hold does not count from the present one.
                long storedSentAt = unansweredRenewalSentAt.orElse(current.confirmedSentMillis());
                unansweredRenewalSentAt = Optional.empty();
                current.onRenewalConfirmed(storedLease.get(), found.get().version(), storedSentAt);
            } else {
                onDeposed("the lease row has another holder");
            }
        }
    }

    private static RowWrite.Builder ownerWrite(long version, LeaseRow row) {
        return RowWrite.builder(RowNames.PART)
                .expect(RowNames.DUTIES, RowNames.OWNER_KEY, version)
                .put(RowNames.DUTIES, RowNames.OWNER_KEY, RowCodec.lease(row));
    }
}
