package org.peridotcourse.base;

/**
 * Converts time bounds of the local clock to the monotonic clock of a remote process.
 *
 * <p>A reading W of the remote clock that is received at local time t was taken no later than t. At
 * the remote time {@code W + (bound - t)} the local clock therefore shows at most {@code bound},
 * whatever the delay of the message was. Instances are immutable and thread-safe.
 *
 * @param remoteMillis the reading of the remote clock
 * @param receivedMillis the local time at which the reading arrived, or a later one
 */
public record RemoteClock(long remoteMillis, long receivedMillis) {
    /**
     * Converts a time bound.
     *
     * @param boundMillis a time of the local clock
     * @return a time of the remote clock that is never later than the bound
     */
    public long toRemote(long boundMillis) {
        return remoteMillis + (boundMillis - receivedMillis);
    }
}
