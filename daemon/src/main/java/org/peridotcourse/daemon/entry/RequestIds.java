package org.peridotcourse.daemon.entry;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Generates identifiers that are never reused, from daemon name, incarnation and a counter. It is
 * thread-safe.
 */
public final class RequestIds {
    private final String prefix;
    private final AtomicLong counter = new AtomicLong();

    /**
     * Creates a source of identifiers.
     *
     * @param daemon the name of the daemon
     * @param incarnation a number that is unique to this run of the daemon
     */
    public RequestIds(String daemon, long incarnation) {
        this.prefix = daemon + "-" + Long.toHexString(incarnation) + "-";
    }

    /**
     * Returns the next identifier.
     *
     * @return an identifier that was not returned before
     */
    public String next() {
        return prefix + counter.incrementAndGet();
    }
}
