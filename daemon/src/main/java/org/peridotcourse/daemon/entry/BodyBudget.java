package org.peridotcourse.daemon.entry;

import java.util.concurrent.atomic.AtomicLong;

/** Bounds the bytes of all request bodies in memory. It is thread-safe. */
final class BodyBudget {
    private final AtomicLong used = new AtomicLong();
    private final long limit;

    BodyBudget(long limit) {
        this.limit = limit;
    }

    long used() {
        return used.get();
    }

    boolean take(long bytes) {
        if (used.addAndGet(bytes) <= limit) {
            return true;
        }
        used.addAndGet(-bytes);
        return false;
    }

    void release(long bytes) {
        used.addAndGet(-bytes);
    }
}
