package org.peridotcourse.daemon.http;

/** Limits the bytes that its users together buffer in memory. Implementations are thread-safe. */
public interface ByteBudget {
    /** A budget without a limit. */
    ByteBudget UNLIMITED =
            new ByteBudget() {
                @Override
                public boolean tryReserve(long bytes) {
                    return true;
                }

                @Override
                public void release(long bytes) {
                    // An unlimited budget keeps no count.
                }
            };

    /**
     * Reserves bytes if the budget has room for them.
     *
     * @param bytes the number of bytes
     * @return true if the bytes were reserved; false if there is no room, in which case nothing is
     *     reserved
     */
    boolean tryReserve(long bytes);

    /**
     * Returns reserved bytes to the budget.
     *
     * @param bytes the number of bytes, at most as many as were reserved
     */
    void release(long bytes);
}
