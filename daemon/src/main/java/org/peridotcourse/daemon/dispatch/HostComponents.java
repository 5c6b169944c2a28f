package org.peridotcourse.daemon.dispatch;

import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.ring.EventLoop;

/**
 * The components that the classes of a host share.
 *
 * <p>Instances are immutable; the components are confined to the event loop.
 *
 * @param loop the event loop
 * @param settings the settings
 * @param store the store
 * @param health tracks whether the store can be reached
 * @param workers sends calls to the workers
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
