package org.peridotcourse.daemon.http;

/** Bounds the bytes that several holders keep in memory. Implementations are thread-safe. */
public interface ByteBudget {
    /** The budget that grants everything. */
    ByteBudget UNLIMITED =
            new ByteBudget() {
                @Override
                public boolean take(long bytes) {
                    return true;
                }

                @Override
                public void release(long bytes) {
                    // Nothing is counted.
                }
            };

    /**
     * Takes bytes if there is room for them.
     *
     * @param bytes the number of bytes
     * @return false if there is no room; then nothing is taken
     */
    boolean take(long bytes);

    /**
     * Gives bytes back.
     *
     * @param bytes the number of bytes, as taken before
     */
    void release(long bytes);
}
