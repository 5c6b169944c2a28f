package org.peridotcourse.daemon.entry;

import java.util.concurrent.atomic.AtomicLong;
import org.peridotcourse.daemon.http.ByteBudget;

/** Bounds the bytes of all bodies of requests and responses in memory. It is thread-safe. */
final class BodyBudget implements ByteBudget {
    /** With less than this left, the response to one more request would probably not fit. */
    private static final long HEADROOM = 64 * 1024;

    private final AtomicLong used = new AtomicLong();
    private final long limit;

    BodyBudget(long limit) {
        this.limit = limit;
    }

    long used() {
        return used.get();
    }

    /** Tells whether no further request may be forwarded. */
    boolean isExhausted() {
        return used.get() + HEADROOM > limit;
    }

    /** Takes bytes that are in memory already, even beyond the limit. */
    void count(long bytes) {
        used.addAndGet(bytes);
    }

    @Override
    public boolean take(long bytes) {
        if (used.addAndGet(bytes) <= limit) {
            return true;
        }
        used.addAndGet(-bytes);
        return false;
    }

    @Override
    public void release(long bytes) {
        used.addAndGet(-bytes);
    }
}
