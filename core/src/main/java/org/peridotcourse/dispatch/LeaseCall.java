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
 * @param waitMillis how long the worker may wait for the end of a run before it answers
 */
public record LeaseCall(
        WorkerInfo worker,
        long epoch,
        OptionalLong leaseEndClockMillis,
        long acknowledgedEnd,
        long waitMillis) {}
