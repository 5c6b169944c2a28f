package org.peridotcourse.daemon.dispatch;

import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.ring.EventLoop;

/**
 * What the parts of a host share.
 *
 * <p>Instances are immutable; the parts belong to the loop.
 *
 * @param loop the loop of all decisions
 * @param settings the settings
 * @param store the store
 * @param health whether the store can be reached
 * @param workers the workers
 * @param format the formats of the platform
 * @param metrics counters and histograms
 * @param log the log
 */
public record HostComponents(
        EventLoop loop,
        HostSettings settings,
        RowStore store,
        StoreHealth health,
        WorkerPort workers,
        PlatformFormat format,
        DispatchMetrics metrics,
        EventLog log) {}
