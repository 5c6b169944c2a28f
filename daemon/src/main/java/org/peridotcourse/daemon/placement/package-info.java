/**
 * Runs placement in the daemon: the lease, the rows, the calls to workers, and the thread that
 * drives {@link org.peridotcourse.placement.PlacementOwner}.
 */
package org.peridotcourse.daemon.placement;
