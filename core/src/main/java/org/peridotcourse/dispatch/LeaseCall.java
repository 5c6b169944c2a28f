package org.peridotcourse.dispatch;

import java.util.OptionalLong;

/**
 * A heartbeat call to a worker: renews its lease, acknowledges stored ends of runs and requests a
 * report.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param worker the receiver
 * @param epoch the epoch of the owner
 * @param leaseEndClockMillis end of the lease on the worker's clock in milliseconds, empty if the
 *     lease is not renewed
 * @param acknowledgedEnd sequence number of the last end that is stored
 * @param incarnationAliveAt monotonic time at which the incarnation to which the acknowledgement
 *     refers was certainly active; a call that may reach a later one must acknowledge nothing,
 *     since each incarnation numbers its ends from 1
 * @param waitMillis how long the worker may wait for the end of a run before it answers
 */
public record LeaseCall(
        WorkerInfo worker,
        long epoch,
        OptionalLong leaseEndClockMillis,
        long acknowledgedEnd,
        long incarnationAliveAt,
        long waitMillis) {}
