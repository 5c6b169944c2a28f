package org.peridotcourse.daemon.platform;

import org.peridotcourse.Result;
import org.peridotcourse.membership.HostList;

/**
 * The platform's delayed list of hosts.
 *
 * <p>Calls block for at most the configured time-out. Implementations are thread-safe.
 */
@FunctionalInterface
public interface HostSource {
    /**
     * Reads the list.
     *
     * @return the list, or a {@link StoreFailure}
     */
    Result<HostList> hosts();
}
