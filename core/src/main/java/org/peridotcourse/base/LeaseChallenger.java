package org.peridotcourse.base;

import java.util.Optional;

/**
 * Decides when a lease row has been unchanged for long enough to be taken over.
 *
 * <p>Times count from when this process first saw the present commit, on its own monotonic clock.
 * Confined to one thread.
 */
public final class LeaseChallenger {
    /** Covers clock drift between processes within one lease or hold. */
    public static final long MARGIN_MILLIS = 1000;

    private final String name;
    private final long marginMillis;
    private Optional<LeaseRow> row = Optional.empty();
    private long commit;
    private long lastChangeMillis;
    private boolean observed;

    /**
     * Creates a challenger with the usual margin.
     *
     * @param name the name to write into the row on a takeover
     */
    public LeaseChallenger(String name) {
        this(name, MARGIN_MILLIS);
    }

    /**
     * Creates a challenger.
     *
     * @param name the name to write into the row on a takeover
     * @param marginMillis time added to the lease and to the hold
     */
    public LeaseChallenger(String name, long marginMillis) {
        this.name = name;
        this.marginMillis = marginMillis;
    }

    /**
     * Returns the commit of the row as last seen.
     *
     * @return the commit to check in a takeover, 0 if the row is absent
     */
    public long commit() {
        return commit;
    }

    /**
     * Returns the row as last seen.
     *
     * @return the row, or empty if it is absent or has not been read
     */
    public Optional<LeaseRow> row() {
        return row;
    }

    /**
     * Records what a read of the row found.
     *
     * @param nowMillis the present time
     * @param found the row, or empty if it is absent
     * @param foundCommit its commit, 0 if it is absent
     */
    public void observe(long nowMillis, Optional<LeaseRow> found, long foundCommit) {
        if (!observed || foundCommit > commit) {
            observed = true;
            row = found;
            commit = foundCommit;
            lastChangeMillis = nowMillis;
        }
    }

    /**
     * Takes the news that the row could not be observed until now, so that renewals may have been
     * missed or may not have been possible. The holder gets a whole lease from now on.
     *
     * @param nowMillis the present time
     */
    public void restartWait(long nowMillis) {
        lastChangeMillis = Math.max(lastChangeMillis, nowMillis);
    }

    /**
     * Returns the row of a takeover if the lease has ended.
     *
     * @param nowMillis the present time
     * @param leaseMillis duration of the new lease
     * @param holdMillis hold wanted; the row keeps a longer one of its predecessor, whose tasks may
     *     still run under it
     * @return the row to write, checking {@link #commit}, or empty if the lease may still be held
     */
    public Optional<LeaseRow> takeover(long nowMillis, long leaseMillis, long holdMillis) {
        if (!observed) {
            return Optional.empty();
        }
        if (row.isEmpty()) {
            return Optional.of(new LeaseRow(name, 1, leaseMillis, holdMillis, 0));
        }
        LeaseRow old = row.get();
        boolean ended =
                old.isReleased()
                        || nowMillis - lastChangeMillis >= old.leaseMillis() + marginMillis;
        if (!ended) {
            return Optional.empty();
        }
        long hold = Math.max(holdMillis, old.holdMillis());
        return Optional.of(new LeaseRow(name, old.epoch() + 1, leaseMillis, hold, 0));
    }

    /**
     * Tells whether all batch leases granted under the row have ended, so that another data centre
     * may take the batch tasks over. A release changes nothing here, because tasks outlive it.
     *
     * @param nowMillis the present time
     * @return true if the row has been unchanged for its hold plus the margin
     */
    public boolean isHoldExpired(long nowMillis) {
        return row.isPresent()
                && nowMillis - lastChangeMillis >= row.get().holdMillis() + marginMillis;
    }
}
