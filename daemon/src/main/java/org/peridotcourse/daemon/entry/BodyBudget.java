package org.peridotcourse.daemon.entry;

import java.util.concurrent.atomic.AtomicLong;
import org.peridotcourse.daemon.http.ByteBudget;

/** Limits the bytes of all request and response bodies in memory. It is thread-safe. */
final class BodyBudget implements ByteBudget {
    /**
     * If fewer bytes than this are left, the response to one more request would probably not fit.
     */
    private static final long HEADROOM_BYTES = 64 * 1024;

    private final AtomicLong usedBytes = new AtomicLong();
    private final long limitBytes;

    BodyBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    long usedBytes() {
        return usedBytes.get();
    }

    /** Returns whether too little is left to forward a further request. */
    boolean isExhausted() {
        return usedBytes.get() + HEADROOM_BYTES > limitBytes;
    }

    /** Counts bytes that are already in memory, even beyond the limit. */
    void takeBeyondLimit(long bytes) {
        usedBytes.addAndGet(bytes);
    }

    @Override
    public boolean tryReserve(long bytes) {
        if (usedBytes.addAndGet(bytes) <= limitBytes) {
            return true;
        }
        usedBytes.addAndGet(-bytes);
        return false;
    }

    @Override
    public void release(long bytes) {
        usedBytes.addAndGet(-bytes);
    }
}
