package org.peridotcourse.daemon.control;

import java.util.function.LongSupplier;
import org.peridotcourse.Result;
import org.peridotcourse.daemon.platform.HostSource;
import org.peridotcourse.membership.HostList;

/**
 * Reads the host list and merges it into the membership. Confined to one thread.
 *
 * <p>The period grows with the length of the list, so that the list takes a bounded share of the
 * bytes that a daemon may use.
 */
public final class HostDuty implements Duty {
    /** Period for a short list; shorter than the delay within which a leaving server must rest. */
    static final long MIN_PERIOD_MILLIS = 2000;

    /** About 200 bytes for each entry at 8 KB/s, a third of the control overhead of a daemon. */
    static final long MILLIS_PER_HOST = 25;

    private final HostSource source;
    private final Membership membership;
    private final LongSupplier clock;
    private long nextReadMillis = Long.MIN_VALUE;

    /**
     * Creates the duty.
     *
     * @param source the host list
     * @param membership receives the list
     * @param clock the monotonic clock, read at the sending of requests
     */
    public HostDuty(HostSource source, Membership membership, LongSupplier clock) {
        this.source = source;
        this.membership = membership;
        this.clock = clock;
    }

    @Override
    public void step(long nowMillis) {
        if (nowMillis < nextReadMillis) {
            return;
        }
        long sentMillis = clock.getAsLong();
        Result<HostList> read = source.hosts();
        long period = MIN_PERIOD_MILLIS;
        if (read instanceof Result.Ok<HostList> ok) {
            membership.onHostList(sentMillis, ok.value());
            period = Math.max(period, ok.value().hosts().size() * MILLIS_PER_HOST);
        }
        nextReadMillis = nowMillis + period;
    }
}
