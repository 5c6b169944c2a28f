package org.peridotcourse.dispatch;

import java.util.OptionalLong;

/**
 * A renewal of a worker's lease that also acknowledges ends and asks for a report.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param worker the receiver
 * @param epoch the epoch of the owner
 * @param leaseClock end of the lease on the worker's clock, empty to leave the lease as it is
 * @param acknowledged number of the last end that is stored
 * @param waitMillis how long the worker may wait for an end before it answers
 */
public record LeaseCall(
        WorkerInfo worker,
        long epoch,
        OptionalLong leaseClock,
        long acknowledged,
        long waitMillis) {}
