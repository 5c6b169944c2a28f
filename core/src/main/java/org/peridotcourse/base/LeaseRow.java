package org.peridotcourse.base;

/**
 * The content of a row of the table {@code leases}.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param holder name of the holder, empty after a clean release
 * @param epoch number of the ownership period; each takeover increases it by one
 * @param leaseMillis how long a confirmed write keeps the lease, from its sending
 * @param holdMillis how long leases of batch tasks may outlast a confirmed write, from its sending
 * @param writeNumber number of the write within the epoch, so that every rewrite differs
 */
public record LeaseRow(
        String holder, long epoch, long leaseMillis, long holdMillis, long writeNumber) {
    /**
     * Tells whether the holder has released the lease.
     *
     * @return true after a clean release
     */
    public boolean isReleased() {
        return holder.isEmpty();
    }
}
