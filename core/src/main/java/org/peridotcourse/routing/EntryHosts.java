package org.peridotcourse.routing;

/**
 * Live entry hosts that share the backend servers, and the position of this one among them.
 *
 * <p>Slots that do not divide evenly go to different hosts on different backend servers, which
 * needs the position. It is the index of the own name in the sorted list of live entry hosts.
 * Instances are immutable and thread-safe.
 *
 * @param count number of live entry hosts, at least 1
 * @param index position of this entry host, from 0 to {@code count - 1}
 */
public record EntryHosts(int count, int index) {
    /** Corrects values out of range, which a host list in transition may yield. */
    public EntryHosts {
        count = Math.max(1, count);
        index = Math.floorMod(index, count);
    }

    /**
     * Returns the part of a total that belongs to this entry host.
     *
     * <p>The parts of all entry hosts add up to exactly the total.
     *
     * @param total the number to divide
     * @param salt number that selects which hosts receive the remainder
     * @return the part
     */
    public int shareOf(int total, int salt) {
        int rank = Math.floorMod(index + salt, count);
        return total / count + (rank < total % count ? 1 : 0);
    }
}
