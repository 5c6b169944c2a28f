package org.peridotcourse.base;

/**
 * The content of a row of the table {@code leases}.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param holder the name of the holder, empty after a release
 * @param epoch the number of the ownership period; each takeover increases it by one
 * @param leaseMillis how long the lease lasts after the sending of a confirmed write
 * @param holdMillis how long leases of batch tasks may last after the sending of a confirmed write
 * @param writeNumber the number of the write within the epoch, so that every write differs; stored
 *     as {@code beat}
 */
public record LeaseRow(
        String holder, long epoch, long leaseMillis, long holdMillis, long writeNumber) {
    /**
     * Returns whether the holder has released the lease.
     *
     * @return true after a release
     */
    public boolean isReleased() {
        return holder.isEmpty();
    }
}
