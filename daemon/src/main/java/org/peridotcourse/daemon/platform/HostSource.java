package org.peridotcourse.daemon.platform;

import org.peridotcourse.Result;
import org.peridotcourse.membership.HostList;

/**
 * Reads the platform's list of hosts, which is updated with a delay.
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
