package org.peridotcourse.daemon.dispatch;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.peridotcourse.base.LeaseRow;

/**
 * A write that takes the ownership. It also stores the unsettled holders, so that every later owner
 * knows them, however short this ownership is.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param row the new lease row
 * @param sentAt when the write was sent
 * @param previous the lease row that it replaces
 * @param unsettledHolders holders of earlier epochs that may still send orders
 * @param earlierOwnersMayOrderUntil monotonic time after which none of them sends orders
 */
record Takeover(
        LeaseRow row,
        long sentAt,
        Optional<LeaseRow> previous,
        Set<String> unsettledHolders,
        long earlierOwnersMayOrderUntil) {
    /**
     * Creates a takeover that is sent now.
     *
     * <p>No holder has renewed its lease since the previous row was written, so each of them sends
     * orders for its hold time from now at most.
     */
    static Takeover of(
            LeaseRow row, Optional<LeaseRow> previous, Set<String> unsettledHolders, long now) {
        long previousHold = previous.map(LeaseRow::holdMillis).orElse(0L);
        long hold = Math.max(row.holdMillis(), previousHold);
        return new Takeover(
                row,
                now,
                previous,
                Set.copyOf(unsettledHolders),
                unsettledHolders.isEmpty() ? now : now + hold);
    }

    /**
     * Returns the write, which takes effect only if neither the lease nor the row of the unsettled
     * holders has changed.
     *
     * @param leaseVersion the version of the previous lease row
     * @param earlierVersion the version of the row of the unsettled holders
     */
    RowWrite toWrite(long leaseVersion, long earlierVersion) {
        byte[] lease = RowCodec.lease(row);
        byte[] holders = RowCodec.names(unsettledHolders);
        return RowWrite.builder(RowNames.PART)
                .expect(RowNames.DUTIES, RowNames.OWNER_KEY, leaseVersion)
                .expect(RowNames.DUTIES, RowNames.EARLIER_KEY, earlierVersion)
                .put(RowNames.DUTIES, RowNames.OWNER_KEY, lease)
                .put(RowNames.DUTIES, RowNames.EPOCH_KEY, lease)
                .put(RowNames.DUTIES, RowNames.EARLIER_KEY, holders)
                .build();
    }

    /**
     * Combines this takeover with an earlier attempt to write the same row. Either may have taken
     * effect, so the lease counts from the first one, as other hosts may have observed it since.
     */
    Takeover mergedWith(Takeover earlier) {
        Set<String> holders = new TreeSet<>(unsettledHolders);
        holders.addAll(earlier.unsettledHolders);
        return new Takeover(
                row,
                earlier.sentAt,
                previous,
                Set.copyOf(holders),
                Math.max(earlier.earlierOwnersMayOrderUntil, earlierOwnersMayOrderUntil));
    }
}
