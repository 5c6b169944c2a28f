package org.peridotcourse.membership;

import java.util.List;

/**
 * The platform's list of hosts at some time in the past.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param ageMillis age of the list in milliseconds when the platform sent it
 * @param hosts the hosts
 * @param skipped the number of entries that could not be parsed
 */
public record HostList(long ageMillis, List<Host> hosts, int skipped) {
    /**
     * Returns the hosts of one role.
     *
     * @param role the role
     * @return the hosts, in the order of the list
     */
    public List<Host> ofRole(Host.Role role) {
        return hosts.stream().filter(host -> host.role() == role).toList();
    }
}
