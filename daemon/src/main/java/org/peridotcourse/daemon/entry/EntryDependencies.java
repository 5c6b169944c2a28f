package org.peridotcourse.daemon.entry;

import java.util.function.LongSupplier;
import org.peridotcourse.daemon.http.ChannelFactory;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.metrics.DaemonMetrics;
import org.peridotcourse.daemon.platform.ObjectStore;
import org.peridotcourse.daemon.platform.TableStore;

/**
 * What the entry service uses. Instances are immutable and thread-safe.
 *
 * @param channels opens connections to backend servers
 * @param store the table service
 * @param objects the object store
 * @param metrics counts requests
 * @param log receives {@link RequestEvent} records
 * @param clock monotonic milliseconds
 * @param incarnation a number that no other run of this daemon has
 */
public record EntryDependencies(
        ChannelFactory channels,
        TableStore store,
        ObjectStore objects,
        DaemonMetrics metrics,
        EventLog log,
        LongSupplier clock,
        long incarnation) {}
