package org.peridotcourse.daemon.entry;

import java.util.function.LongSupplier;
import org.peridotcourse.daemon.http.ChannelFactory;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.metrics.DaemonMetrics;
import org.peridotcourse.daemon.platform.ObjectStore;
import org.peridotcourse.daemon.platform.TableStore;

/**
 * Dependencies of the entry service. Instances are immutable and thread-safe.
 *
 * @param channels opens connections to backend servers
 * @param store the table service
 * @param objects the object store
 * @param metrics receives the metrics of requests
 * @param log receives {@link RequestEvent} records
 * @param clock monotonic milliseconds
 * @param incarnation a number that is unique to this run of the daemon
 */
public record EntryDependencies(
        ChannelFactory channels,
        TableStore store,
        ObjectStore objects,
        DaemonMetrics metrics,
        EventLog log,
        LongSupplier clock,
        long incarnation) {}
