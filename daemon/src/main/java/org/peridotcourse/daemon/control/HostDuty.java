package org.peridotcourse.daemon.control;

import java.util.function.LongSupplier;
import org.peridotcourse.Result;
import org.peridotcourse.daemon.platform.HostSource;
import org.peridotcourse.membership.HostList;

/**
 * Polls the host list and merges it into the membership. Confined to one thread.
 *
 * <p>The polling period grows with the length of the list, so that the reads use a bounded share of
 * the network bytes that a daemon may use.
 */
public final class HostDuty implements Duty {
    /**
     * Period for a short list; shorter than the delay within which a leaving backend server must
     * stop receiving requests.
     */
    static final long MIN_PERIOD_MILLIS = 2000;

    /**
     * Period for each host in the list. At about 200 bytes for each entry, the reads use 8 KB/s, a
     * third of the control traffic of a daemon.
     */
    static final long MILLIS_PER_HOST = 25;

    private final HostSource source;
    private final Membership membership;
    private final LongSupplier clock;
    private long nextReadMillis = Long.MIN_VALUE;

    /**
     * Creates the duty.
     *
     * @param source the source of the host list
     * @param membership receives each list
     * @param clock the monotonic clock, read when a request is sent
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
