package org.peridotcourse.routing;

/**
 * Number of live entry hosts that share the backend servers, and the position of this entry host.
 *
 * <p>The position, which is the index of the own name in the sorted list of live entry hosts,
 * determines which hosts receive the remainder if the slots of a backend server do not divide
 * evenly. The remainder goes to different hosts on different backend servers. Instances are
 * immutable and thread-safe.
 *
 * @param count number of live entry hosts, at least 1
 * @param index position of this entry host, from 0 to {@code count - 1}
 */
public record EntryHosts(int count, int index) {
    /** Corrects values out of range, which may occur while the host list changes. */
    public EntryHosts {
        count = Math.max(1, count);
        index = Math.floorMod(index, count);
    }

    /**
     * Returns the share of a total that belongs to this entry host.
     *
     * <p>The shares of all entry hosts add up to exactly the total.
     *
     * @param total the number to divide
     * @param salt number that selects which hosts receive the remainder
     * @return the share
     */
    public int shareOf(int total, int salt) {
        int rank = Math.floorMod(index + salt, count);
        return total / count + (rank < total % count ? 1 : 0);
    }
}
