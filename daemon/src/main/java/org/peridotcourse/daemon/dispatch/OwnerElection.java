package org.peridotcourse.daemon.dispatch;

import java.util.Optional;
import org.peridotcourse.Result;
import org.peridotcourse.base.LeaseChallenger;
import org.peridotcourse.base.LeaseHolder;
import org.peridotcourse.base.LeaseRow;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.ring.EventLoop;

/**
 * Takes, renews and releases the ownership by its lease row in the store. Confined to the loop.
 *
 * <p>A successor may take over while the old owner still acts: workers refuse the lower epoch, and
 * the store refuses its writes. Only for workers that a successor does not reach does it count how
 * long the old owner may go on, which is the hold of the row.
 */
final class OwnerElection {
    /** Silence of an owner after which another host takes over. */
    static final long LEASE_MILLIS = 1_500;

    /** How long an owner goes on without the store. */
    static final long HOLD_MILLIS = 8_000;

    /** Covers the error of the clocks within one lease. */
    private static final long CLOCK_MARGIN_MILLIS = 100;

    private static final long POLL_MILLIS = 350;

    /**
     * Longer gaps between answered polls mean that the store was away, from the owner too. The
     * owner then gets time to renew, since a change of owner costs more.
     */
    private static final long STORE_OUTAGE_GAP_MILLIS = 1_200;

    /** Counts come with renewals, so older ones mean that the owner or the store is in trouble. */
    private static final long MAX_COUNTS_AGE_MILLIS = 2_500;

    private static final long TIMEOUT_MILLIS = 1_200;

    /** A store that is away is asked often, so that its return is noticed within a second. */
    private static final long UNAVAILABLE_TIMEOUT_MILLIS = 500;

    /** Hosts that are farther from the store wait this multiple of their round trip. */
    private static final int ROUND_TRIP_FACTOR = 10;

    private static final long MAX_ROUND_TRIP_DELAY_MILLIS = 400;

    /** Hosts with little processor let larger ones go first, which poll within this time. */
    private static final long SMALL_HOST_DELAY_MILLIS = 800;

    /** Takes what happens to the ownership. Implementations run on the loop. */
    interface Listener {
        /** Takes a new ownership of this host. */
        void onTaken(
                long epoch, long epochVersion, long earlierOrdersUntil, Optional<String> before);

        /** Takes the end of the ownership of this host. */
        void onLost(String reason);

        /** Returns what is published with each renewal, or empty if it is not known yet. */
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

    private LeaseChallenger challenger;
    private Optional<LeaseHolder> holder = Optional.empty();
    private Optional<PendingCounts> publishedCounts = Optional.empty();
    private long publishedVersion;
    private long publishedAt;

    /** A takeover without an answer, which may have taken effect or may still do so. */
    private Optional<Takeover> unsettledTakeover = Optional.empty();

    /** Renewals that were sent before this time permit nothing. */
    private long renewalRequiredSince = Long.MIN_VALUE;

    private boolean writing;
    private boolean stopping;
    private long lastPollAnsweredAt;
    private long roundTripDelayMillis;
    private long takeoverAt;
    private long noTakeoverBefore;

    /** A takeover that was sent. */
    private record Takeover(
            LeaseRow row, long sentAt, long earlierOrdersUntil, Optional<LeaseRow> previous) {}

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
        this.challenger = new LeaseChallenger(directory.holderName(), CLOCK_MARGIN_MILLIS);
    }

    void start() {
        poll();
    }

    boolean isOwner() {
        return holder.isPresent();
    }

    /** Tells whether this host may give orders. */
    boolean maySendOrders(long now) {
        return holder.isPresent()
                && now < holder.get().holdUntilMillis()
                && holder.get().confirmedSentMillis() >= renewalRequiredSince;
    }

    /** Returns until when this host may give orders, or the distant past. */
    long ordersAllowedUntil() {
        return holder.map(LeaseHolder::holdUntilMillis).orElse(Long.MIN_VALUE / 2);
    }

    /**
     * Takes the news that this process stood still. Another host may be the owner by now, so no
     * order is given until a renewal that is sent from now on is confirmed.
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

    /** Returns the name of the owner as last seen. */
    Optional<String> ownerName() {
        return challenger.row().filter(row -> !row.isReleased()).map(LeaseRow::holder);
    }

    /**
     * Returns the numbers of jobs that have not begun as the owner published them, or empty if they
     * are too old or those of an earlier owner.
     */
    Optional<PendingCounts> recentCounts(long now) {
        long epoch = challenger.row().map(LeaseRow::epoch).orElse(0L);
        return now - publishedAt > MAX_COUNTS_AGE_MILLIS
                ? Optional.empty()
                : publishedCounts.filter(counts -> counts.epoch() >= epoch);
    }

    /** Gives the ownership up so that another host takes it at once. */
    void release(boolean forGood, long notBefore) {
        stopping |= forGood;
        noTakeoverBefore = notBefore;
        if (holder.isEmpty()) {
            return;
        }
        LeaseHolder held = holder.get();
        LeaseRow row = held.release();
        RowWrite write = ownerWrite(held.commit(), row).build();
        holder = Optional.empty();
        listener.onLost("released");
        // A lost release only costs the successor the lease.
        store.write(write, TIMEOUT_MILLIS, outcome -> {});
        challenger = new LeaseChallenger(directory.holderName(), CLOCK_MARGIN_MILLIS);
    }

    /** Takes the news that a later owner exists. */
    void onDeposed(String reason) {
        if (holder.isPresent()) {
            holder.get().superseded();
            holder = Optional.empty();
            challenger = new LeaseChallenger(directory.holderName(), CLOCK_MARGIN_MILLIS);
            listener.onLost(reason);
        }
    }

    /** Tells whether this host would take the ownership if it were free. */
    boolean acceptsOwnership(long now) {
        return !stopping
                && !health.isUnavailable()
                && now >= noTakeoverBefore
                && !directory.hasMuchLargerHost();
    }

    /** Takes the word of another host that it owns a later epoch. */
    void onLaterOwner(long epoch) {
        if (holder.isPresent() && holder.get().epoch() < epoch) {
            onDeposed("another host told of its ownership");
        }
    }

    private void poll() {
        long sentAt = loop.now();
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
                    loop.after(POLL_MILLIS, this::poll);
                    onPoll(result, sentAt);
                });
    }

    private void onPoll(Result<RowSet> result, long sentAt) {
        long now = loop.now();
        if (!(result instanceof Result.Ok<RowSet> ok)) {
            return;
        }
        boolean gap = lastPollAnsweredAt > 0 && now - lastPollAnsweredAt > STORE_OUTAGE_GAP_MILLIS;
        lastPollAnsweredAt = now;
        roundTripDelayMillis =
                Math.min(MAX_ROUND_TRIP_DELAY_MILLIS, ROUND_TRIP_FACTOR * (loop.now() - sentAt));
        Optional<LeaseRow> lease = Optional.empty();
        long version = 0;
        for (StoredRow row : ok.value().rows()) {
            if (row.key().equals(RowNames.OWNER_KEY)) {
                lease = parseLease(row);
                version = row.version();
            } else if (row.key().equals(RowNames.PENDING_KEY)) {
                readCounts(row, sentAt);
            }
        }
        if (version > 0 && lease.isEmpty()) {
            // Its epoch is not known, so that a takeover could give a lower one.
            return;
        }
        if (holder.isPresent()) {
            checkStillOwner(lease, version);
        } else {
            challenger.observe(now, lease, version);
            if (gap) {
                challenger.interrupted(now);
            }
            if (!settleTakeover(lease, version)) {
                challenge(now);
            }
        }
    }

    /**
     * Each renewal rewrites the row, so a version that is seen anew tells the age of the counts.
     */
    private void readCounts(StoredRow row, long sentAt) {
        if (row.version() <= publishedVersion) {
            return;
        }
        boolean ageKnown = publishedVersion > 0;
        publishedVersion = row.version();
        publishedAt = sentAt;
        Result<PendingCounts> counts = RowCodec.pending(row.value());
        counts.failure().ifPresent(why -> RowLog.logUnreadable(log, row, why));
        publishedCounts = ageKnown ? counts.toOptional() : Optional.empty();
    }

    private Optional<LeaseRow> parseLease(StoredRow row) {
        Result<LeaseRow> lease = RowCodec.lease(row.value());
        lease.failure().ifPresent(why -> RowLog.logUnreadable(log, row, why));
        return lease.toOptional();
    }

    /** Tells whether an earlier takeover without an answer has taken effect. */
    private boolean settleTakeover(Optional<LeaseRow> lease, long version) {
        Optional<Takeover> mine =
                unsettledTakeover.filter(one -> lease.isPresent() && lease.get().equals(one.row()));
        if (mine.isEmpty() || stopping || writing) {
            return false;
        }
        onTaken(mine.get(), version);
        return true;
    }

    private void checkStillOwner(Optional<LeaseRow> lease, long version) {
        LeaseHolder held = holder.orElseThrow();
        boolean later = lease.isPresent() && lease.get().epoch() > held.epoch();
        if (version > held.commit() && later) {
            onDeposed("another host took over");
        }
    }

    /** Takes the ownership over if its lease has ended; a host that owns it has nothing to do. */
    void challenge(long now) {
        if (holder.isPresent()
                || stopping
                || writing
                || now < noTakeoverBefore
                || health.isUnavailable()) {
            return;
        }
        Optional<LeaseRow> row = challenger.takeover(now, LEASE_MILLIS, HOLD_MILLIS);
        boolean ended = challenger.row().map(old -> directory.hasEnded(old.holder())).orElse(false);
        if (row.isEmpty() && ended) {
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
            loop.after(wait, () -> challenge(loop.now()));
        } else if (now >= takeoverAt) {
            takeoverAt = 0;
            takeOver(row.get(), now);
        }
    }

    private void takeOver(LeaseRow row, long now) {
        writing = true;
        Optional<LeaseRow> before = challenger.row();
        long earlierUntil = before.map(old -> earlierOrdersUntil(old, now)).orElse(now);
        Takeover takeover = new Takeover(row, now, earlierUntil, before);
        RowWrite write =
                ownerWrite(challenger.commit(), row)
                        .put(RowNames.DUTIES, RowNames.EPOCH_KEY, RowCodec.lease(row))
                        .build();
        store.write(
                write,
                TIMEOUT_MILLIS,
                outcome -> {
                    writing = false;
                    if (outcome instanceof RowOutcome.Written written && !stopping) {
                        onTaken(takeover, written.version());
                    } else if (outcome instanceof RowOutcome.Conflict conflict) {
                        onConflict(conflict, takeover);
                    } else if (outcome instanceof RowOutcome.Unknown) {
                        unsettledTakeover = Optional.of(takeover);
                    }
                });
    }

    /** An earlier try without an answer may have succeeded. */
    private void onConflict(RowOutcome.Conflict conflict, Takeover takeover) {
        Optional<StoredRow> found = conflict.row(RowNames.DUTIES, RowNames.OWNER_KEY);
        Optional<LeaseRow> present = found.flatMap(this::parseLease);
        if (present.isPresent() && present.get().equals(takeover.row()) && !stopping) {
            onTaken(takeover, found.get().version());
        } else if (present.isPresent()) {
            challenger.observe(loop.now(), present, found.get().version());
        }
    }

    private long earlierOrdersUntil(LeaseRow old, long now) {
        boolean over = old.isReleased() || directory.hasEnded(old.holder());
        return over ? now : now + old.holdMillis();
    }

    private void onTaken(Takeover takeover, long version) {
        LeaseRow row = takeover.row();
        unsettledTakeover = Optional.empty();
        holder = Optional.of(new LeaseHolder(row, version, takeover.sentAt()));
        log.event(DispatchEvent.OWNER_TAKEN)
                .with("epoch", row.epoch())
                .with("before", takeover.previous().map(LeaseRow::holder).orElse("none"))
                .with("afterMillis", loop.now() - takeover.sentAt())
                .write();
        loop.after(LEASE_MILLIS / 3, () -> renew(row.epoch()));
        Optional<String> earlier =
                takeover.previous().filter(old -> !old.isReleased()).map(LeaseRow::holder);
        listener.onTaken(row.epoch(), version, takeover.earlierOrdersUntil(), earlier);
    }

    private void renew(long epoch) {
        if (holder.isEmpty() || holder.get().epoch() != epoch) {
            return;
        }
        LeaseHolder held = holder.get();
        long now = loop.now();
        Optional<LeaseRow> row = held.renewal(now, HOLD_MILLIS);
        if (row.isEmpty()) {
            loop.after(LEASE_MILLIS / 10, () -> renew(epoch));
            return;
        }
        RowWrite.Builder write = ownerWrite(held.commit(), row.get());
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
                    loop.after(LEASE_MILLIS / 10, () -> renew(epoch));
                    onRenewed(held, row.get(), now, outcome);
                });
    }

    private void onRenewed(LeaseHolder held, LeaseRow row, long sentAt, RowOutcome outcome) {
        if (holder.filter(present -> present == held).isEmpty()) {
            return;
        }
        if (outcome instanceof RowOutcome.Written written) {
            held.confirmed(row, written.version(), sentAt);
        } else if (outcome instanceof RowOutcome.Conflict conflict) {
            Optional<StoredRow> found = conflict.row(RowNames.DUTIES, RowNames.OWNER_KEY);
            Optional<LeaseRow> present = found.flatMap(this::parseLease);
            boolean own =
                    present.isPresent()
                            && present.get().holder().equals(row.holder())
                            && present.get().epoch() == row.epoch();
            if (own) {
                // An earlier renewal without an answer took effect.
                held.confirmed(present.get(), found.get().version(), sentAt);
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
